/// Measures how entries share allowances; prints one JSON line for each scenario and
/// policy.
#include <cmath>
#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <bench/allowance_run.hpp>

namespace
{

using namespace agateseam::bench;

constexpr std::uint64_t default_seed = 20261203;
/// Largest share of wrongful refusals at steady load.
constexpr double max_steady_wrongful_share = 0.005;
/// The same while demand shifts or an entry is lost.
constexpr double max_fault_wrongful_share = 0.02;

double round_to_digits(double value)
{
    constexpr double scale = 1e4;
    return std::round(value * scale) / scale;
}

void print(share_scenario scenario, share_policy policy, std::uint64_t seed,
           const share_figures& figures)
{
    const nlohmann::ordered_json line{
        {"scenario", to_string(scenario)},
        {"policy", to_string(policy)},
        {"seed", seed},
        {"requests", figures.requests},
        {"refused", figures.refused},
        {"refused_by_omniscient", figures.refused_by_omniscient},
        {"wrongful", figures.wrongful},
        {"wrongful_share", round_to_digits(figures.wrongful_share())},
        {"lost", figures.lost},
        {"overshoot_tokens", round_to_digits(figures.overshoot_tokens)},
        {"stranded_share_seconds", round_to_digits(figures.stranded_share_seconds)},
        {"messages_per_entry_second", round_to_digits(figures.messages_per_entry_second)},
        {"store_calls_per_second", round_to_digits(figures.store_calls_per_second)}};
    std::cout << line.dump() << '\n';
}

/// Returns whether a run of no_expiry, the policy in use, meets its targets; baselines
/// have none.
bool meets_targets(share_scenario scenario, share_policy policy,
                   const share_figures& figures)
{
    if (policy != share_policy::no_expiry)
    {
        return true;
    }
    if (figures.overshoot_tokens > 0)
    {
        return false;
    }
    switch (scenario)
    {
    case share_scenario::steady:
        return figures.wrongful_share() < max_steady_wrongful_share;
    case share_scenario::demand_shift:
    case share_scenario::entry_lost:
        return figures.wrongful_share() < max_fault_wrongful_share;
    default:
        return true;
    }
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("allowance_bench", "Measures the sharing of allowances");
    options.add_options()("json", "print JSON lines (always on)")(
        "check", "exit with 1 when a target is missed")(
        "seed", "seed of the trace",
        cxxopts::value<std::uint64_t>()->default_value(std::to_string(default_seed)));
    const auto parsed = options.parse(count, arguments);
    const auto seed = parsed["seed"].as<std::uint64_t>();
    bool targets_met = true;
    for (const share_scenario scenario : all_share_scenarios)
    {
        for (const share_policy policy :
             {share_policy::static_split, share_policy::time_leases,
              share_policy::no_expiry})
        {
            const share_figures figures = run_share_scenario(scenario, policy, seed);
            print(scenario, policy, seed, figures);
            if (!meets_targets(scenario, policy, figures))
            {
                std::cerr << "target missed in scenario " << to_string(scenario) << '\n';
                targets_met = false;
            }
        }
    }
    return targets_met || parsed.count("check") == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Measures the sharing of allowances: one JSON line for each scenario and policy.
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
constexpr double steady_limit = 0.005; ///< Of the requests, refused wrongfully.
constexpr double fault_limit = 0.02;   ///< While demand shifts or an entry is lost.

double rounded(double value)
{
    constexpr double digits = 1e4;
    return std::round(value * digits) / digits;
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
        {"wrongful_share", rounded(figures.wrongful_share())},
        {"lost", figures.lost},
        {"overshoot_tokens", rounded(figures.overshoot)},
        {"stranded_share_seconds", rounded(figures.stranded)},
        {"messages_per_entry_second", rounded(figures.messages)},
        {"store_calls_per_second", rounded(figures.store_calls)}};
    std::cout << line.dump() << '\n';
}

/// Holds a run of the policy in use against its targets; a baseline has none.
bool within_targets(share_scenario scenario, share_policy policy,
                    const share_figures& figures)
{
    if (policy != share_policy::no_expiry)
    {
        return true;
    }
    if (figures.overshoot > 0)
    {
        return false;
    }
    switch (scenario)
    {
    case share_scenario::steady:
        return figures.wrongful_share() < steady_limit;
    case share_scenario::demand_shift:
    case share_scenario::entry_lost:
        return figures.wrongful_share() < fault_limit;
    default:
        return true;
    }
}

} // namespace

int main(int count, char** words)
{
    cxxopts::Options options("allowance_bench", "Measures the sharing of allowances");
    options.add_options()("json", "print JSON lines; always so")(
        "check", "fail when a target is missed")(
        "seed", "seed of the trace",
        cxxopts::value<std::uint64_t>()->default_value(std::to_string(default_seed)));
    const auto chosen = options.parse(count, words);
    const auto seed = chosen["seed"].as<std::uint64_t>();
    bool good = true;
    for (const share_scenario scenario : all_share_scenarios)
    {
        for (const share_policy policy :
             {share_policy::static_split, share_policy::time_leases,
              share_policy::no_expiry})
        {
            const share_figures figures = run_shares(scenario, policy, seed);
            print(scenario, policy, seed, figures);
            if (!within_targets(scenario, policy, figures))
            {
                std::cerr << "missed: " << to_string(scenario) << '\n';
                good = false;
            }
        }
    }
    return good || chosen.count("check") == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

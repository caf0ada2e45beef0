/// Measures placement, fairness and early refusal under load and faults, in virtual time.
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <bench/policy_figures.hpp>

namespace
{

using json = nlohmann::json;
using namespace agateseam::bench;

constexpr std::array<std::uint64_t, 3> trace_seeds{1, 2, 3};

struct named_policy
{
    const char* name;
    run_outcome (*run)(const scenario&, const std::vector<traced_request>&,
                       std::uint64_t);
};

// The two flags of run_agateseam turn prefix affinity and session affinity on.
const std::array<named_policy, 6> policies{{
    {"agateseam",
     [](const scenario& plan, const std::vector<traced_request>& trace,
        std::uint64_t seed) {
         return run_agateseam(plan, trace, {true, false}, seed);
     }},
    {"no_affinity",
     [](const scenario& plan, const std::vector<traced_request>& trace,
        std::uint64_t seed) {
         return run_agateseam(plan, trace, {false, false}, seed);
     }},
    {"session_affinity",
     [](const scenario& plan, const std::vector<traced_request>& trace,
        std::uint64_t seed) {
         return run_agateseam(plan, trace, {false, true}, seed);
     }},
    {"prefix_and_session",
     [](const scenario& plan, const std::vector<traced_request>& trace,
        std::uint64_t seed) {
         return run_agateseam(plan, trace, {true, true}, seed);
     }},
    {"round_robin", [](const scenario& plan, const std::vector<traced_request>& trace,
                       std::uint64_t) { return run_round_robin(plan, trace); }},
    {"least_load", [](const scenario& plan, const std::vector<traced_request>& trace,
                      std::uint64_t) { return run_least_load(plan, trace); }},
}};

json to_json(const scenario& plan, const std::string& policy, std::uint64_t seed,
             const run_figures& figures)
{
    return {{"bench", "policy"},
            {"customer", plan.customer},
            {"scenario", plan.name},
            {"policy", policy},
            {"seed", seed},
            {"goodput_tokens_per_second", figures.goodput},
            {"goodput_of_ceiling", figures.goodput_of_ceiling},
            {"wasted_prefill", figures.wasted_prefill},
            {"worst_workspace", figures.worst_workspace},
            {"worst_name", figures.worst_name},
            {"refusals", figures.refusals},
            {"late", figures.late},
            {"unfinished", figures.unfinished},
            {"slots_left", figures.slots_left}};
}

/// Compares the figures of runs with the bounds and counts the bounds missed.
class bounds_checker
{
  public:
    explicit bounds_checker(json parsed_bounds)
        : bounds(std::move(parsed_bounds))
    {
    }

    void compare(const scenario& plan, std::uint64_t seed,
                 const std::map<std::string, run_figures>& runs)
    {
        const run_figures& agateseam_figures = runs.at("agateseam");
        const std::string label =
            plan.customer + " " + plan.name + " seed " + std::to_string(seed) + ": ";
        const bool fault = plan.has_fault();
        if (plan.name == "steady_peak" || fault)
        {
            const char* bound = fault ? "goodput_fault" : "goodput_steady";
            this->check_at_least(label + bound, agateseam_figures.goodput_of_ceiling,
                                 this->bounds[bound]);
        }
        const char* waste_bound =
            fault ? "wasted_prefill_fault" : "wasted_prefill_steady";
        this->check_at_most(label + waste_bound, agateseam_figures.wasted_prefill,
                            this->bounds[waste_bound]);
        if (plan.name == "hot_tenant")
        {
            this->check_at_least(label + "worst_workspace",
                                 agateseam_figures.worst_workspace,
                                 this->bounds["worst_workspace_hot_tenant"]);
        }
        this->check_at_most(label + "slots_left", agateseam_figures.slots_left,
                            this->bounds["slots_left"]);
        for (const char* baseline : {"round_robin", "least_load"})
        {
            this->check_at_least(label + "goodput of " + baseline,
                                 agateseam_figures.goodput, runs.at(baseline).goodput);
        }
    }

    [[nodiscard]] int missed_count() const noexcept { return this->missed_bounds; }

  private:
    void check_at_least(const std::string& metric, double value, double bound)
    {
        this->report_check(metric, value, bound, value >= bound);
    }

    void check_at_most(const std::string& metric, double value, double bound)
    {
        this->report_check(metric, value, bound, value <= bound);
    }

    void report_check(const std::string& metric, double value, double bound, bool met)
    {
        if (!met)
        {
            ++this->missed_bounds;
            std::cerr << "bound missed: " << metric << ": " << value << ", bound "
                      << bound << '\n';
        }
    }

    json bounds;
    int missed_bounds = 0;
};

int run(const cxxopts::ParseResult& arguments)
{
    json bounds;
    if (arguments.count("check") != 0)
    {
        std::ifstream file(arguments["bounds"].as<std::string>());
        bounds = json::parse(file);
    }
    bounds_checker checker(bounds);
    const auto scenario_filter = arguments["scenario"].as<std::string>();
    for (const scenario& plan : all_scenarios())
    {
        if (!scenario_filter.empty() && scenario_filter != plan.name)
        {
            continue;
        }
        for (const std::uint64_t seed : trace_seeds)
        {
            const auto trace = make_trace(plan, seed);
            const goodput_ceiling ceiling = compute_ceiling(plan, trace);
            std::map<std::string, run_figures> runs;
            for (const named_policy& policy : policies)
            {
                const auto outcome = policy.run(plan, trace, seed);
                runs[policy.name] = evaluate_run(plan, trace, outcome, ceiling);
                std::cout << to_json(plan, policy.name, seed, runs[policy.name]).dump()
                          << '\n';
            }
            if (arguments.count("check") != 0)
            {
                checker.compare(plan, seed, runs);
            }
        }
    }
    return checker.missed_count() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy_bench",
                             "Compares placement policies over modelled engines");
    options.add_options()("json", "print one JSON object per line (always on)")(
        "check", "exit with 1 when a bound is missed")(
        "scenario", "run only the scenario of this name",
        cxxopts::value<std::string>()->default_value(""))(
        "bounds", "file that holds the bounds",
        cxxopts::value<std::string>()->default_value("bench/bounds.json"));
    return run(options.parse(argc, argv));
}

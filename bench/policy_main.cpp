/// Placement, fairness and early refusal under load and faults, in virtual time.
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

constexpr std::array<std::uint64_t, 3> default_seeds{1, 2, 3};

struct policy_entry
{
    const char* name;
    run_outcome (*run)(const scenario&, const std::vector<traced_request>&,
                       std::uint64_t);
};

const std::array<policy_entry, 6> policies{{
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
            {"goodput_of_ceiling", figures.goodput_share},
            {"wasted_prefill", figures.wasted_prefill},
            {"worst_workspace", figures.worst_workspace},
            {"worst_name", figures.worst_name},
            {"refusals", figures.refusals},
            {"late", figures.late},
            {"unfinished", figures.unfinished},
            {"slots_left", figures.slots_left}};
}

/// Compares one scenario's runs of one seed with the bounds.
class checker
{
  public:
    explicit checker(json chosen)
        : bounds(std::move(chosen))
    {
    }

    void compare(const scenario& plan, std::uint64_t seed,
                 const std::map<std::string, run_figures>& runs)
    {
        const run_figures& own = runs.at("agateseam");
        const std::string where =
            plan.customer + " " + plan.name + " seed " + std::to_string(seed) + ": ";
        const bool fault = plan.faulty();
        if (plan.name == "steady_peak" || fault)
        {
            const char* bound = fault ? "goodput_fault" : "goodput_steady";
            this->at_least(where + bound, own.goodput_share, this->bounds[bound]);
        }
        const char* waste = fault ? "wasted_prefill_fault" : "wasted_prefill_steady";
        this->at_most(where + waste, own.wasted_prefill, this->bounds[waste]);
        if (plan.name == "hot_tenant")
        {
            this->at_least(where + "worst_workspace", own.worst_workspace,
                           this->bounds["worst_workspace_hot_tenant"]);
        }
        this->at_most(where + "slots_left", own.slots_left, this->bounds["slots_left"]);
        for (const char* baseline : {"round_robin", "least_load"})
        {
            this->at_least(where + "goodput of " + baseline, own.goodput,
                           runs.at(baseline).goodput);
        }
    }

    [[nodiscard]] int failures() const noexcept { return this->failed; }

  private:
    void at_least(const std::string& what, double value, double bound)
    {
        this->report(what, value, bound, value >= bound);
    }

    void at_most(const std::string& what, double value, double bound)
    {
        this->report(what, value, bound, value <= bound);
    }

    void report(const std::string& what, double value, double bound, bool holds)
    {
        if (!holds)
        {
            ++this->failed;
            std::cerr << "bound missed: " << what << ": " << value << " against " << bound
                      << '\n';
        }
    }

    json bounds;
    int failed = 0;
};

int run(const cxxopts::ParseResult& arguments)
{
    json bounds;
    if (arguments.count("check") != 0)
    {
        std::ifstream file(arguments["bounds"].as<std::string>());
        bounds = json::parse(file);
    }
    checker check(bounds);
    const auto wanted = arguments["scenario"].as<std::string>();
    for (const scenario& plan : all_scenarios())
    {
        if (!wanted.empty() && wanted != plan.name)
        {
            continue;
        }
        for (const std::uint64_t seed : default_seeds)
        {
            const auto trace = make_trace(plan, seed);
            const run_ceiling ceiling = find_ceiling(plan, trace);
            std::map<std::string, run_figures> runs;
            for (const policy_entry& policy : policies)
            {
                const auto outcome = policy.run(plan, trace, seed);
                runs[policy.name] = judge(plan, trace, outcome, ceiling);
                std::cout << to_json(plan, policy.name, seed, runs[policy.name]).dump()
                          << '\n';
            }
            if (arguments.count("check") != 0)
            {
                check.compare(plan, seed, runs);
            }
        }
    }
    return check.failures() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("policy_bench", "Policies over modelled engines");
    options.add_options()("json", "one JSON object a line; always so")(
        "check",
        "compare with the bounds")("scenario", "run only this one",
                                   cxxopts::value<std::string>()->default_value(""))(
        "bounds", "file of the bounds",
        cxxopts::value<std::string>()->default_value("bench/bounds.json"));
    return run(options.parse(argc, argv));
}

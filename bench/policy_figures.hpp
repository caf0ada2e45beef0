/// Figures of a run, and an upper bound on the goodput of any policy.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <bench/policy_model.hpp>

namespace agateseam::bench
{

/// \brief The figures computed from one run.
struct run_figures
{
    double goodput = 0;            ///< Output tokens per second within both targets.
    double goodput_of_ceiling = 0; ///< Share of the ceiling.
    double wasted_prefill = 0;     ///< Share of the prefill tokens computed.
    double worst_workspace = 0;    ///< Lowest goodput over fair share.
    std::string worst_name;        ///< The workspace with that lowest ratio.
    std::map<std::string, std::uint32_t> refusals; ///< By reason.
    std::uint32_t late = 0;                        ///< Served, but outside a target.
    std::uint32_t unfinished = 0;                  ///< Neither served nor refused.
    std::uint32_t slots_left = 0;                  ///< Held or queued after the end.
};

/// \brief Upper bound on what a policy with perfect knowledge could reach.
struct goodput_ceiling
{
    double tokens = 0;              ///< Output tokens.
    std::vector<double> fair_share; ///< Max-min fair share of the tokens, by workload.
};

/// \brief Computes an upper bound on the goodput of any policy over the same engines.
///
/// A request counts when its own prefill and transfer alone meet the first token limit,
/// with every block of all earlier prompts cached. All decode slots that are alive are
/// assumed to be in use without a pause from the first arrival to the last answer.
[[nodiscard]] goodput_ceiling compute_ceiling(const scenario& plan,
                                              const std::vector<traced_request>& trace);

/// \brief Computes the figures of a run from its outcome and the ceiling.
[[nodiscard]] run_figures evaluate_run(const scenario& plan,
                                       const std::vector<traced_request>& trace,
                                       const run_outcome& outcome,
                                       const goodput_ceiling& ceiling);

} // namespace agateseam::bench

/// Figures of a run, and the ceiling that no policy passes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <bench/policy_model.hpp>

namespace agateseam::bench
{

/// \brief A run judged.
struct run_figures
{
    double goodput = 0;         ///< Output tokens per second within both targets.
    double goodput_share = 0;   ///< Of the ceiling.
    double wasted_prefill = 0;  ///< Share of the prefill tokens computed.
    double worst_workspace = 0; ///< Goodput over fair share, of the worst served.
    std::string worst_name;
    std::map<std::string, std::uint32_t> refusals; ///< By reason.
    std::uint32_t late = 0;                        ///< Served, but outside a target.
    std::uint32_t unfinished = 0;                  ///< Neither served nor refused.
    std::uint32_t slots_left = 0;
};

/// \brief What perfect knowledge could reach at most.
struct run_ceiling
{
    double tokens = 0;              ///< Output tokens.
    std::vector<double> fair_share; ///< Of them, by workload.
};

/// \brief Bounds the goodput of any policy over the same engines.
///
/// A request counts when its own prefill and transfer alone meet the first token's
/// limit, every block that any earlier prompt had being cached; and all decode slots
/// that are alive can be used without a pause from the first arrival to the last answer.
[[nodiscard]] run_ceiling find_ceiling(const scenario& plan,
                                       const std::vector<traced_request>& trace);

[[nodiscard]] run_figures judge(const scenario& plan,
                                const std::vector<traced_request>& trace,
                                const run_outcome& outcome, const run_ceiling& ceiling);

} // namespace agateseam::bench

#include <bench/policy_figures.hpp>

#include <algorithm>
#include <numeric>
#include <unordered_set>

namespace agateseam::bench
{

namespace
{

/// Divides a capacity by max-min fairness: nobody gets more than it wants, and what is
/// left is divided equally among the others.
std::vector<double> divide_max_min_fairly(const std::vector<double>& demands,
                                          double capacity)
{
    std::vector<double> shares(demands.size());
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right)
              { return demands[left] < demands[right]; });
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        const double equal_share = capacity / static_cast<double>(order.size() - index);
        shares[order[index]] = std::min(demands[order[index]], equal_share);
        capacity -= shares[order[index]];
    }
    return shares;
}

bool meets_targets(const scenario& plan, const traced_request& request,
                   const request_outcome& outcome)
{
    if (outcome.entry_failed || outcome.first_token < 0 || outcome.last_token < 0)
    {
        return false;
    }
    const double mean_token_gap = (outcome.last_token - outcome.first_token) /
                                  std::max(1U, request.output_tokens - 1);
    return outcome.first_token <= plan.policy.first_token_limit &&
           mean_token_gap <= plan.policy.token_gap_limit;
}

double available_slot_seconds(const scenario& plan)
{
    const double end = plan.length + plan.policy.first_token_limit +
                       plan.max_output_tokens * plan.token_gap;
    double seconds = end * plan.decodes * plan.slots;
    if (plan.decode_lost)
    {
        seconds -= (end - *plan.decode_lost) * plan.slots;
    }
    return seconds;
}

} // namespace

goodput_ceiling compute_ceiling(const scenario& plan,
                                const std::vector<traced_request>& trace)
{
    std::unordered_set<std::uint64_t> seen;
    std::vector<double> demanded_tokens(plan.workloads.size());
    for (const traced_request& request : trace)
    {
        double computed = request.prompt_tokens;
        for (const std::uint64_t block : request.blocks)
        {
            computed -= seen.insert(block).second ? 0 : block_size;
        }
        const double min_first_token_seconds =
            std::max(0.0, computed) / plan.prefill_rate +
            request.prompt_tokens / plan.link_rate + plan.token_gap;
        const bool can_meet_target =
            min_first_token_seconds <= plan.policy.first_token_limit;
        if (can_meet_target && !is_hit_by_entry_failure(plan, request))
        {
            demanded_tokens[request.workload] += request.output_tokens;
        }
    }
    goodput_ceiling ceiling;
    const double capacity = available_slot_seconds(plan) / plan.token_gap;
    ceiling.tokens = std::min(
        capacity, std::accumulate(demanded_tokens.begin(), demanded_tokens.end(), 0.0));
    ceiling.fair_share = divide_max_min_fairly(demanded_tokens, capacity);
    return ceiling;
}

run_figures evaluate_run(const scenario& plan, const std::vector<traced_request>& trace,
                         const run_outcome& outcome, const goodput_ceiling& ceiling)
{
    run_figures figures;
    std::vector<double> served(plan.workloads.size());
    for (std::size_t index = 0; index < trace.size(); ++index)
    {
        const request_outcome& result = outcome.requests[index];
        if (meets_targets(plan, trace[index], result))
        {
            served[trace[index].workload] += trace[index].output_tokens;
        }
        else if (!result.refusal.empty())
        {
            ++figures.refusals[result.refusal];
        }
        else if (!result.entry_failed)
        {
            (result.last_token >= 0 ? figures.late : figures.unfinished) += 1;
        }
    }
    const double total = std::accumulate(served.begin(), served.end(), 0.0);
    figures.goodput = total / plan.length;
    figures.goodput_of_ceiling = total / ceiling.tokens;
    figures.wasted_prefill = outcome.prefill_tokens > 0
                                 ? outcome.wasted_prefill_tokens / outcome.prefill_tokens
                                 : 0;
    figures.worst_workspace = 1e9;
    for (std::size_t index = 0; index < served.size(); ++index)
    {
        const double share = served[index] / std::max(1.0, ceiling.fair_share[index]);
        if (share < figures.worst_workspace)
        {
            figures.worst_workspace = share;
            figures.worst_name = plan.workloads[index].workspace;
        }
    }
    figures.slots_left = outcome.slots_left;
    return figures;
}

} // namespace agateseam::bench

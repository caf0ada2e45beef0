#include <agateseam/agent_scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace agateseam
{

namespace
{

/// Lower bound for the expected remaining time of a running attempt.
constexpr duration min_remaining_use = std::chrono::milliseconds(250);
/// Slots that may be granted while still in use because they are likely to become free.
constexpr std::size_t max_grants_in_use = 4;

/// The times at which slots become free, the earliest first.
using slot_heap =
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>;

time_point take_earliest(slot_heap& slots)
{
    const time_point earliest = slots.top();
    slots.pop();
    return earliest;
}

} // namespace

/// Returns when each slot is expected to become free, in ascending order, after the
/// running attempts and those that were granted a slot and don't run yet.
std::vector<time_point> agent_scheduler::expected_free_times(time_point now) const
{
    std::vector<time_point> ends;
    ends.reserve(this->options.slots);
    std::vector<duration> reserved_uses;
    for (const auto& [id, item] : this->records)
    {
        if (item.state == phase::running)
        {
            ends.push_back(std::max(now, item.expected_end));
        }
        else if (item.state != phase::waiting)
        {
            const bool does_lead_work = item.state == phase::reserved;
            reserved_uses.push_back(
                item.request.expected_use +
                (does_lead_work ? item.request.lead_time : duration{0}));
        }
    }
    ends.resize(std::max<std::size_t>(ends.size(), this->options.slots), now);
    slot_heap slots(std::greater<>{}, std::move(ends));
    for (const duration use : reserved_uses)
    {
        slots.push(take_earliest(slots) + use);
    }
    std::vector<time_point> free_times;
    free_times.reserve(slots.size());
    while (!slots.empty())
    {
        free_times.push_back(take_earliest(slots));
    }
    return free_times;
}

/// Returns the time by which one more slot is free even if every attempt uses its slot as
/// long as it may, or `time_point::max()` if there is no such time. Attempts past their
/// latest end are left out, because it isn't known when they end.
time_point agent_scheduler::guaranteed_slot_time(time_point now) const
{
    const std::size_t granted =
        this->count(phase::reserved) + this->count(phase::awaiting_slot);
    const std::size_t free_slots = this->options.slots - this->count(phase::running);
    if (granted < free_slots)
    {
        return now;
    }
    std::vector<time_point> ends;
    for (const auto& [id, item] : this->records)
    {
        if (item.state == phase::running && item.latest_end >= now)
        {
            ends.push_back(item.latest_end);
        }
    }
    const std::size_t index = granted - free_slots;
    if (index >= ends.size())
    {
        return time_point::max();
    }
    std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(index),
                     ends.end());
    return ends[index];
}

/// Tells whether the head's workspace holds less than its weighted max-min fair share of
/// the slots: no workspace gets more slots than it wants, and the remaining slots are
/// divided among the others by weight.
bool agent_scheduler::is_within_share(const record& head) const
{
    struct demand
    {
        double weight = 1;
        double held = 0;   ///< Slots.
        double wanted = 0; ///< Slots held and attempts waiting.
    };
    std::map<std::string_view, demand> demands;
    for (const auto& [id, item] : this->records)
    {
        demand& workspace_demand = demands[item.request.workspace];
        workspace_demand.weight = item.request.weight;
        workspace_demand.held += item.state == phase::waiting ? 0 : 1;
        workspace_demand.wanted += 1;
    }
    std::vector<demand> by_demand;
    double total_weight = 0;
    for (const auto& [workspace, workspace_demand] : demands)
    {
        by_demand.push_back(workspace_demand);
        total_weight += workspace_demand.weight;
    }
    std::sort(by_demand.begin(), by_demand.end(),
              [](const demand& left, const demand& right)
              { return left.wanted / left.weight < right.wanted / right.weight; });
    double remaining_slots = this->options.slots;
    double slots_per_weight = 0;
    for (const demand& workspace_demand : by_demand)
    {
        slots_per_weight = remaining_slots / total_weight;
        if (workspace_demand.wanted > slots_per_weight * workspace_demand.weight)
        {
            break;
        }
        remaining_slots -= workspace_demand.wanted;
        total_weight -= workspace_demand.weight;
        slots_per_weight = this->options.slots;
    }
    const demand& head_demand = demands.at(head.request.workspace);
    return head_demand.held < slots_per_weight * head_demand.weight;
}

/// Tells whether enough running attempts end in time for the head to be granted a slot,
/// except with the probability `max_late_probability`. In time is within the lead time
/// plus half the lifetime of the lead work's result, and before the head's deadline. The
/// remaining time of an attempt is assumed to be exponentially distributed.
bool agent_scheduler::is_slot_likely(const record& head, time_point now) const
{
    const std::size_t granted =
        this->count(phase::reserved) + this->count(phase::awaiting_slot);
    const std::size_t free_slots = this->options.slots - this->count(phase::running);
    const std::size_t earlier_grants_in_use = granted - std::min(granted, free_slots);
    if (this->options.max_late_probability <= 0 ||
        earlier_grants_in_use >= max_grants_in_use || !this->is_within_share(head))
    {
        return false;
    }
    const duration horizon =
        std::min(head.request.lead_time + this->options.kv_lifetime / 2,
                 head.request.deadline - now);
    std::array<double, max_grants_in_use> probability{1}; // By number of ends.
    for (const auto& [id, item] : this->records)
    {
        if (item.state == phase::running)
        {
            const duration remaining_use =
                std::max(min_remaining_use, item.expected_end - now);
            const double still_in_use =
                std::exp(-static_cast<double>(horizon.count()) /
                         static_cast<double>(remaining_use.count()));
            for (std::size_t ends = earlier_grants_in_use; ends > 0; --ends)
            {
                probability[ends] = probability[ends] * still_in_use +
                                    probability[ends - 1] * (1 - still_in_use);
            }
            probability[0] *= still_in_use;
        }
    }
    double late_probability = 0;
    for (std::size_t ends = 0; ends <= earlier_grants_in_use; ++ends)
    {
        late_probability += probability[ends];
    }
    return late_probability <= this->options.max_late_probability;
}

/// Returns when the head of the queue may be granted a slot: early enough that its lead
/// work ends when the slot becomes free, and so late that the link becomes free within
/// half the KV lifetime after its use of the slot.
time_point agent_scheduler::grant_time(const record& head, time_point now) const
{
    const time_point slot_time =
        this->is_slot_likely(head, now) ? now : this->guaranteed_slot_time(now);
    if (slot_time == time_point::max())
    {
        return slot_time;
    }
    const time_point link_grant_time = this->link_free_at -
                                       this->options.kv_lifetime / 2 -
                                       head.request.lead_time - head.request.expected_use;
    const bool uses_link = head.request.transfer_time > duration{0};
    return std::max(slot_time - head.request.lead_time,
                    uses_link ? link_grant_time : time_point::min());
}

std::vector<agent_scheduler::forecast>
agent_scheduler::forecast_starts(time_point now) const
{
    slot_heap slots(std::greater<>{}, this->expected_free_times(now));
    time_point link_free_time = this->link_free_at;
    std::vector<forecast> starts;
    for (const attempt_id& id : this->queue.service_order())
    {
        const slot_request& request = this->records.at(id).request;
        const bool grants_likely_slots = this->options.max_late_probability > 0;
        time_point start = grants_likely_slots
                               ? std::max(slots.top(), now + request.lead_time)
                               : slots.top() + request.lead_time;
        if (request.transfer_time > duration{0})
        {
            start = std::max(start, link_free_time - this->options.kv_lifetime / 2 -
                                        request.expected_use);
            link_free_time = std::max(link_free_time, start + request.expected_use) +
                             request.transfer_time;
        }
        starts.push_back({id, start});
        if (start <= request.deadline)
        {
            slots.pop();
            slots.push(start + request.expected_use);
        }
    }
    return starts;
}

time_point agent_scheduler::next_expected_slot(time_point now) const
{
    slot_heap slots(std::greater<>{}, this->expected_free_times(now));
    for (const attempt_id& id : this->queue.service_order())
    {
        slots.push(take_earliest(slots) + this->records.at(id).request.expected_use);
    }
    return slots.top();
}

} // namespace agateseam

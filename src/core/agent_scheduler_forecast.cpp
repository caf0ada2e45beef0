#include <agateseam/agent_scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace agateseam
{

namespace
{

constexpr duration shortest_rest = std::chrono::milliseconds(250); // of a use
constexpr std::size_t most_promises = 4; // slots promised while still in use

/// Slots by the time at which each is free, the earliest first.
using slot_heap =
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>;

time_point take_earliest(slot_heap& slots)
{
    const time_point earliest = slots.top();
    slots.pop();
    return earliest;
}

} // namespace

/// When each slot is thought to be free, reserved ones after their use.
std::vector<time_point> agent_scheduler::expected_ends(time_point now) const
{
    std::vector<time_point> ends;
    ends.reserve(this->options.slots);
    std::vector<duration> owed;
    for (const auto& [id, item] : this->records)
    {
        if (item.state == phase::running)
        {
            ends.push_back(std::max(now, item.expected_end));
        }
        else if (item.state != phase::waiting)
        {
            const bool leads = item.state == phase::reserved;
            owed.push_back(item.request.expected +
                           (leads ? item.request.lead : duration{0}));
        }
    }
    ends.resize(std::max<std::size_t>(ends.size(), this->options.slots), now);
    slot_heap slots(std::greater<>{}, std::move(ends));
    for (const duration use : owed)
    {
        slots.push(take_earliest(slots) + use);
    }
    std::vector<time_point> free;
    free.reserve(slots.size());
    while (!slots.empty())
    {
        free.push_back(take_earliest(slots));
    }
    return free;
}

/// The time by which one more slot is free whatever happens, as far as is known.
time_point agent_scheduler::sure_slot(time_point now) const
{
    const std::size_t promised =
        this->count(phase::reserved) + this->count(phase::arriving);
    const std::size_t idle = this->options.slots - this->count(phase::running);
    if (promised < idle)
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
    const std::size_t index = promised - idle;
    if (index >= ends.size())
    {
        return time_point::max();
    }
    std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(index),
                     ends.end());
    return ends[index];
}

/// Whether the head's workspace holds less than its share of the slots: what is left to
/// it when nobody gets more than he asks for and the rest is dealt out by weight.
bool agent_scheduler::is_within_share(const record& head) const
{
    struct demand
    {
        double weight = 1;
        double held = 0;
        double wanted = 0; ///< Held and waiting.
    };
    std::map<std::string_view, demand> demands;
    for (const auto& [id, item] : this->records)
    {
        demand& owner = demands[item.request.workspace];
        owner.weight = item.request.weight;
        owner.held += item.state == phase::waiting ? 0 : 1;
        owner.wanted += 1;
    }
    std::vector<demand> rising;
    double weights = 0;
    for (const auto& [workspace, owner] : demands)
    {
        rising.push_back(owner);
        weights += owner.weight;
    }
    std::sort(rising.begin(), rising.end(),
              [](const demand& left, const demand& right)
              { return left.wanted / left.weight < right.wanted / right.weight; });
    double left = this->options.slots;
    double level = 0; // slots a unit of weight
    for (const demand& owner : rising)
    {
        level = left / weights;
        if (owner.wanted > level * owner.weight)
        {
            break;
        }
        left -= owner.wanted;
        weights -= owner.weight;
        level = this->options.slots;
    }
    const demand& own = demands.at(head.request.workspace);
    return own.held < level * own.weight;
}

/// Whether enough uses end, with the chance that is asked for, before the result of the
/// head's lead is lost or its deadline passes; the rest of a use is taken as exponential.
bool agent_scheduler::slot_is_likely(const record& head, time_point now) const
{
    const std::size_t promised =
        this->count(phase::reserved) + this->count(phase::arriving);
    const std::size_t idle = this->options.slots - this->count(phase::running);
    const std::size_t ahead = promised - std::min(promised, idle);
    if (this->options.promise_risk <= 0 || ahead >= most_promises ||
        !this->is_within_share(head))
    {
        return false;
    }
    const duration horizon = std::min(head.request.lead + this->options.kv_lifetime / 2,
                                      head.request.deadline - now);
    std::array<double, most_promises> chance{1}; // of exactly so many ends
    for (const auto& [id, item] : this->records)
    {
        if (item.state == phase::running)
        {
            const duration rest = std::max(shortest_rest, item.expected_end - now);
            const double lasts = std::exp(-static_cast<double>(horizon.count()) /
                                          static_cast<double>(rest.count()));
            for (std::size_t ends = ahead; ends > 0; --ends)
            {
                chance[ends] = chance[ends] * lasts + chance[ends - 1] * (1 - lasts);
            }
            chance[0] *= lasts;
        }
    }
    double late = 0;
    for (std::size_t ends = 0; ends <= ahead; ++ends)
    {
        late += chance[ends];
    }
    return late <= this->options.promise_risk;
}

/// When the head of the queue may be granted: slot and link both meet its end.
time_point agent_scheduler::grant_time(const record& head, time_point now) const
{
    const time_point slot = this->slot_is_likely(head, now) ? now : this->sure_slot(now);
    if (slot == time_point::max())
    {
        return slot;
    }
    const time_point link = this->link_free - this->options.kv_lifetime / 2 -
                            head.request.lead - head.request.expected;
    const bool linked = head.request.transfer > duration{0};
    return std::max(slot - head.request.lead, linked ? link : time_point::min());
}

std::vector<agent_scheduler::forecast> agent_scheduler::rehearse(time_point now) const
{
    slot_heap slots(std::greater<>{}, this->expected_ends(now));
    time_point link = this->link_free;
    std::vector<forecast> starts;
    for (const attempt_id& id : this->queue.order())
    {
        const slot_request& request = this->records.at(id).request;
        const bool promised = this->options.promise_risk > 0;
        time_point start = promised ? std::max(slots.top(), now + request.lead)
                                    : slots.top() + request.lead;
        if (request.transfer > duration{0})
        {
            start =
                std::max(start, link - this->options.kv_lifetime / 2 - request.expected);
            link = std::max(link, start + request.expected) + request.transfer;
        }
        starts.push_back({id, start});
        if (start <= request.deadline)
        {
            slots.pop();
            slots.push(start + request.expected);
        }
    }
    return starts;
}

time_point agent_scheduler::next_expected_slot(time_point now) const
{
    slot_heap slots(std::greater<>{}, this->expected_ends(now));
    for (const attempt_id& id : this->queue.order())
    {
        slots.push(take_earliest(slots) + this->records.at(id).request.expected);
    }
    return slots.top();
}

} // namespace agateseam

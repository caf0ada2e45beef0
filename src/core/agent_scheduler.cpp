#include <agateseam/agent_scheduler.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr std::string_view step_name = "reserve slot";
constexpr duration min_retry_after = std::chrono::milliseconds(20);
/// Longest time until `advance` checks again whether a slot in use is likely to become
/// free in time.
constexpr duration likelihood_check_interval = std::chrono::milliseconds(50);

} // namespace

result<agent_scheduler> agent_scheduler::create(const scheduler_options& options)
{
    if (options.slots == 0 || options.lease_lifetime <= duration{0})
    {
        return fail(error_code::invalid, "create scheduler", "",
                    "slots and lease lifetime must be above 0");
    }
    return agent_scheduler(options);
}

agent_scheduler::agent_scheduler(const scheduler_options& initial_options)
    : options(initial_options)
{
}

result<duration> agent_scheduler::submit(const slot_request& request, time_point now)
{
    if (this->draining)
    {
        return fail(error_code::unavailable, step_name, "", "the agent is leaving");
    }
    if (this->records.contains(request.id))
    {
        return fail(error_code::conflict, step_name, "", "the attempt is known");
    }
    if (this->queue.size() >= this->options.max_queued_attempts)
    {
        return fail(error_code::exhausted, step_name, "", "the queue is full");
    }
    record& added = this->records[request.id];
    added.request = request;
    ++this->count(phase::waiting);
    this->queue.push(request.workspace, request.weight, request.tokens, request.id);
    time_point start = now;
    for (const forecast& item : this->forecast_starts(now))
    {
        start = item.id == request.id ? item.start : start;
    }
    if (start > request.deadline)
    {
        this->release(request.id, 0);
        return fail(error_code::exhausted, step_name, "", "no slot can be had in time");
    }
    return start - now;
}

bool agent_scheduler::request_start(const attempt_id& id, time_point now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.state != phase::reserved)
    {
        return false;
    }
    this->change_phase(found->second, phase::awaiting_slot);
    found->second.start_order = ++this->start_requests;
    found->second.lease_expiry = now + this->options.lease_lifetime;
    return true;
}

bool agent_scheduler::renew(const attempt_id& id, time_point now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() ||
        (found->second.state != phase::waiting && found->second.lease_expiry < now))
    {
        return false;
    }
    found->second.lease_expiry = now + this->options.lease_lifetime;
    return true;
}

void agent_scheduler::set_remaining_use(const attempt_id& id, duration expected,
                                        duration longest, time_point now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end() && found->second.state == phase::running)
    {
        found->second.expected_end = now + expected;
        found->second.latest_end = now + longest;
    }
}

void agent_scheduler::release(const attempt_id& id, double used)
{
    const auto found = this->records.find(id);
    if (found == this->records.end())
    {
        return;
    }
    const slot_request& request = found->second.request;
    if (found->second.state == phase::waiting)
    {
        this->queue.remove(request.workspace, id);
    }
    else
    {
        this->queue.adjust_charge(request.workspace, request.weight,
                                  used - request.tokens);
    }
    --this->count(found->second.state);
    this->records.erase(found);
}

std::vector<slot_event> agent_scheduler::advance(time_point now)
{
    std::vector<slot_event> events;
    this->expire_leases(now, events);
    this->start_in_free_slots(now, events);
    this->grant_waiting(now, events);
    this->refuse_late(now, events);
    return events;
}

time_point agent_scheduler::next_wake_time(time_point now) const
{
    time_point next = now + this->options.lease_lifetime;
    for (const auto& [id, item] : this->records)
    {
        next = std::min(next, item.state == phase::waiting ? item.request.deadline
                                                           : item.lease_expiry);
    }
    if (const auto head = this->queue.front())
    {
        next = std::min(next, this->grant_time(this->records.at(*head), now));
        const bool grants_likely_slots = this->options.max_late_probability > 0;
        next =
            grants_likely_slots ? std::min(next, now + likelihood_check_interval) : next;
    }
    return std::max(next, now);
}

duration agent_scheduler::retry_after(time_point now) const
{
    return std::max(min_retry_after, this->next_expected_slot(now) - now);
}

scheduler_load agent_scheduler::load() const
{
    scheduler_load load;
    load.running = this->count(phase::running);
    load.used =
        load.running + this->count(phase::reserved) + this->count(phase::awaiting_slot);
    load.queued = this->count(phase::waiting);
    for (const auto& [id, item] : this->records)
    {
        load.queued_tokens += item.request.tokens;
    }
    return load;
}

std::uint32_t& agent_scheduler::count(phase state)
{
    return this->counts[static_cast<std::size_t>(state)];
}

std::uint32_t agent_scheduler::count(phase state) const
{
    return this->counts[static_cast<std::size_t>(state)];
}

void agent_scheduler::change_phase(record& item, phase next)
{
    --this->count(item.state);
    item.state = next;
    ++this->count(next);
}

void agent_scheduler::run(record& item, time_point now, std::vector<slot_event>& events)
{
    this->change_phase(item, phase::running);
    item.expected_end = now + item.request.expected_use;
    item.latest_end = now + item.request.max_use;
    events.push_back({slot_event_kind::started, item.request.id, now, duration{0},
                      error_code::internal});
}

void agent_scheduler::expire_leases(time_point now, std::vector<slot_event>& events)
{
    std::vector<attempt_id> expired;
    for (const auto& [id, item] : this->records)
    {
        if (item.state != phase::waiting && item.lease_expiry < now)
        {
            expired.push_back(id);
        }
    }
    for (const attempt_id& id : expired)
    {
        this->release(id, this->records.at(id).request.tokens);
        events.push_back(
            {slot_event_kind::lease_expired, id, now, duration{0}, error_code::timeout});
    }
}

void agent_scheduler::start_in_free_slots(time_point now, std::vector<slot_event>& events)
{
    while (this->count(phase::awaiting_slot) > 0 &&
           this->count(phase::running) < this->options.slots)
    {
        record* first = nullptr;
        for (auto& [id, item] : this->records)
        {
            const bool is_awaiting = item.state == phase::awaiting_slot;
            if (is_awaiting &&
                (first == nullptr || item.start_order < first->start_order))
            {
                first = &item;
            }
        }
        this->run(*first, now, events);
    }
}

void agent_scheduler::grant_waiting(time_point now, std::vector<slot_event>& events)
{
    while (const auto head = this->queue.front())
    {
        record& item = this->records.at(*head);
        if (this->draining || this->grant_time(item, now) > now)
        {
            return;
        }
        this->queue.pop();
        const time_point ready_at = std::max(now, this->guaranteed_slot_time(now));
        this->change_phase(item, phase::reserved);
        item.lease_expiry = now + this->options.lease_lifetime;
        if (item.request.transfer_time > duration{0})
        {
            const time_point end = ready_at + item.request.expected_use;
            this->link_free_at =
                std::max(this->link_free_at, end) + item.request.transfer_time;
        }
        events.push_back({slot_event_kind::granted, *head, ready_at, duration{0},
                          error_code::internal});
    }
}

void agent_scheduler::refuse_late(time_point now, std::vector<slot_event>& events)
{
    if (this->queue.size() == 0)
    {
        return;
    }
    const std::vector<forecast> starts = this->forecast_starts(now);
    for (const forecast& item : starts)
    {
        if (this->draining)
        {
            this->refuse(item.id, error_code::unavailable, now, events);
        }
        else if (item.start > this->records.at(item.id).request.deadline)
        {
            this->refuse(item.id, error_code::exhausted, now, events);
        }
    }
}

void agent_scheduler::refuse(const attempt_id& id, error_code reason, time_point now,
                             std::vector<slot_event>& events)
{
    this->release(id, 0);
    events.push_back({slot_event_kind::refused, id, now,
                      std::max(min_retry_after, this->retry_after(now)), reason});
}

} // namespace agateseam

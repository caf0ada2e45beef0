#include <bench/policy_model.hpp>

#include <utility>

namespace agateseam::bench
{

time_point event_queue::now_time_point() const noexcept
{
    constexpr double nanoseconds_per_second = 1e9;
    constexpr double begin = 1'000; // Seconds, so that no deadline lies before zero.
    return time_point{duration{
        static_cast<duration::rep>((this->time + begin) * nanoseconds_per_second)}};
}

void event_queue::at(double when, std::function<void()> call)
{
    this->scheduled_calls.push(
        {std::max(when, this->time), ++this->last_number, std::move(call)});
}

void event_queue::after(double delay, std::function<void()> call)
{
    this->at(this->time + delay, std::move(call));
}

void event_queue::run_until(double limit)
{
    while (!this->scheduled_calls.empty() && this->scheduled_calls.top().when <= limit)
    {
        const entry next = this->scheduled_calls.top();
        this->scheduled_calls.pop();
        this->time = next.when;
        next.call();
    }
    this->time = limit;
}

std::size_t
prefix_cache::lookup_and_store(const std::vector<std::uint64_t>& chain,
                               const std::function<void(std::uint64_t, bool)>& changed)
{
    std::size_t hits = 0;
    bool in_prefix = true;
    for (const std::uint64_t block : chain)
    {
        const auto found = this->positions.find(block);
        in_prefix = in_prefix && found != this->positions.end();
        hits += in_prefix ? 1 : 0;
        if (found != this->positions.end())
        {
            this->recency.splice(this->recency.begin(), this->recency, found->second);
            continue;
        }
        this->recency.push_front(block);
        this->positions[block] = this->recency.begin();
        changed(block, true);
        if (this->recency.size() > this->capacity)
        {
            changed(this->recency.back(), false);
            this->positions.erase(this->recency.back());
            this->recency.pop_back();
        }
    }
    return hits;
}

bool is_hit_by_entry_failure(const scenario& plan, const traced_request& request)
{
    if (serving_entry(plan, request) != lost_entry)
    {
        return false;
    }
    const double end = request.arrival + plan.policy.first_token_limit +
                       request.output_tokens * plan.token_gap;
    if (plan.entry_lost)
    {
        return end >= *plan.entry_lost;
    }
    return plan.entry_paused && end >= *plan.entry_paused &&
           request.arrival < *plan.entry_paused + pause_seconds;
}

std::uint32_t serving_entry(const scenario& plan, const traced_request& request)
{
    const bool lost = plan.entry_lost && request.arrival >= *plan.entry_lost;
    const bool paused = plan.entry_paused && request.arrival >= *plan.entry_paused &&
                        request.arrival < *plan.entry_paused + pause_seconds;
    if (request.entry == lost_entry && (lost || paused))
    {
        return 1 + static_cast<std::uint32_t>(request.number % (plan.entries - 1));
    }
    return request.entry;
}

} // namespace agateseam::bench

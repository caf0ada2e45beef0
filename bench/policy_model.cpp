#include <bench/policy_model.hpp>

#include <utility>

namespace agateseam::bench
{

time_point event_queue::now_point() const noexcept
{
    constexpr double nanoseconds = 1e9;
    constexpr double begin = 1'000; // seconds, so that no deadline lies before zero
    return time_point{
        duration{static_cast<duration::rep>((this->time + begin) * nanoseconds)}};
}

void event_queue::at(double when, std::function<void()> call)
{
    this->entries.push({std::max(when, this->time), ++this->numbers, std::move(call)});
}

void event_queue::after(double delay, std::function<void()> call)
{
    this->at(this->time + delay, std::move(call));
}

void event_queue::run_until(double limit)
{
    while (!this->entries.empty() && this->entries.top().when <= limit)
    {
        const entry next = this->entries.top();
        this->entries.pop();
        this->time = next.when;
        next.call();
    }
    this->time = limit;
}

std::size_t prefix_cache::touch(const std::vector<std::uint64_t>& chain,
                                const std::function<void(std::uint64_t, bool)>& changed)
{
    std::size_t hits = 0;
    bool prefix = true;
    for (const std::uint64_t block : chain)
    {
        const auto found = this->places.find(block);
        prefix = prefix && found != this->places.end();
        hits += prefix ? 1 : 0;
        if (found != this->places.end())
        {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front(block);
        this->places[block] = this->order.begin();
        changed(block, true);
        if (this->order.size() > this->capacity)
        {
            changed(this->order.back(), false);
            this->places.erase(this->order.back());
            this->order.pop_back();
        }
    }
    return hits;
}

bool is_left_out(const scenario& plan, const traced_request& request)
{
    if (live_entry(plan, request) != lost_entry)
    {
        return false;
    }
    const double end = request.at + plan.policy.first_token_limit +
                       request.output_tokens * plan.token_gap;
    if (plan.entry_lost)
    {
        return end >= *plan.entry_lost;
    }
    return plan.entry_paused && end >= *plan.entry_paused &&
           request.at < *plan.entry_paused + pause_length;
}

std::uint32_t live_entry(const scenario& plan, const traced_request& request)
{
    const bool lost = plan.entry_lost && request.at >= *plan.entry_lost;
    const bool paused = plan.entry_paused && request.at >= *plan.entry_paused &&
                        request.at < *plan.entry_paused + pause_length;
    if (request.entry == lost_entry && (lost || paused))
    {
        return 1 + static_cast<std::uint32_t>(request.number % (plan.entries - 1));
    }
    return request.entry;
}

} // namespace agateseam::bench

#include <agateseam/static_admission.hpp>

#include <algorithm>

namespace agateseam
{

result<std::unique_ptr<static_admission>>
static_admission::create(const clock_source& time, unsigned entries)
{
    return std::unique_ptr<static_admission>(new static_admission(time, entries));
}

void static_admission::configure(const configuration& current)
{
    const std::scoped_lock lock(this->mutex);
    for (const auto& [name, workspace] : current.workspaces)
    {
        auto [position, added] = this->buckets.try_emplace(name);
        bucket& target = position->second;
        if (added)
        {
            target.last_refill = this->time->now();
        }
        this->refill(target);
        target.total_rate = workspace.rate;
        target.total_burst = workspace.burst;
        this->apply_split(target);
    }
    std::erase_if(this->buckets, [&](const auto& item)
                  { return !current.workspaces.contains(item.first); });
}

void static_admission::set_entries(unsigned count)
{
    const std::scoped_lock lock(this->mutex);
    if (count == this->entries)
    {
        return;
    }
    this->entries = count;
    for (auto& [name, target] : this->buckets)
    {
        this->refill(target);
        this->apply_split(target);
    }
}

void static_admission::apply_split(bucket& target) const
{
    const double share = this->entries == 0 ? 0.0 : 1.0 / this->entries;
    target.rate = target.total_rate * share;
    target.burst = target.total_burst * share;
    const double max_level = std::max(0.0, target.burst - target.outstanding);
    target.level = std::min(max_level, target.level);
}

void static_admission::refill(bucket& target) const
{
    const time_point now = this->time->now();
    const std::chrono::duration<double> elapsed = now - target.last_refill;
    target.last_refill = now;
    const double max_level = std::max(0.0, target.burst - target.outstanding);
    target.level = std::min(max_level, target.level + elapsed.count() * target.rate);
}

admission_decision static_admission::reserve(std::string_view workspace, double tokens)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end())
    {
        return {};
    }
    bucket& target = found->second;
    this->refill(target);
    admission_decision decision;
    decision.limit = target.burst;
    decision.admitted = target.level >= tokens;
    if (decision.admitted)
    {
        target.level -= tokens;
        target.outstanding += tokens;
    }
    else if (target.rate > 0)
    {
        decision.retry_after = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>((tokens - target.level) / target.rate));
    }
    decision.remaining = target.level;
    return decision;
}

void static_admission::deliver(std::string_view workspace, double tokens)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end())
    {
        this->refill(found->second);
        found->second.outstanding -= tokens;
    }
}

void static_admission::release(std::string_view workspace, double tokens)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end())
    {
        this->refill(found->second);
        found->second.outstanding -= tokens;
        found->second.level += tokens;
    }
}

} // namespace agateseam

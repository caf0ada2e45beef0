#include <agateseam/fleet_bucket.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

fleet_bucket::fleet_bucket(bucket_limits initial_limits, double initial_level,
                           time_point now)
    : current_limits(initial_limits)
    , current_level(std::min(initial_level, initial_limits.burst))
    , refilled_at(now)
{
}

void fleet_bucket::set_limits(bucket_limits new_limits, time_point now)
{
    this->refill(now);
    this->current_limits = new_limits;
    this->current_level = std::min(this->current_level, new_limits.burst);
}

void fleet_bucket::set_view(fleet_view view, time_point now)
{
    this->refill_fraction = view.reachable_fraction();
    this->refill(now);
}

bool fleet_bucket::try_take(double amount, fleet_view view, time_point now)
{
    this->set_view(view, now);
    // In a partitioned fleet each side may also use only its part of the capacity.
    this->current_level =
        std::min(this->current_level, this->current_limits.burst * this->refill_fraction);
    // An amount larger than the capacity is granted when the bucket is full.
    const double needed =
        std::min(amount, this->current_limits.burst * this->refill_fraction);
    if (this->current_level < needed)
    {
        return false;
    }
    this->current_level -= amount;
    this->net_spending += amount;
    return true;
}

void fleet_bucket::take(double amount, time_point now)
{
    this->refill(now);
    this->current_level -= amount;
    this->net_spending += amount;
}

void fleet_bucket::credit(double amount, time_point now)
{
    this->refill(now);
    this->current_level =
        std::min(this->current_level + amount, this->current_limits.burst);
    this->net_spending -= amount;
}

void fleet_bucket::charge_peer_spending(double amount, time_point now)
{
    this->refill(now);
    this->current_level =
        std::min(this->current_level - amount, this->current_limits.burst);
}

void fleet_bucket::raise_to(double peer_level, time_point now)
{
    this->refill(now);
    this->current_level =
        std::clamp(peer_level, this->current_level, this->current_limits.burst);
}

duration fleet_bucket::time_until_available(double amount, fleet_view view,
                                            time_point now)
{
    this->refill(now);
    const double needed =
        std::min(amount, this->current_limits.burst * view.reachable_fraction());
    const double missing = needed - this->current_level;
    const double refill_rate =
        this->current_limits.refill_per_second * view.reachable_fraction();
    if (missing <= 0 || refill_rate <= 0)
    {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / refill_rate));
}

double fleet_bucket::level(time_point now)
{
    this->refill(now);
    return this->current_level;
}

void fleet_bucket::refill(time_point now)
{
    if (now <= this->refilled_at)
    {
        return;
    }
    const double elapsed = to_seconds(now - this->refilled_at);
    this->refilled_at = now;
    const double max_level = this->current_limits.burst * this->refill_fraction;
    if (this->current_level < max_level)
    {
        const double refilled =
            elapsed * this->current_limits.refill_per_second * this->refill_fraction;
        this->current_level = std::min(max_level, this->current_level + refilled);
    }
}

} // namespace agateseam

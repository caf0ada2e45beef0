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
    const double fraction = view.reachable_fraction();
    if (fraction < 1 && this->refill_fraction >= 1)
    {
        this->withheld = 0;
    }
    this->refill_fraction = fraction;
    this->refill(now);
}

void fleet_bucket::limit_to(fleet_view view, time_point now)
{
    this->set_view(view, now);
    const double max_level = this->current_limits.burst * this->refill_fraction;
    if (this->current_level > max_level)
    {
        this->withheld += this->current_level - max_level;
        this->current_level = max_level;
    }
}

bool fleet_bucket::try_take(double amount, fleet_view view, time_point now)
{
    this->limit_to(view, now);
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

void fleet_bucket::charge_unseen_spending(double amount, time_point now)
{
    this->refill(now);
    const double charged = std::max(0.0, amount - this->withheld);
    this->withheld = std::max(0.0, this->withheld - std::max(0.0, amount));
    this->current_level -= charged;
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
    const double whole_refill = elapsed * this->current_limits.refill_per_second;
    this->withheld += whole_refill * (1 - this->refill_fraction);
    const double max_level = this->current_limits.burst * this->refill_fraction;
    if (this->current_level < max_level)
    {
        this->current_level = std::min(
            max_level, this->current_level + whole_refill * this->refill_fraction);
    }
}

} // namespace agateseam

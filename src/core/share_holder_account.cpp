#include <agateseam/share_holder.hpp>

#include <cmath>

namespace agateseam
{

namespace
{

constexpr double least_requests = 2; ///< Below that an idle share is of little use.
constexpr double smoothing_seconds = 1;

double seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

bool share_holder::account::take(std::int64_t tokens) noexcept
{
    std::int64_t seen = this->credit;
    while (seen >= tokens)
    {
        if (this->credit.compare_exchange_weak(seen, seen - tokens))
        {
            return true;
        }
    }
    return false;
}

share_account share_holder::account::counters() const
{
    return {this->workspace, this->granted, this->delivered, this->returned};
}

/// Tells whether the home knows all that was delivered and returned.
bool share_holder::account::settled() const noexcept
{
    return this->delivered == this->acknowledged.delivered &&
           this->returned == this->acknowledged.returned;
}

/// Follows the demand by an exponential mean.
void share_holder::account::measure(time_point now) noexcept
{
    const double passed = seconds(now - this->demand_at);
    if (passed <= 0)
    {
        return;
    }
    const token_count asked = this->demanded;
    const double current = static_cast<double>(asked - this->demand_seen) / passed;
    const double weight = 1 - std::exp(-passed / smoothing_seconds);
    this->demand_rate += weight * (current - this->demand_rate);
    this->demand_seen = asked;
    this->demand_at = now;
}

/// The idle tokens worth keeping: none while they are scarce, or for a demand so small
/// that they would rarely be enough for a request.
std::int64_t share_holder::account::target(duration horizon) const noexcept
{
    const token_count asked = this->requests;
    if (this->scarce || asked == 0)
    {
        return 0;
    }
    const double mean = static_cast<double>(this->demanded) / static_cast<double>(asked);
    const double wanted = this->demand_rate * seconds(horizon);
    return wanted < least_requests * mean ? 0 : static_cast<std::int64_t>(wanted);
}

} // namespace agateseam

#include <agateseam/share_holder.hpp>

#include <cmath>

namespace agateseam
{

namespace
{

/// Unused tokens that cover fewer average requests than this are not worth keeping.
constexpr double min_requests_covered = 2;
constexpr double demand_smoothing_seconds = 1;

double seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

bool share_holder::account::try_take(std::int64_t tokens) noexcept
{
    std::int64_t available = this->credit;
    while (available >= tokens)
    {
        if (this->credit.compare_exchange_weak(available, available - tokens))
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

/// Tells whether the home has acknowledged all delivered and returned tokens.
bool share_holder::account::is_acknowledged() const noexcept
{
    return this->delivered == this->acknowledged.delivered &&
           this->returned == this->acknowledged.returned;
}

/// Updates the demand rate, an exponentially weighted moving average.
void share_holder::account::measure_demand(time_point now) noexcept
{
    const double elapsed = seconds(now - this->measured_at);
    if (elapsed <= 0)
    {
        return;
    }
    const token_count demand_now = this->demanded;
    const double current_rate =
        static_cast<double>(demand_now - this->measured_demand) / elapsed;
    const double weight = 1 - std::exp(-elapsed / demand_smoothing_seconds);
    this->demand_rate += weight * (current_rate - this->demand_rate);
    this->measured_demand = demand_now;
    this->measured_at = now;
}

/// Returns how many unused tokens to keep: none while tokens are scarce at the home, or
/// while the demand is so small that they would rarely be enough for a request.
std::int64_t share_holder::account::target_credit(duration horizon) const noexcept
{
    const token_count request_count = this->requests;
    if (this->scarce || request_count == 0)
    {
        return 0;
    }
    const double mean_tokens =
        static_cast<double>(this->demanded) / static_cast<double>(request_count);
    const double expected_demand = this->demand_rate * seconds(horizon);
    return expected_demand < min_requests_covered * mean_tokens
               ? 0
               : static_cast<std::int64_t>(expected_demand);
}

} // namespace agateseam

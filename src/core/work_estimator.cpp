#include <agateseam/work_estimator.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr double new_weight = 0.05; // of one observation

/// Concurrent notes may lose one of them, which an average bears.
void blend(std::atomic<double>& average, double observed) noexcept
{
    const double known = average.load(std::memory_order_relaxed);
    average.store(known + new_weight * (observed - known), std::memory_order_relaxed);
}

duration to_duration(double nanoseconds) noexcept
{
    return duration{static_cast<duration::rep>(nanoseconds)};
}

} // namespace

work_estimator::work_estimator(duration token_gap, duration lead_per_token) noexcept
    : gap(static_cast<double>(token_gap.count()))
    , lead_rate(static_cast<double>(lead_per_token.count()))
{
}

void work_estimator::note_answer(std::uint32_t limit, std::uint32_t tokens,
                                 duration time) noexcept
{
    blend(this->output_share, static_cast<double>(tokens) / std::max(limit, tokens));
    if (tokens > 1)
    {
        blend(this->gap, static_cast<double>(time.count()) / (tokens - 1));
    }
}

void work_estimator::note_lead(std::uint32_t tokens, duration time) noexcept
{
    blend(this->lead_rate, static_cast<double>(time.count()) / tokens);
}

duration work_estimator::output_time(double tokens) const noexcept
{
    return to_duration(this->gap.load(std::memory_order_relaxed) * tokens);
}

double work_estimator::output_tokens(std::uint32_t limit) const noexcept
{
    return std::max(1.0, limit * this->output_share.load(std::memory_order_relaxed));
}

duration work_estimator::lead(std::uint32_t tokens) const noexcept
{
    return to_duration(this->lead_rate.load(std::memory_order_relaxed) * tokens);
}

} // namespace agateseam

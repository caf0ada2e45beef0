#include <agateseam/model_latency_estimator.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Weight of the newest observation: about ten streams, a second of an entry's traffic,
/// determine an average.
constexpr double newest_weight = 0.1;

double to_milliseconds(duration time) noexcept
{
    return std::chrono::duration<double, std::milli>(time).count();
}

duration from_milliseconds(double milliseconds) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

void model_latency_estimator::record_stream(duration start, duration rest,
                                            std::int64_t output_tokens) noexcept
{
    this->start_ms += newest_weight * (to_milliseconds(start) - this->start_ms);
    const double observed_stream = to_milliseconds(start + rest);
    this->stream_ms =
        this->stream_ms == 0
            ? observed_stream
            : this->stream_ms + newest_weight * (observed_stream - this->stream_ms);
    if (output_tokens > 0)
    {
        const double observed =
            to_milliseconds(rest) / static_cast<double>(output_tokens);
        this->ms_per_token += newest_weight * (observed - this->ms_per_token);
    }
}

void model_latency_estimator::record_prefill(duration elapsed,
                                             std::int64_t prompt_tokens) noexcept
{
    if (prompt_tokens <= 0)
    {
        return;
    }
    const double observed = to_milliseconds(elapsed) / static_cast<double>(prompt_tokens);
    this->prefill_ms_per_token =
        this->prefill_ms_per_token == 0
            ? observed
            : this->prefill_ms_per_token +
                  newest_weight * (observed - this->prefill_ms_per_token);
}

duration
model_latency_estimator::prefill_timeout(std::int64_t prompt_tokens) const noexcept
{
    if (this->prefill_ms_per_token == 0)
    {
        return max_prefill_timeout;
    }
    return std::clamp<duration>(
        from_milliseconds(prefill_margin * this->prefill_ms_per_token *
                          static_cast<double>(prompt_tokens)),
        min_prefill_timeout, max_prefill_timeout);
}

duration
model_latency_estimator::expected_duration(std::int64_t output_tokens) const noexcept
{
    return from_milliseconds(
        duration_margin *
        (this->start_ms + this->ms_per_token * static_cast<double>(output_tokens)));
}

duration model_latency_estimator::typical_stream_time() const noexcept
{
    return from_milliseconds(this->stream_ms);
}

duration model_latency_estimator::expected_first_event_time() const noexcept
{
    return from_milliseconds(this->start_ms);
}

} // namespace agateseam

/// Estimates how long model requests take from those that have ended.
#pragma once

#include <cstdint>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Learns the duration of model requests by the length of their outputs, and that
/// of prefills by the length of their prompts.
///
/// Load pattern: an entry was told to stop while callers still arrive. A stream that
/// can't end before the process does is refused at once, so that its caller goes to
/// another entry instead of being cut off.
class model_latency_estimator
{
  public:
    /// Assumed at first: the time of a step of a full engine.
    static constexpr double initial_ms_per_token = 1.2;
    /// Assumed at first: the time to prefill a usual prompt.
    static constexpr double initial_start_ms = 250;
    /// Factor on the average duration, since about half of the streams are slower than
    /// the average.
    static constexpr double duration_margin = 1.4;
    /// Factor on the average prefill time, since a prefill that waits behind others takes
    /// several times as long.
    static constexpr double prefill_margin = 4;
    static constexpr std::chrono::milliseconds min_prefill_timeout{250};
    static constexpr std::chrono::milliseconds max_prefill_timeout{1'200};

    /// \brief Records a stream that came to its end.
    /// \param start from the decode place to the first event.
    /// \param rest from the first event to the end.
    void record_stream(duration start, duration rest,
                       std::int64_t output_tokens) noexcept;

    /// \brief Returns how long a request may take from its decode place to its end.
    [[nodiscard]] duration expected_duration(std::int64_t output_tokens) const noexcept;

    /// \brief Returns how many tokens one stream generates per second.
    [[nodiscard]] double tokens_per_second() const noexcept
    {
        return 1'000 / this->ms_per_token;
    }

    /// \brief Records the time of a prefill. The first one replaces the unknown average.
    void record_prefill(duration elapsed, std::int64_t prompt_tokens) noexcept;

    /// \brief Returns the time after which a prefill without an answer is given up: its
    /// server is unreachable, or the answer was lost.
    [[nodiscard]] duration prefill_timeout(std::int64_t prompt_tokens) const noexcept;

    /// \brief Returns the average time from a decode place to the end of a stream; zero
    /// before any has ended.
    [[nodiscard]] duration typical_stream_time() const noexcept;

    /// \brief Returns the average time from a decode place to the first event.
    [[nodiscard]] duration expected_first_event_time() const noexcept;

  private:
    double ms_per_token = initial_ms_per_token;
    double start_ms = initial_start_ms;
    double stream_ms = 0;            ///< 0: no stream was recorded yet.
    double prefill_ms_per_token = 0; ///< 0: no prefill was recorded yet.
};

} // namespace agateseam

/// Monotonic and calendar time behind one interface, so that tests can set the time.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include <agateseam/forward_declarations.hpp>

namespace agateseam
{

/// A span of time, in nanoseconds.
using duration = std::chrono::nanoseconds;

/// A point on a process's monotonic clock. Points of two processes are not comparable.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the calendar, in milliseconds since 1970 UTC.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// \brief Returns a span in whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t whole_milliseconds(duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// \brief Provides the current monotonic and calendar time.
class clock_source
{
  public:
    virtual ~clock_source() = default;

    /// \brief Returns the monotonic time, which never goes back.
    [[nodiscard]] virtual time_point now() const noexcept = 0;

    /// \brief Returns the calendar time, which an operator or NTP may set back.
    [[nodiscard]] virtual wall_time wall_now() const noexcept = 0;
};

/// \brief Reads the operating system's clocks.
class steady_clock_source final : public clock_source
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    }

    [[nodiscard]] wall_time wall_now() const noexcept override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

/// \brief A clock that changes only through `advance` and `set`.
class manual_clock final : public clock_source
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return time_point{duration{this->elapsed.load(std::memory_order_acquire)}};
    }

    [[nodiscard]] wall_time wall_now() const noexcept override
    {
        return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(
            duration{this->elapsed.load(std::memory_order_acquire)})};
    }

    /// \brief Moves the clock forward by a time span.
    void advance(duration step) noexcept { this->elapsed += step.count(); }

    /// \brief Sets the clock; the caller must not set it back.
    void set(time_point at) noexcept { this->elapsed = at.time_since_epoch().count(); }

  private:
    std::atomic<duration::rep> elapsed{0};
};

} // namespace agateseam

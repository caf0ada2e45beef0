/// A hybrid logical clock: its timestamps stay close to calendar time and respect the
/// order in which messages are sent and received.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief A timestamp: calendar milliseconds, and a counter that orders the timestamps of
/// one millisecond.
struct hybrid_time
{
    /// Milliseconds since 1970 in the upper 48 bits, the counter in the lower 16.
    std::uint64_t packed = 0;

    /// \brief Returns milliseconds since 1970 UTC.
    [[nodiscard]] constexpr std::uint64_t milliseconds() const noexcept
    {
        return this->packed >> counter_bits;
    }

    /// \brief Returns the counter, which orders the timestamps of one millisecond.
    [[nodiscard]] constexpr std::uint64_t counter() const noexcept
    {
        return this->packed & ((std::uint64_t{1} << counter_bits) - 1);
    }

    friend constexpr bool operator==(const hybrid_time&, const hybrid_time&) = default;

    /// \brief Orders by time, then by counter.
    friend constexpr bool operator<(const hybrid_time& left,
                                    const hybrid_time& right) noexcept
    {
        return left.packed < right.packed;
    }

    static constexpr unsigned counter_bits = 16;
};

/// \brief Returns the timestamp as a decimal number, as it is sent in a header.
[[nodiscard]] std::string to_text(hybrid_time timestamp);

/// \brief Parses a timestamp from a header; `invalid` when it is not a decimal number.
[[nodiscard]] result<hybrid_time> parse_hybrid_time(std::string_view text);

/// \brief Issues timestamps; thread-safe and lock-free.
///
/// \remarks A peer's timestamp that is ahead by more than `max_lead` is rejected, so that
/// one wrong clock cannot move the whole fleet's timestamps away from calendar time.
class hybrid_clock
{
  public:
    /// How far a peer's timestamp may be ahead of this process's calendar time.
    static constexpr std::chrono::milliseconds max_lead{60'000};

    /// \param time must outlive the object.
    explicit hybrid_clock(const clock_source& time) noexcept
        : source(&time)
    {
    }

    /// \brief Returns the timestamp of a local event or of a message about to be sent.
    [[nodiscard]] hybrid_time tick() noexcept;

    /// \brief Advances the clock to at least the timestamp of a received message.
    /// \returns false when the timestamp was rejected because it is too far ahead.
    bool merge(hybrid_time remote) noexcept;

  private:
    [[nodiscard]] std::uint64_t packed_wall_time() const noexcept;

    const clock_source* source;
    std::atomic<std::uint64_t> latest{0}; ///< The highest one issued or received, packed.
};

} // namespace agateseam

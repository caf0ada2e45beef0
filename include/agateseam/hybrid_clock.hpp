/// Hybrid logical time: stamps that follow the calendar and never contradict the order in
/// which messages were sent and received.
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

/// \brief One stamp: calendar milliseconds, and a counter that orders equal ones.
struct hybrid_time
{
    std::uint64_t packed = 0; ///< Milliseconds since 1970 in the upper 48 bits.

    /// \brief Returns milliseconds since 1970 UTC.
    [[nodiscard]] constexpr std::uint64_t milliseconds() const noexcept
    {
        return this->packed >> counter_bits;
    }

    /// \brief Returns the place among the stamps of the same millisecond.
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

/// \brief Returns the stamp as a decimal number, its form in a header.
[[nodiscard]] std::string to_text(hybrid_time stamp);

/// \brief Reads a stamp from a header; `invalid` when it is not a decimal number.
[[nodiscard]] result<hybrid_time> parse_hybrid_time(std::string_view text);

/// \brief Gives out stamps; safe from any thread, without a lock.
///
/// \remarks A stamp that lies further ahead than `largest_lead` is not taken over, so
/// that one wrong clock cannot drag the fleet's stamps away from the calendar.
class hybrid_clock
{
  public:
    /// How far a peer's stamp may lie ahead of this process's calendar.
    static constexpr std::chrono::milliseconds largest_lead{60'000};

    /// \param time must outlive the object.
    explicit hybrid_clock(const clock_source& time) noexcept
        : source(&time)
    {
    }

    /// \brief Stamps an event of this process or a message about to leave.
    [[nodiscard]] hybrid_time tick() noexcept;

    /// \brief Takes over the stamp of a message that arrived.
    /// \returns whether it was taken over; false when it leads by too much.
    bool merge(hybrid_time remote) noexcept;

  private:
    [[nodiscard]] std::uint64_t calendar() const noexcept;

    const clock_source* source;
    std::atomic<std::uint64_t> last{0};
};

} // namespace agateseam

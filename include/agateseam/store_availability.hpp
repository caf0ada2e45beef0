/// Tracks outages of the platform's store, after which its lists may be incomplete.
#pragma once

#include <optional>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief What another entry, which calls the store itself, reports of it.
struct store_report
{
    duration since_response{}; ///< Since the store last responded to that entry.
    duration responding_for{}; ///< Since then all calls of that entry got a response.
};

/// \brief A time in which the store responded to none of this entry's calls.
struct store_silence
{
    duration length{};      ///< Zero if the store responded to others all the while.
    bool is_outage = false; ///< It was long enough for objects to lapse.
};

/// \brief Tracks since when the store has been silent, and until when its lists may lack
/// objects that lapsed during an outage.
///
/// Only a call to the store itself that gets no response begins a silence. Another entry
/// that doesn't answer may have failed itself or be out of reach, so it says nothing
/// about the store.
///
/// An entry that the store alone turns away calls it again only after seconds, and
/// follows it through another entry meanwhile. That entry's report ends the silence, or
/// the outage would last until the next call of this entry.
class store_availability
{
  public:
    /// In an outage shorter than this, no object in the store can have lapsed.
    static constexpr std::chrono::milliseconds min_outage_time{800};
    /// Lapsed objects are registered again within about this time after an outage.
    static constexpr std::chrono::milliseconds settle_time{2'000};

    /// \brief Records that a call to the store got no response.
    /// \returns whether a silence begins with it.
    bool record_failure(time_point now);

    /// \brief Records a response of the store to this entry.
    /// \returns the silence that has ended, if there was one.
    std::optional<store_silence> record_response(time_point now);

    /// \brief Records what another entry reports. It ends a silence if the store has
    /// responded to that entry since it began; the store was silent, at most, until it
    /// began to respond there.
    /// \returns the silence that has ended, if there was one.
    std::optional<store_silence> record_report(const store_report& report,
                                               time_point now);

    /// \brief Records that the store came back from a copy, which lacks the objects that
    /// were written after it, however short the outage was.
    void record_restoration(time_point now);

    /// \brief Tells whether lists may still lack objects that lapsed in an outage.
    [[nodiscard]] bool after_outage(time_point now) const noexcept
    {
        return now < this->settled_after;
    }

    /// \brief Returns what this entry reports to others; nothing before the first
    /// response.
    [[nodiscard]] std::optional<store_report> report(time_point now) const;

  private:
    std::optional<store_silence> end_silence(time_point at);

    std::optional<time_point> silent_since;
    std::optional<time_point> last_response;
    time_point responding_since{}; ///< The first response after the latest failed call.
    bool has_failed_since_response = false;
    time_point settled_after{};
};

} // namespace agateseam

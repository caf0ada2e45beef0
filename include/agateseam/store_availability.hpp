/// Tracks outages of the platform's store, after which its lists may be incomplete.
#pragma once

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Tracks since when the store has been failing, and until when its lists may lack
/// objects that lapsed during an outage.
///
/// An entry that the store turned away calls it again only after seconds, and follows it
/// through another entry meanwhile. Those answers count like the store's, or the outage
/// would last until the next call of its own.
class store_availability
{
  public:
    /// In an outage shorter than this, no object in the store can have lapsed.
    static constexpr std::chrono::milliseconds min_outage_time{800};
    /// Lapsed objects are registered again within about this time after an outage.
    static constexpr std::chrono::milliseconds settle_time{2'000};

    /// \brief Records that a call to the store failed.
    void record_failure(time_point now)
    {
        if (this->failing_since == time_point{})
        {
            this->failing_since = now;
        }
    }

    /// \brief Records that the store answered; an outage that was long enough for objects
    /// to lapse starts the settle time.
    /// \returns whether such an outage has ended.
    bool record_response(time_point now)
    {
        const bool outage_ended = this->failing_since != time_point{} &&
                                  now - this->failing_since >= min_outage_time;
        if (outage_ended)
        {
            this->settled_after = now + settle_time;
        }
        this->failing_since = {};
        return outage_ended;
    }

    /// \brief Records that the store came back from a copy, which lacks the objects that
    /// were written after it, however short the outage was.
    void record_restoration(time_point now) { this->settled_after = now + settle_time; }

    /// \brief Tells whether lists may still lack objects that lapsed in an outage.
    [[nodiscard]] bool after_outage(time_point now) const
    {
        return now < this->settled_after;
    }

  private:
    time_point failing_since{};
    time_point settled_after{};
};

} // namespace agateseam

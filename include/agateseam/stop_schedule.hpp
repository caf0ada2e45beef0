/// Decides what a process that was told to stop may still begin.
#pragma once

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief The time that a stopping process has left.
///
/// Load pattern: callers still arrive after a process was told to stop, some of them on
/// connections that they keep until it is gone. An estimate of a request's duration is no
/// bound: the request may wait, a step may be repeated, its server may turn slow. While
/// callers have nowhere else to go, the estimate decides; after that only a bound does.
class stop_schedule
{
  public:
    /// The platform moves callers to other processes within this time: it asks for
    /// readiness once a second and removes a process after two failures.
    static constexpr std::chrono::milliseconds caller_migration_time{2'500};

    /// \param available the time from the stop's start to its end.
    stop_schedule(time_point started_at, duration available) noexcept
        : start(started_at)
        , end(started_at + available)
    {
    }

    [[nodiscard]] time_point started_at() const noexcept { return this->start; }
    /// \brief Returns when the requests that are still open are cut off.
    [[nodiscard]] time_point ends_at() const noexcept { return this->end; }
    [[nodiscard]] bool callers_moved(time_point now) const noexcept;

    /// \brief Tells whether a request that has just arrived is taken.
    /// \param limit when it has its final answer at the latest.
    /// \param expected_time an estimate of its duration.
    [[nodiscard]] bool accepts(time_point now, time_point limit,
                               duration expected_time) const noexcept;

    /// \brief Tells whether a request that was taken may still be sent to a server;
    /// otherwise it is refused as not run while that is true.
    /// \param expected_time an estimate of the time from the server to the whole answer.
    [[nodiscard]] bool may_send(time_point now, duration expected_time) const noexcept;

  private:
    time_point start;
    time_point end;
};

} // namespace agateseam

/// The order in which waiting model requests get a decode place.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief One waiting request.
struct waiting_request
{
    std::uint32_t priority = 0; ///< 0 is served first.
    time_point arrived_at{};
    /// The first event will be late if the request is placed after this time.
    time_point placement_deadline{};
};

/// How urgent a waiting request is; a lower rank goes first. Of one priority, a request
/// that can be in time comes before one that can't.
using waiting_rank = std::uint32_t;
inline constexpr waiting_rank no_waiting_rank = std::numeric_limits<waiting_rank>::max();

[[nodiscard]] constexpr waiting_rank rank_of(const waiting_request& request,
                                             time_point now) noexcept
{
    return 2 * request.priority + (now > request.placement_deadline ? 1 : 0);
}

/// \brief The requests that wait at the other entries, as far as this one knows.
struct fleet_queue
{
    waiting_rank best_rank = no_waiting_rank; ///< Of the next requests of all entries.
    std::uint32_t entries_at_best = 0;        ///< Whose next request has that rank.
    std::uint32_t requests = 0;               ///< All that wait.

    /// \brief Adds what one entry reports.
    void add(waiting_rank rank, std::uint32_t waiting) noexcept;

    /// \brief Tells whether a request of this rank may take a place now.
    ///
    /// Load pattern: a burst of twice the places over tens of entries, at each of which
    /// one or two requests wait. If each entry served its own queue alone, requests that
    /// are late already would take the places of others that can still be in time.
    [[nodiscard]] bool allows(waiting_rank rank) const noexcept
    {
        return rank <= this->best_rank;
    }

    /// \brief Returns how many entries compete for the same place as a request of this
    /// rank.
    [[nodiscard]] std::uint32_t competitors(waiting_rank rank) const noexcept
    {
        return rank == this->best_rank ? this->entries_at_best : 0;
    }
};

/// \brief Returns how long a newly waiting request is likely to wait for a place.
///
/// \param ahead the requests that wait before it, over all entries.
/// \param running the requests that hold a place, over all entries.
/// \param stream_time how long one of them holds it on average.
[[nodiscard]] duration expected_wait(std::uint32_t ahead, std::uint32_t running,
                                     duration stream_time) noexcept;

/// \brief A queue of requests that wait for a decode place.
///
/// Load pattern: a burst of twice what the servers can run, for some seconds. In plain
/// order of arrival all requests would wait until all are late. So among requests of the
/// same priority, one that can still meet its placement deadline goes before one that
/// can't, and within both groups the longest waiting goes first. A late request is served
/// when no request that is in time waits. A request of higher priority, that is, with a
/// lower number, goes before all of lower priority.
class waiting_queue
{
  public:
    using ticket = std::uint64_t;

    [[nodiscard]] ticket enqueue(const waiting_request& request);
    void remove(ticket enqueued);

    /// \brief Returns the ticket of the request that is next to get a place.
    [[nodiscard]] std::optional<ticket> front(time_point now) const;

    /// \brief Returns the rank of the next request, or `no_waiting_rank` without one.
    [[nodiscard]] waiting_rank front_rank(time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting.size(); }

  private:
    std::map<ticket, waiting_request> waiting;
    ticket next_ticket = 1;
};

} // namespace agateseam

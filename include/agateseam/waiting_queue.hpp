/// The order in which waiting model requests get a decode place.
#pragma once

#include <cstdint>
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

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting.size(); }

  private:
    std::map<ticket, waiting_request> waiting;
    ticket next_ticket = 1;
};

} // namespace agateseam

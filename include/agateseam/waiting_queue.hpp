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
    time_point place_by{}; ///< Latest time of placement for a first event in time.
};

/// \brief A queue of requests that wait for a decode place.
///
/// Load pattern: a burst of twice what the servers can run, for some seconds. In plain
/// order of arrival all requests would wait until all are late. So a request that can
/// still be in time goes before one that can't, and within both groups the longest
/// waiting goes first; a late request is served when no request that is in time waits. A
/// request of higher priority goes before all others.
class waiting_queue
{
  public:
    using ticket = std::uint64_t;

    [[nodiscard]] ticket enqueue(const waiting_request& request);
    void remove(ticket held);

    /// \brief Returns the ticket of the request that is next to get a place.
    [[nodiscard]] std::optional<ticket> front(time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting.size(); }

  private:
    std::map<ticket, waiting_request> waiting;
    ticket next_ticket = 1;
};

} // namespace agateseam

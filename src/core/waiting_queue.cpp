#include <agateseam/waiting_queue.hpp>

#include <algorithm>
#include <tuple>

namespace agateseam
{

waiting_queue::ticket waiting_queue::enqueue(const waiting_request& request)
{
    this->waiting.emplace(this->next_ticket, request);
    return this->next_ticket++;
}

void waiting_queue::remove(ticket enqueued)
{
    this->waiting.erase(enqueued);
}

std::optional<waiting_queue::ticket> waiting_queue::front(time_point now) const
{
    std::optional<ticket> front_ticket;
    std::tuple<waiting_rank, time_point> front_order;
    for (const auto& [candidate, request] : this->waiting)
    {
        const std::tuple order{rank_of(request, now), request.arrived_at};
        if (!front_ticket || order < front_order)
        {
            front_ticket = candidate;
            front_order = order;
        }
    }
    return front_ticket;
}

waiting_rank waiting_queue::front_rank(time_point now) const
{
    const auto next = this->front(now);
    return next ? rank_of(this->waiting.at(*next), now) : no_waiting_rank;
}

void fleet_queue::add(waiting_rank rank, std::uint32_t waiting) noexcept
{
    this->requests += waiting;
    if (rank < this->best_rank)
    {
        this->best_rank = rank;
        this->entries_at_best = 0;
    }
    this->entries_at_best += rank == this->best_rank && rank != no_waiting_rank ? 1 : 0;
}

duration expected_wait(std::uint32_t ahead, std::uint32_t running,
                       duration stream_time) noexcept
{
    // A place comes free each `stream_time / running`. While nothing runs, this says
    // nothing about the servers.
    return running == 0 ? duration::zero() : stream_time * ahead / running;
}

} // namespace agateseam

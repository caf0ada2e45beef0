#include <agateseam/waiting_queue.hpp>

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
    std::tuple<std::uint32_t, bool, time_point> front_order;
    for (const auto& [candidate, request] : this->waiting)
    {
        const std::tuple order{request.priority, now > request.placement_deadline,
                               request.arrived_at};
        if (!front_ticket || order < front_order)
        {
            front_ticket = candidate;
            front_order = order;
        }
    }
    return front_ticket;
}

} // namespace agateseam

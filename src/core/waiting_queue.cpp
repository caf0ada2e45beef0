#include <agateseam/waiting_queue.hpp>

#include <tuple>

namespace agateseam
{

waiting_queue::ticket waiting_queue::enqueue(const waiting_request& request)
{
    this->waiting.emplace(this->next_ticket, request);
    return this->next_ticket++;
}

void waiting_queue::remove(ticket held)
{
    this->waiting.erase(held);
}

std::optional<waiting_queue::ticket> waiting_queue::front(time_point now) const
{
    std::optional<ticket> front_ticket;
    std::tuple<std::uint32_t, bool, time_point> front_order;
    for (const auto& [held, request] : this->waiting)
    {
        const std::tuple order{request.priority, now > request.place_by,
                               request.arrived_at};
        if (!front_ticket || order < front_order)
        {
            front_ticket = held;
            front_order = order;
        }
    }
    return front_ticket;
}

} // namespace agateseam

#include <gateway/silent_stream.hpp>

namespace agateseam
{

bool silent_stream::read()
{
    while (!this->link->done())
    {
        const auto end = this->link->read_arrived();
        if (!end || *end != io_outcome::good)
        {
            return !end;
        }
        this->arrived_events +=
            this->events.extract_complete_events(this->link->take_body());
        this->link->set_kept_by_reader(this->events.partial_size());
        if (this->events.partial_size() > max_event_bytes)
        {
            return false;
        }
    }
    return false;
}

bool silent_stream::has_gone_on() const
{
    // Without a stated end, a connection that ends before any event broke off.
    const bool is_whole = this->link->done() && this->events.is_at_event_boundary() &&
                          (this->first_event_at || this->link->has_stated_end());
    return !this->arrived_events.empty() || is_whole;
}

} // namespace agateseam

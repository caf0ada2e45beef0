#include <net/http_connection.hpp>

#include <sys/socket.h>

#include <agateseam/clock.hpp>
#include <net/socket_buffers.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t connection_overhead = 2 << 10; // bytes

} // namespace

http_connection::http_connection(memory_budget& shared_budget, int socket,
                                 std::size_t buffer_size)
    : budget(&shared_budget)
    , descriptor(socket)
    , memory_bytes(connection_overhead + socket_overhead + buffer_size)
{
    this->hold();
}

http_connection::~http_connection()
{
    this->budget->remove(*this);
}

void http_connection::hold()
{
    const time_point now = steady_clock_source{}.now();
    const std::size_t unsent = unsent_bytes(this->descriptor);
    this->has_unsent_bytes = unsent > 0;
    this->is_lent = false;
    this->budget->update(
        *this, {this->memory_bytes + unsent, hold_kind::awaits_peer, 1, now}, now);
}

void http_connection::recount()
{
    if (this->has_unsent_bytes && !this->is_lent)
    {
        this->budget->recount(*this, this->memory_bytes + unsent_bytes(this->descriptor));
    }
}

void http_connection::lend()
{
    this->is_lent = true;
    const time_point now = steady_clock_source{}.now();
    this->budget->update(*this, {0, hold_kind::awaits_peer, 0, now}, now);
}

void http_connection::shut_down() const noexcept
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void http_connection::release(resource_shortage)
{
    // Otherwise the kernel would keep what the client hasn't read.
    const linger reset{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    this->shut_down();
    this->lend();
}

} // namespace agateseam

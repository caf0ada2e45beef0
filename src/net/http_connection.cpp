#include <net/http_connection.hpp>

#include <sys/socket.h>

#include <agateseam/clock.hpp>

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
    , memory_bytes(connection_overhead + buffer_size)
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
    this->budget->update(*this, {this->memory_bytes, hold_kind::awaits_peer, 1, now},
                         now);
}

void http_connection::lend()
{
    const time_point now = steady_clock_source{}.now();
    this->budget->update(*this, {0, hold_kind::awaits_peer, 0, now}, now);
}

void http_connection::shut_down() const noexcept
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void http_connection::release(resource_shortage)
{
    this->shut_down();
    this->lend();
}

} // namespace agateseam

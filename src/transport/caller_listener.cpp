#include <transport/caller_listener.hpp>

#include <net/socket_buffers.hpp>

namespace agateseam
{

namespace
{

/// The wait after a failed accept, such as one without a free file descriptor: some
/// connection ends soon.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

caller_listener::caller_listener(event_loop& io_loop, caller_handler& request_handler)
    : loop(&io_loop)
    , handler(&request_handler)
    , acceptor(io_loop)
{
}

result<std::unique_ptr<caller_listener>> caller_listener::create(event_loop& loop,
                                                                 std::string_view address,
                                                                 caller_handler& handler)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return tl::unexpected<error>(endpoint.error());
    }
    std::unique_ptr<caller_listener> listener(new caller_listener(loop, handler));
    io_error fault;
    listener->acceptor.open(endpoint->protocol(), fault);
    listener->acceptor.set_option(asio::socket_base::reuse_address(true), fault);
    limit_socket_buffers(listener->acceptor.native_handle(), receive_buffer::small);
    listener->acceptor.bind(*endpoint, fault);
    if (!fault)
    {
        listener->acceptor.listen(asio::socket_base::max_listen_connections, fault);
    }
    if (fault)
    {
        return fail(error_code::unavailable, "listen", address, fault.message());
    }
    spawn(loop, [self = listener.get()]() -> task<void> { co_await self->accept(); });
    return listener;
}

std::uint16_t caller_listener::port() const
{
    io_error ignored; // Without a bound address, the endpoint's port is 0.
    return this->acceptor.local_endpoint(ignored).port();
}

task<void> caller_listener::accept()
{
    while (this->acceptor.is_open())
    {
        io_error fault;
        tcp_socket socket(*this->loop);
        co_await this->acceptor.async_accept(socket, store_error_in(fault));
        if (fault == asio::error::operation_aborted || !this->acceptor.is_open())
        {
            co_return;
        }
        if (fault)
        {
            co_await pause_for(*this->loop, accept_retry_delay);
            continue;
        }
        const auto connection = std::make_shared<caller_connection>(
            *this->loop, std::move(socket), *this->handler);
        this->remove_expired();
        this->connections.push_back(connection);
        caller_connection::start(connection);
    }
}

void caller_listener::remove_expired()
{
    std::erase_if(this->connections,
                  [](const std::weak_ptr<caller_connection>& connection)
                  { return connection.expired(); });
}

std::size_t caller_listener::close_idle()
{
    std::size_t busy_connections = 0;
    for (const auto& tracked : this->connections)
    {
        const auto connection = tracked.lock();
        if (connection && connection->idle())
        {
            connection->close();
        }
        else if (connection)
        {
            ++busy_connections;
        }
    }
    return busy_connections;
}

void caller_listener::stop_accepting()
{
    io_error ignored; // Fails only if the acceptor is closed already.
    this->acceptor.close(ignored);
}

} // namespace agateseam

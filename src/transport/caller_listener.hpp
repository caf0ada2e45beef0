/// Accepts the connections of callers on one address.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <transport/caller_connection.hpp>

namespace agateseam
{

/// \brief Accepts connections on one address and keeps track of them.
class caller_listener
{
  public:
    /// \brief Binds the address and starts accepting connections.
    /// \returns `unavailable` when the address can't be bound.
    [[nodiscard]] static result<std::unique_ptr<caller_listener>>
    create(event_loop& loop, std::string_view address, caller_handler& handler);

    /// \brief Returns the bound port, also when the address asked for port 0.
    [[nodiscard]] std::uint16_t port() const;

    /// \brief Closes the connections that have no request.
    /// \returns how many connections still have one.
    std::size_t close_idle();

    void stop_accepting();

  private:
    caller_listener(event_loop& io_loop, caller_handler& request_handler);

    task<void> accept();
    void remove_expired();

    event_loop* loop;
    caller_handler* handler;
    tcp_acceptor acceptor;
    std::vector<std::weak_ptr<caller_connection>> connections;
};

} // namespace agateseam

/// The interface of a running daemon, the same for entries and agents.
#pragma once

#include <memory>

#include <daemon/settings.hpp>

namespace agateseam
{

/// \brief A running daemon; stops when destroyed.
class daemon_process
{
  public:
    virtual ~daemon_process() = default;

    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;

    /// \brief Begins a graceful shutdown: accepts no new work and lets open work finish.
    virtual void drain() = 0;

    /// \brief Stops accepting connections, in roles where callers connect directly.
    virtual void stop_listening() = 0;

    /// \brief Returns how many requests are still under way.
    [[nodiscard]] virtual std::size_t open_work() const = 0;
};

/// \brief Starts an entry.
[[nodiscard]] result<std::unique_ptr<daemon_process>>
make_entry(const daemon_settings& settings);

/// \brief Starts an agent.
[[nodiscard]] result<std::unique_ptr<daemon_process>>
make_agent(const daemon_settings& settings);

} // namespace agateseam

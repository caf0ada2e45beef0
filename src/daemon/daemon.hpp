/// A daemon of either role, as the main program sees it.
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

    /// \brief Begins a graceful shutdown: takes no new work, lets open work end.
    virtual void drain() = 0;

    /// \brief Takes no new connections, where work arrives over connections of callers.
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

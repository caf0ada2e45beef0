/// What an entry learns from the platform and tells it; the platform's folder implements
/// the link, the entry listens.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/routing_table.hpp>
#include <agateseam/usage.hpp>
#include <transport/event_loop.hpp>

namespace agateseam
{

/// \brief One entry as it is registered with the platform.
struct registered_entry
{
    std::string vm;
    std::string address; ///< "IP:port" for other entries.
    std::uint64_t incarnation = 0;
};

/// \brief Hears what the platform says.
class platform_listener
{
  public:
    virtual ~platform_listener() = default;

    /// \brief A configuration document, as text that other entries can be handed.
    virtual void on_configuration(std::shared_ptr<const routing_table> table,
                                  std::string document) = 0;
    virtual void on_servers(std::vector<backend_server> servers, bool after_outage) = 0;
    virtual void on_server(backend_server server) = 0;
    virtual void on_server_gone(std::string_view id, bool after_outage) = 0;
    virtual void on_entries(std::vector<registered_entry> entries) = 0;
    virtual void on_store_reach(bool reached, std::string_view reason) = 0;
};

/// \brief The link to the platform.
class platform_link
{
  public:
    virtual ~platform_link() = default;

    /// \brief Follows the configuration, the servers and the entries until it is stopped.
    virtual void start() = 0;
    virtual void stop() = 0;

    /// \brief Reads the configuration now, as another entry has a newer one.
    virtual void refresh_configuration() = 0;

    /// \brief Takes this entry off the platform's list.
    virtual task<void> deregister() = 0;

    /// \brief Records what this entry's process counted in an hour, all of it so far.
    virtual task<result<void>> write_usage(usage_hour_number hour, usage_table rows) = 0;

    /// \brief Decodes a configuration document that another entry handed over.
    [[nodiscard]] virtual result<std::shared_ptr<const routing_table>>
    decode(std::string_view document) const = 0;

    /// \brief Returns how many calls the store was sent.
    [[nodiscard]] virtual std::uint64_t store_calls() const noexcept = 0;
};

} // namespace agateseam

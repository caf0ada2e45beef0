/// Interface between an entry and the platform. The platform folder implements the link,
/// the entry implements the listener.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/part_quarantine.hpp>
#include <agateseam/routing_table.hpp>
#include <agateseam/store_position.hpp>
#include <agateseam/store_watch_plan.hpp>
#include <agateseam/usage.hpp>
#include <gateway/document_transfer.hpp>
#include <transport/event_loop.hpp>

namespace agateseam
{

/// \brief An entry that is registered with the platform.
struct registered_entry
{
    std::string vm;
    std::string address; ///< "IP:port" for other entries.
    std::uint64_t incarnation = 0;
    double link_mbps = 0; ///< Of its VM; 0 if it isn't known.
};

/// \brief Receives the changes that the platform announces.
class platform_listener
{
  public:
    virtual ~platform_listener() = default;

    /// \brief Called with a configuration and its document, which other entries can be
    /// given.
    virtual void on_configuration(std::shared_ptr<const routing_table> table,
                                  std::string document) = 0;
    virtual void on_servers(std::vector<backend_server> servers, bool after_outage) = 0;
    virtual void on_server_changed(backend_server server) = 0;
    virtual void on_server_removed(std::string_view id, bool after_outage) = 0;

    /// \brief Called with all failure domains that are evacuated as of a position.
    /// \param source "store" or the address of the entry that relayed it.
    virtual void on_evacuations(const std::vector<std::string>& domains,
                                store_position position, std::string_view source) = 0;
    virtual void on_evacuation_changed(std::string_view domain, bool evacuated,
                                       store_position position,
                                       std::string_view source) = 0;

    virtual void on_entries(std::vector<registered_entry> entries) = 0;
    virtual void on_store_reachability_changed(bool reached, std::string_view reason) = 0;

    /// \brief Called when the store has come back from a copy, which lacks what was
    /// written after it.
    virtual void on_store_era_changed(std::uint64_t before, std::uint64_t era) = 0;

    /// \brief Returns whether this entry should watch the platform's store now, and
    /// otherwise the addresses of the entries to ask.
    [[nodiscard]] virtual store_watch_plan plan_watch() const = 0;
};

/// \brief A block's state in the store after a write.
struct stored_part_block
{
    part_block block;
    bool is_written = false; ///< By this write; otherwise the state was there before.
};

/// \brief The link to the platform.
class platform_link
{
  public:
    virtual ~platform_link() = default;

    /// \brief Starts to watch the configuration, the servers and the entries.
    virtual void start() = 0;
    virtual void stop() = 0;

    /// \brief Reads the configuration from the store now, for example when another entry
    /// has a newer one.
    virtual void refresh_configuration() = 0;

    /// \brief Returns the newest era of the store that is known; 0 before any.
    [[nodiscard]] virtual std::uint64_t store_era() const noexcept = 0;
    /// \brief Takes the era of the store that another entry named.
    virtual void note_store_era(std::uint64_t era) = 0;

    /// \brief Answers another entry that follows the platform's objects through this one.
    /// \returns no value when this entry doesn't follow the store itself.
    virtual task<std::optional<transferred_document>> relay(std::string query) = 0;

    /// \brief Tells whether a new configuration is arriving from the store or an entry.
    [[nodiscard]] virtual bool is_receiving_configuration() const noexcept = 0;

    /// \brief Asks the store whether the list of servers here is up to date.
    /// \returns true if it lacks nothing that the store had accepted before the call;
    /// false if the store doesn't say so in time.
    virtual task<bool> confirm_servers(duration timeout) = 0;

    /// \brief Removes this entry from the platform's list.
    virtual task<void> deregister() = 0;

    /// \brief Writes everything that this process has counted for an hour so far.
    virtual task<result<void>> write_usage(usage_hour_number hour, usage_table rows) = 0;

    /// \brief Returns the stored blocks of prompt parts.
    virtual task<result<std::vector<part_block>>> list_part_blocks() = 0;

    /// \brief Stores a block unless the stored state is as new.
    /// \param is_claim succeeds for one entry: only if the stored state is the one just
    /// before `block`.
    /// \returns the stored state afterwards.
    virtual task<result<stored_part_block>> write_part_block(part_block block,
                                                             bool is_claim) = 0;

    /// \brief Decodes a configuration document that another entry sent.
    [[nodiscard]] virtual result<std::shared_ptr<const routing_table>>
    decode(std::string_view document) const = 0;

    /// \brief Returns the number of calls sent to the store.
    [[nodiscard]] virtual std::uint64_t store_calls() const noexcept = 0;
};

} // namespace agateseam

/// An entry's blackboard: what its controllers publish and its requests read.
///
/// All of it belongs to the one loop thread. Snapshots are immutable and replaced whole,
/// so a request keeps the one with which it began.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <pcg_random.hpp>

#include <agateseam/backend_directory.hpp>
#include <agateseam/engine_placement.hpp>
#include <agateseam/fleet_ledger.hpp>
#include <agateseam/model_latency_estimator.hpp>
#include <agateseam/routing_table.hpp>
#include <agateseam/server_health_tracker.hpp>
#include <agateseam/usage_account.hpp>
#include <agateseam/waiting_queue.hpp>
#include <gateway/backend_dialect.hpp>
#include <gateway/entry_counters.hpp>
#include <gateway/gateway_settings.hpp>
#include <transport/upstream_connection.hpp>

namespace agateseam
{

/// \brief One service of model servers: where its requests may go and who waits.
struct engine_service
{
    explicit engine_service(event_loop& loop)
        : changed(loop)
    {
    }

    engine_placement board;
    waiting_queue line;
    model_latency_estimator pace;
    output_length_estimator outputs;
    wake_signal changed; ///< A place may have become free.
};

/// \brief The state of one entry.
struct entry_state
{
    entry_state(event_loop& chosen_loop, const gateway_settings& chosen,
                std::uint64_t chosen_incarnation);

    /// \brief Returns a service's engines, made at first use.
    [[nodiscard]] engine_service& engines(const std::string& service);

    /// \brief Returns a service's usable servers; empty when there are none.
    [[nodiscard]] const std::vector<std::shared_ptr<const backend_server>>&
    servers_of(const std::string& service) const;

    /// \brief Returns a server by id if it is still usable, or null.
    [[nodiscard]] std::shared_ptr<const backend_server>
    server(const std::string& service, const std::string& id) const;

    event_loop* loop;
    gateway_settings settings;
    std::uint64_t incarnation;
    std::unique_ptr<backend_dialect> dialect;

    std::shared_ptr<const routing_table> routing; ///< Null before the first version.
    std::string routing_document;                 ///< As other entries are handed it.
    time_point routing_at{};                      ///< When that version came into force.

    backend_directory directory;
    std::shared_ptr<const backends_by_service> backends; ///< Null before the first list.

    fleet_ledger ledger;
    server_health_tracker judge;
    upstream_pool pool;
    entry_counters counters;
    usage_account usage;
    wake_signal news; ///< The other entries should hear of a change soon.
    pcg32 random;
    bool store_reached = false;
    bool draining = false;    ///< After SIGTERM.
    time_point drain_until{}; ///< Requests still open then are cut.

  private:
    std::map<std::string, std::unique_ptr<engine_service>> engine_services;
};

} // namespace agateseam

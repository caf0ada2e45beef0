/// The shared state of an entry, which its controllers publish and its requests read.
///
/// Only the loop thread uses it. Snapshots are immutable and replaced as a whole, so a
/// request keeps the snapshot with which it began.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <pcg_random.hpp>

#include <agateseam/backend_directory.hpp>
#include <agateseam/engine_placement.hpp>
#include <agateseam/evacuations.hpp>
#include <agateseam/fleet_ledger.hpp>
#include <agateseam/model_latency_estimator.hpp>
#include <agateseam/part_quarantine.hpp>
#include <agateseam/routing_table.hpp>
#include <agateseam/server_health_tracker.hpp>
#include <agateseam/server_limiter.hpp>
#include <agateseam/stop_schedule.hpp>
#include <agateseam/stream_origins.hpp>
#include <agateseam/usage_account.hpp>
#include <agateseam/waiting_queue.hpp>
#include <gateway/backend_dialect.hpp>
#include <gateway/entry_counters.hpp>
#include <gateway/gateway_settings.hpp>
#include <gateway/region_filter.hpp>
#include <gateway/returning_servers.hpp>
#include <transport/upstream_connection.hpp>

namespace agateseam
{

/// \brief Placement, waiting requests and estimates of one service of model servers.
struct engine_service
{
    explicit engine_service(event_loop& loop)
        : capacity_changed(loop)
    {
    }

    engine_placement placement;
    waiting_queue queue;
    fleet_queue others_waiting; ///< At the other entries.
    model_latency_estimator latency;
    output_length_estimator output_lengths;
    wake_signal capacity_changed; ///< Notified when decode capacity may be free.
    /// Versions of which a second decode server could go on with a stream of the first.
    std::set<name_key> spare_versions;
};

/// \brief The state of one entry.
struct entry_state
{
    entry_state(event_loop& entry_loop, const gateway_settings& entry_settings,
                std::uint64_t entry_incarnation);

    /// \brief Returns the state of a model service, which is created at first use.
    [[nodiscard]] engine_service& engines(const std::string& service);

    /// \brief Returns a service's usable servers; empty when there are none.
    [[nodiscard]] const std::vector<std::shared_ptr<const backend_server>>&
    servers_of(const std::string& service) const;

    /// \brief Tells whether the process was told to stop.
    [[nodiscard]] bool draining() const noexcept { return this->stop.has_value(); }

    /// \brief Returns a server by id if it is still usable, or null.
    [[nodiscard]] std::shared_ptr<const backend_server>
    server(const std::string& service, const std::string& id) const;

    /// \brief Tells whether a server may be sent new work now: it is listed, neither the
    /// list nor the server says that it leaves, it doesn't rest and isn't evacuated. A
    /// request may have chosen it long before, and waited for its prompt to be read.
    [[nodiscard]] bool accepts_work(const backend_server& server) const;

    /// \brief Tells whether evacuations of failure domains are followed here.
    [[nodiscard]] bool follows_evacuations() const noexcept
    {
        return this->settings.evacuation_time > std::chrono::milliseconds(0);
    }

    /// \brief Tells whether a server is in an evacuated failure domain.
    [[nodiscard]] bool is_evacuated(const backend_server& server) const;

    /// \brief Returns why a server that accepts no work doesn't, for logs.
    [[nodiscard]] std::string_view refusal_reason(const backend_server& server) const;

    /// \brief Returns how long until a server's limit, cold bound and pace admit requests
    /// of this entry; zero without any.
    [[nodiscard]] duration limit_wait(const std::string& id, time_point now);

    /// \brief Returns `limit_wait` of a server that limits its requests itself.
    [[nodiscard]] duration own_limit_wait(const std::string& id, time_point now);

    /// \brief Returns `limit_wait` of a server that only a cold bound or a pace limits.
    [[nodiscard]] duration pace_wait(const std::string& id, time_point now);

    /// \brief Tells whether a server limits its requests.
    [[nodiscard]] bool is_limited(const std::string& id) const
    {
        return this->limiter.limit(id).has_value();
    }

    /// \brief Tells whether a cold bound or a pace limits the requests to a server.
    [[nodiscard]] bool is_paced(const std::string& id, time_point now) const
    {
        return this->limiter.is_paced(id, now);
    }

    /// \brief Takes what a request to a server needs, just before it is sent.
    /// \returns false if the server accepts no work now, and nothing may be sent.
    [[nodiscard]] bool try_begin_send(const backend_server& server);

    /// \brief Takes requests from a server's limit, cold bound and pace; always succeeds
    /// without any.
    [[nodiscard]] bool try_take_sends(const std::string& id);

    /// \brief Notes that a failure domain was taken back into service.
    void begin_domain_return(name_key domain, time_point now)
    {
        this->returning.begin_domain_return(domain, now);
    }

    /// \brief Returns how long the servers of a service that run whole requests or decode
    /// all rest, or are at their limits; nothing if one isn't or there is none.
    /// \param region other servers don't count.
    [[nodiscard]] std::optional<duration> time_all_busy(const std::string& service,
                                                        const region_filter& region,
                                                        time_point now);

    /// \brief Publishes the directory's usable servers to requests and placement, but
    /// those of evacuated failure domains. Does nothing before the first list, and before
    /// the evacuations are known where they are followed.
    void publish_servers();

    event_loop* loop;
    gateway_settings settings;
    std::uint64_t incarnation;
    std::unique_ptr<backend_dialect> dialect;

    std::shared_ptr<const routing_table> routing; ///< Null before the first version.
    std::string routing_document;                 ///< The text that other entries get.
    time_point routing_since{}; ///< When the current version took effect.

    backend_directory directory;
    bool servers_known = false;                          ///< Whether a list has come.
    std::shared_ptr<const backends_by_service> backends; ///< Null before the first list.
    evacuations evacuated_domains;

    fleet_ledger ledger;
    server_health_tracker health;
    server_limiter limiter;
    returning_servers returning;
    part_quarantine quarantine;
    /// Claims the next trial of a block for this entry; false when it can't be had.
    std::function<task<bool>(part_block)> claim_trial;
    stream_origins origins;
    version_history versions;
    /// Tells other entries which version began a stream.
    std::function<void(name_key stream, name_key version)> announce_stream;
    /// Returns the version that began a stream, if this entry or those that should know
    /// it do.
    std::function<task<std::optional<name_key>>(name_key stream)> find_stream_origin;
    /// Tells whether the published servers are those that the platform's store has now.
    std::function<task<bool>()> confirm_servers;
    upstream_pool pool;
    entry_counters counters;
    usage_account usage;
    wake_signal digest_due; ///< Notified when other entries should get a digest soon.
    pcg32 random;
    bool store_reachable = false;
    std::optional<stop_schedule> stop; ///< Set by SIGTERM or SIGINT.

  private:
    [[nodiscard]] std::shared_ptr<const backends_by_service>
    without_evacuated(std::shared_ptr<const backends_by_service> listed) const;

    std::map<std::string, std::unique_ptr<engine_service>> engine_services;
};

} // namespace agateseam

/// One version of the routes, services, API keys and limits of workspaces, indexed for
/// lookup by request.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <agateseam/error.hpp>

namespace agateseam
{

/// Whether a request of a route may be executed again after a failure.
enum class repeat_rule : std::uint8_t
{
    safe,   ///< May be executed more than once.
    once,   ///< Is executed at most once for each request id.
    stream, ///< A stream of events; executed once unless the route is resumable.
};

/// \brief One service that a route sends requests to, and its weight.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative share of the route's requests.
};

/// \brief One route: which requests it matches and how they are handled.
struct service_route
{
    std::string name;
    std::string host;        ///< Lower case, without a port.
    std::string path_prefix; ///< Begins and ends with a slash.
    repeat_rule rule = repeat_rule::once;
    /// Whether another server can continue a stream after its last event.
    bool resumable = false;
    bool open = false;                    ///< Whether callers need no key.
    std::chrono::milliseconds timeout{0}; ///< From arrival to the end of the answer.
    /// Target time to the answer, or to a stream's first event.
    std::chrono::milliseconds target_latency{0};
    std::chrono::milliseconds gap_target{0}; ///< Target for the longest event gap.
    std::uint32_t max_attempts = 1; ///< Backend servers that may execute one request.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::vector<weighted_service> weighted_services;
    std::vector<std::string> allowed_regions; ///< Empty: requests may run anywhere.

    /// \brief Tells whether a request that may have been executed can be sent again.
    [[nodiscard]] bool repeatable() const noexcept
    {
        return this->rule == repeat_rule::safe;
    }

    /// \brief Returns the service for a request, chosen by weight from a hash of its id,
    /// so that the same id always gets the same service.
    [[nodiscard]] std::string_view service_for(std::string_view request_id) const;
};

/// \brief The allowance of one workspace and how its requests are counted.
struct workspace_limits
{
    std::string name;
    double tokens_per_second = 0; ///< 0 means no limit.
    double burst_tokens = 0;
    bool counts_tokens = true; ///< If false, each request counts as one.
    double default_tokens = 1; ///< Counted for a request that declares no tokens.
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    /// Where its requests may run; empty: anywhere. Binds beside the route's regions.
    std::vector<std::string> allowed_regions;
};

/// \brief Properties of the inference engines of a service of model servers.
struct engine_properties
{
    std::uint32_t slots = 1;
    std::int64_t kv_capacity_tokens = 0;
    /// For how long the handle of a prefilled KV cache stays valid.
    std::chrono::milliseconds kv_handle_lifetime{500};
    /// The longest time of a reservation; 0 if the engine takes no reservations.
    std::chrono::milliseconds max_reservation_time{0};
    /// Size of the blocks in which KV memory is allocated.
    std::uint32_t tokens_per_block = 16;
    /// Tokens for which one event of a stream stands.
    std::uint32_t tokens_per_event = 1;
};

/// \brief Properties of one service.
struct service_properties
{
    std::string name;
    std::uint32_t max_connections = 0; ///< Per server, from all callers; 0: unknown.
    std::optional<engine_properties> engine; ///< Only of model servers.
    /// How long a server is cold after it starts; zero: servers are never cold.
    std::chrono::milliseconds cold_start{0};
    /// Requests a second that a cold server bears from all entries; 0: no bound.
    double cold_per_second = 0;
};

/// \brief Limits on the size of callers' requests and on the time they may take.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// \brief The contents of a routing table before it is indexed.
struct routing_parts
{
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_properties> services;
    std::vector<workspace_limits> workspaces;
    std::unordered_map<std::string, std::uint32_t> workspace_index_by_key;
    caller_limits limits;
};

/// \brief One immutable version of the configuration, indexed for requests.
class routing_table
{
  public:
    /// \brief Builds the indexes.
    /// \returns `invalid` when a key refers to a workspace that does not exist.
    [[nodiscard]] static result<std::shared_ptr<const routing_table>>
    create(routing_parts parts);

    [[nodiscard]] std::uint64_t version() const noexcept { return this->parts.version; }
    [[nodiscard]] const caller_limits& limits() const noexcept
    {
        return this->parts.limits;
    }
    [[nodiscard]] const std::vector<service_properties>& services() const noexcept
    {
        return this->parts.services;
    }
    [[nodiscard]] const std::vector<workspace_limits>& workspaces() const noexcept
    {
        return this->parts.workspaces;
    }

    /// \brief Returns the host's route with the longest prefix of the path, or null.
    /// \param host the caller's Host header; a port in it is ignored.
    /// \param path the path without its query.
    [[nodiscard]] const service_route* route_for(std::string_view host,
                                                 std::string_view path) const;

    /// \brief Returns the workspace that an API key belongs to, or null.
    [[nodiscard]] const workspace_limits* workspace_for_key(std::string_view key) const;

    /// \brief Returns a service by name, or null.
    [[nodiscard]] const service_properties* service(std::string_view name) const;

  private:
    explicit routing_table(routing_parts contents)
        : parts(std::move(contents))
    {
    }

    routing_parts parts;
    /// Indexes of a host's routes, longest path prefix first.
    std::unordered_map<std::string, std::vector<std::uint32_t>> route_indexes_by_host;
    std::unordered_map<std::string, std::uint32_t> service_index_by_name;
};

} // namespace agateseam

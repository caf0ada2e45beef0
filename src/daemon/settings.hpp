/// A daemon's settings: JSON with comments, validated completely at start.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/request.hpp>
#include <net/http_server.hpp>
#include <net/log.hpp>

namespace agateseam
{

/// \brief The role of a daemon process.
enum class daemon_role : std::uint8_t
{
    entry, ///< Takes callers' and operators' requests.
    agent  ///< Runs beside one backend server and forwards work to it.
};

/// \brief The backend server beside an agent.
struct backend_settings
{
    backend_kind kind = backend_kind::service;
    std::string pool;
    std::string url; ///< Such as "http://127.0.0.1:8000".
    std::uint32_t slots = 20;
    std::uint32_t queue_limit = 256;   ///< Requests that may wait at the agent.
    double tokens_per_second = 20'000; ///< Prefill rate assumed until one is measured.
    double link_tokens_per_second = 400'000;    ///< KV transfer rate, in prompt tokens.
    std::uint64_t kv_bytes_per_token = 131'072; ///< KV cache of one prompt token.
    bool checks_generation = true; ///< Whether it refuses outdated orders itself.
    bool echoes_request_id = true; ///< Whether its answers' ids contain the request id.
};

/// \brief Limits on requests, time-outs and intervals.
struct limit_settings
{
    /// From admission to the last byte.
    std::chrono::milliseconds request_timeout{120'000};
    std::chrono::milliseconds first_token_timeout{30'000};
    /// Longest silence of a stream between two daemons.
    std::chrono::milliseconds silence_timeout{2'000};
    std::chrono::milliseconds drain_timeout{30'000}; ///< From SIGTERM to the exit.
    std::uint32_t max_members = 64; ///< Agents that an entry sends heartbeats to.
    std::uint32_t heartbeats_per_second = 40; ///< Sent to all agents together.
    std::uint32_t max_attempts = 6;           ///< For one request.
    std::uint32_t max_output_tokens = 4'096;  ///< Cap on a request's max_tokens.
    std::chrono::milliseconds usage_flush_interval{60'000};
    /// An attempt whose lease is not renewed ends after this time.
    std::chrono::milliseconds lease_lifetime{3'000};
    std::chrono::milliseconds linger{3'000}; ///< Time to keep listening after SIGTERM.
    double retry_ratio = 0.2; ///< Retries that each request adds to the budget.
};

/// \brief The complete settings of a daemon.
struct daemon_settings
{
    daemon_role role = daemon_role::entry;
    std::string vm;
    std::string failure_domain;
    http_server_options listen;
    std::string platform_url;
    std::string fleet_secret;
    std::string operator_token; ///< Entries only.
    backend_settings backend;   ///< Agents only.
    limit_settings limits;
    log_level log = log_level::info;

    /// \brief Parses and validates a settings document.
    /// \returns `invalid` with one line for each error and its path.
    [[nodiscard]] static result<daemon_settings> parse(std::string_view document);

    /// \brief Reads and validates a settings file, and the certificate files that it
    /// names.
    [[nodiscard]] static result<daemon_settings> load(const std::string& file);
};

} // namespace agateseam

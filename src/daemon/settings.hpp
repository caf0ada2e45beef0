/// A daemon's settings: JSON with comments, checked whole at start.
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

/// \brief What a daemon is.
enum class daemon_role : std::uint8_t
{
    entry, ///< Takes callers' and operators' requests.
    agent  ///< Stands beside one backend server.
};

/// \brief The backend server beside an agent.
struct backend_settings
{
    backend_kind kind = backend_kind::service;
    std::string pool;
    std::string url; ///< Such as "http://127.0.0.1:8000".
    std::uint32_t slots = 20;
    std::uint32_t queue_limit = 256;            ///< Requests that may wait at the agent.
    double tokens_per_second = 20'000;          ///< Prefill rate before any was observed.
    double link_tokens_per_second = 400'000;    ///< KV cache that the link carries.
    std::uint64_t kv_bytes_per_token = 131'072; ///< KV cache of one prompt token.
    bool checks_generation = true;              ///< Whether it refuses old orders itself.
    bool echoes_request_id = true; ///< Whether its answers' ids contain ours.
};

/// \brief Limits on what callers may do and how long things may take.
struct limit_settings
{
    std::chrono::milliseconds request{120'000}; ///< From admission to the last byte.
    std::chrono::milliseconds first_token{30'000};
    std::chrono::milliseconds silence{2'000}; ///< Of a stream between our processes.
    std::chrono::milliseconds drain{30'000};  ///< From SIGTERM to the end.
    std::uint32_t members = 64;          ///< Agents that an entry keeps in touch with.
    std::uint32_t heartbeats = 40;       ///< Calls for load a second, over all agents.
    std::uint32_t attempts = 6;          ///< Tries of one request.
    std::uint32_t output_tokens = 4'096; ///< Cap on a request's max_tokens.
    std::chrono::milliseconds usage_flush{60'000}; ///< Between flushes of usage.
    std::chrono::milliseconds lease{3'000};        ///< Of an attempt that is not renewed.
    std::chrono::milliseconds linger{3'000};       ///< Listening on after SIGTERM.
    double retry_ratio = 0.2;                      ///< Retries that a request earns.
};

/// \brief Everything a daemon is told at start.
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

    /// \brief Checks a settings document whole.
    /// \returns `invalid` with every fault and its path, a line each.
    [[nodiscard]] static result<daemon_settings> parse(std::string_view document);

    /// \brief Reads and checks a settings file, and the certificate files that it names.
    [[nodiscard]] static result<daemon_settings> load(const std::string& file);
};

} // namespace agateseam

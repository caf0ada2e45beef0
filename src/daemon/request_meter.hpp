/// Records the events, latencies and usage of one request at its entry.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <agateseam/configuration.hpp>
#include <agateseam/error.hpp>
#include <daemon/telemetry.hpp>

namespace agateseam
{

/// \brief Token counts that an engine reports for one answer.
struct engine_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

/// \brief Reads an engine's usage object; missing counts are 0.
[[nodiscard]] engine_usage read_engine_usage(const nlohmann::json& usage);

/// \brief Meters one request. Its functions must not be called concurrently.
class request_meter
{
  public:
    /// \param telemetry must outlive the object.
    explicit request_meter(process_telemetry& telemetry) noexcept;

    /// \brief Records the admission, and stores the names that later records use.
    void record_admitted(std::string_view request, std::string_view workspace,
                         std::string_view pool, const policy_config& policy,
                         std::uint32_t prompt_tokens);

    /// \brief Records that an attempt was sent to its agent.
    /// \param resume_from number of tokens that the caller already has.
    void record_sent(std::uint32_t attempt, std::string_view decode_vm,
                     std::uint32_t resume_from);

    /// \brief Records the arrival of new tokens for the caller.
    void record_tokens(std::uint32_t count);

    void record_attempt_failed(std::uint32_t attempt, const error& fault);

    /// \brief Records that the answer is complete.
    void record_completed(const engine_usage& usage);

    /// \brief Records that the request ended with an error.
    /// \param received whether the caller has the tokens that arrived before.
    void record_failed(error_code code, bool received);

    /// \brief Records that the caller has closed the connection.
    /// \param received whether the caller has the tokens that arrived before.
    void record_cancelled(bool received);

    /// \brief Records that the request was refused before admission.
    void record_refused(error_code code, std::string_view workspace);

  private:
    void charge(const engine_usage& usage, bool received);
    void record_event(event_kind kind, std::uint32_t attempt = 0,
                      std::string_view peer = {}, std::int64_t value = 0,
                      std::string_view detail = {});
    [[nodiscard]] bool meets_latency_targets() const noexcept;

    process_telemetry* telemetry;
    std::string request;
    std::string workspace;
    std::string pool;
    policy_config policy;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t delivered = 0;
    std::uint32_t token_gaps = 0;
    std::uint32_t slow_token_gaps = 0;
    double first_token_seconds = 0;
    time_point started_at;
    time_point last_token_at;
    bool in_progress = false; ///< Admitted and not yet ended.
};

} // namespace agateseam

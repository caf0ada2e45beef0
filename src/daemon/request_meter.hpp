/// Follows one request at its entry: events, latency targets, usage.
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

/// \brief Counts of an engine for one answer.
struct engine_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

/// \brief Reads an engine's usage object; zeros where it is silent.
[[nodiscard]] engine_usage read_engine_usage(const nlohmann::json& usage);

/// \brief One per request; calls come from one thread at a time.
class request_meter
{
  public:
    /// \param telemetry must outlive the object.
    explicit request_meter(process_telemetry& telemetry) noexcept;

    /// \brief The request fits the allowance; later calls go under these names.
    void admitted(std::string_view request, std::string_view workspace,
                  std::string_view pool, const policy_config& policy,
                  std::uint32_t prompt_tokens);

    /// \brief An attempt was handed over.
    /// \param resume_from tokens that the caller already has.
    void sent(std::uint32_t attempt, std::string_view decode_vm,
              std::uint32_t resume_from);

    /// \brief New tokens arrived for the caller.
    void tokens(std::uint32_t count);

    void attempt_failed(std::uint32_t attempt, const error& fault);

    /// \brief The answer is whole and was handed to the server.
    void ended(const engine_usage& usage);

    /// \brief The request ended with an error.
    /// \param received whether the caller has the tokens that arrived before.
    void failed(error_code code, bool received);

    /// \brief The caller has gone.
    /// \param received whether the caller has the tokens that arrived before.
    void cancelled(bool received);

    /// \brief The request was refused before it was admitted.
    void refused(error_code code, std::string_view workspace);

  private:
    void charge(const engine_usage& usage, bool received);
    void note(event_kind kind, std::uint32_t attempt = 0, std::string_view peer = {},
              std::int64_t value = 0, std::string_view detail = {});
    [[nodiscard]] bool in_time() const noexcept;

    process_telemetry* telemetry;
    std::string request;
    std::string workspace;
    std::string pool;
    policy_config policy;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t delivered = 0;
    std::uint32_t gaps = 0;
    std::uint32_t slow_gaps = 0;
    double first_token = 0; ///< Seconds.
    time_point begun;
    time_point last;
    bool open = false; ///< Admitted and not yet ended.
};

} // namespace agateseam

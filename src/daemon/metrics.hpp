/// A process's counters of requests and attempts, and its metrics page for Prometheus.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <agateseam/error.hpp>
#include <agateseam/metrics.hpp>

namespace agateseam
{

/// Number of error codes.
inline constexpr std::size_t error_code_count =
    static_cast<std::size_t>(error_code::internal) + 1;

/// \brief Counters of one process; entries fill the first group, agents the second.
struct process_metrics
{
    metric_counter admitted; ///< Requests inside their workspace's allowance.
    metric_counter whole;    ///< Answered completely.
    metric_counter good;     ///< Answered completely, within both latency targets.
    metric_counter cut;      ///< Ended after the first token and before the last.
    metric_counter cancelled;
    std::array<metric_counter, error_code_count> refused; ///< By the error's code.
    metric_counter refused_inside_rate; ///< Refused although the allowance had room.
    metric_counter retried;
    metric_counter resumed;
    metric_counter late_answers; ///< Dropped: too late, or for another attempt.
    metric_counter output_tokens;
    metric_quantiles first_token_seconds;
    metric_quantiles token_gap_seconds;
    service_level_monitor service_level;

    metric_counter prefill_tokens; ///< Prompt tokens prefilled for this decode agent.
    metric_counter wasted_prefill_tokens;
    metric_counter decoded_tokens;
    metric_counter wasted_output_tokens;
    metric_counter cancelled_attempts;
};

/// \brief The values on the metrics page that are read when it is requested.
struct process_gauges
{
    std::uint32_t slots = 0;
    std::uint32_t slots_held = 0;
    std::uint32_t waiting = 0;
    std::size_t open = 0;
    std::uint64_t config_number = 0;
    std::uint64_t events = 0;
    std::uint64_t events_dropped = 0;
    std::size_t usage_rows_waiting = 0;
    std::uint64_t usage_writes = 0;
    std::uint64_t usage_write_failures = 0;
};

/// \brief Returns the metrics page in the Prometheus text format.
[[nodiscard]] std::string to_prometheus(const process_metrics& metrics,
                                        const process_gauges& gauges, time_point now);

} // namespace agateseam

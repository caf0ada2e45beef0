/// What a process counts of its requests and attempts, and its page for Prometheus.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <agateseam/error.hpp>
#include <agateseam/metrics.hpp>

namespace agateseam
{

/// Number of error codes.
inline constexpr std::size_t error_codes =
    static_cast<std::size_t>(error_code::internal) + 1;

/// \brief Counts of one process; entries fill the first part, agents the second.
struct process_metrics
{
    metric_counter admitted; ///< Requests inside their workspace's allowance.
    metric_counter whole;    ///< Answered whole.
    metric_counter good;     ///< Answered whole, within both latency targets.
    metric_counter cut;      ///< Ended after the first token, before the last.
    metric_counter cancelled;
    std::array<metric_counter, error_codes> refused; ///< By the error's code.
    metric_counter refused_inside_rate; ///< Refused although the allowance had room.
    metric_counter retried;
    metric_counter resumed;
    metric_counter late; ///< Late or crossed answers that were dropped.
    metric_counter output_tokens;
    metric_quantiles first_token_seconds;
    metric_quantiles token_gap_seconds;
    service_level_monitor service;

    metric_counter prefill_tokens; ///< Prompt tokens prefilled for a decode here.
    metric_counter wasted_prefill_tokens;
    metric_counter decoded_tokens;
    metric_counter wasted_output_tokens;
    metric_counter cancelled_attempts;
};

/// \brief What a page shows beside the counts; read at the moment of the call.
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

/// \brief Returns the page.
[[nodiscard]] std::string to_prometheus(const process_metrics& metrics,
                                        const process_gauges& gauges, time_point now);

} // namespace agateseam

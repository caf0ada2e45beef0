/// A process's events, usage and metrics, and the pages that show them.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <agateseam/event_log.hpp>
#include <agateseam/usage_batch.hpp>
#include <agateseam/usage_meter.hpp>
#include <daemon/metrics.hpp>
#include <daemon/settings.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief Telemetry shared by all parts of one process; outlives all of them.
class process_telemetry
{
  public:
    /// \param time must outlive the object.
    /// \param incarnation the process's start, in milliseconds of wall-clock time.
    process_telemetry(const daemon_settings& settings, const clock_source& time,
                      std::uint64_t incarnation);

    /// \brief Advances the hybrid clock and returns its time as a header.
    [[nodiscard]] http_header stamp_header();

    /// \brief Merges the hybrid time in a message's headers, if any, into the clock.
    void merge_stamp(const std::vector<http_header>& head);

    /// \brief Merges a hybrid time in text form into the clock; ignores malformed text.
    void merge_stamp(std::string_view text);

    /// \brief Answers /metrics, and /events and /status to a trusted caller.
    /// \param trusted whether the caller sent the fleet secret or the operator token.
    /// \returns whether the path was one of these.
    [[nodiscard]] bool serve(http_exchange& exchange, bool trusted);

    daemon_settings settings;
    const clock_source* time;
    std::uint64_t incarnation;
    hybrid_clock stamps;
    event_log events;
    usage_meter usage;
    usage_outbox outbox;
    metric_counter usage_writes;
    metric_counter usage_write_failures;
    process_metrics metrics;
    /// Whether the last store call made for usage succeeded.
    std::atomic<bool> store_reachable{true};
    std::function<process_gauges()> gauges; ///< Set before serving begins.
    /// Returns the metrics page's lines of this role; set before serving begins.
    std::function<std::string()> role_metrics;

  private:
    [[nodiscard]] process_gauges read_gauges() const;
    [[nodiscard]] std::string event_lines(const http_request& request) const;
    [[nodiscard]] std::string status() const;
};

} // namespace agateseam

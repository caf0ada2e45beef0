/// What a process knows of itself: events, usage, metrics; and the pages that show it.
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

/// \brief State of one process that its parts add to; outlives all of them.
class process_telemetry
{
  public:
    /// \param time must outlive the object.
    /// \param incarnation the process's start, in wall milliseconds.
    process_telemetry(const daemon_settings& settings, const clock_source& time,
                      std::uint64_t incarnation);

    /// \brief Returns the header that carries this process's stamp.
    [[nodiscard]] http_header stamp_header();

    /// \brief Takes over the stamp that came with a message, if one did.
    void take_stamp(const std::vector<http_header>& head);

    /// \brief Takes over a stamp's text; nonsense changes nothing.
    void take_stamp(std::string_view text);

    /// \brief Answers /metrics, and with the credentials given also /events and /status.
    /// \param trusted whether the caller showed the fleet secret or the operator token.
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
    std::atomic<bool> store_reachable{true};   ///< By the last call made for usage.
    std::function<process_gauges()> gauges;    ///< Set before serving begins.
    std::function<std::string()> role_metrics; ///< More of the page; set before serving.

  private:
    [[nodiscard]] process_gauges read_gauges() const;
    [[nodiscard]] std::string event_lines(const http_request& request) const;
    [[nodiscard]] std::string status() const;
};

} // namespace agateseam

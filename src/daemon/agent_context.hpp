/// What an agent's parts share: settings, slots, the attempts it has seen.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <agateseam/clock.hpp>
#include <agateseam/request.hpp>
#include <daemon/attempt_table.hpp>
#include <daemon/messages.hpp>
#include <daemon/settings.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief State of one agent; outlives all its attempts.
class agent_context
{
  public:
    [[nodiscard]] static result<std::unique_ptr<agent_context>>
    create(const daemon_settings& settings);

    /// \brief Takes a slot unless all are held or the agent is leaving.
    [[nodiscard]] bool take_slot();
    void release_slot();

    /// \brief Tells whether an attempt's relay has not renewed its lease in time.
    [[nodiscard]] bool lapsed(const attempt_id& id) const;

    /// \brief Stops taking work while the backend server refuses connections.
    void note_backend(const error& fault);

    /// \brief Cancels what the engine still runs for an earlier agent process, and sets
    /// `backend_ready` once it runs nothing.
    void reconcile();

    /// \brief Returns the current load, with the next sequence number.
    [[nodiscard]] load_report report();
    [[nodiscard]] http_header load_header();

    daemon_settings settings;
    steady_clock_source time;
    attempt_table attempts;
    lease_table leases;
    std::atomic<bool> leaving{false};
    std::atomic<bool> backend_ready{false}; ///< Reachable, and holds nothing from before.
    std::atomic<std::uint64_t> events_dropped{0}; ///< Of other requests' answers.
    std::atomic<std::uint64_t> leases_lapsed{0};
    std::atomic<std::uint32_t> waiting{0};        ///< Prefills that wait or run.
    std::atomic<std::uint64_t> waiting_tokens{0}; ///< Their prompt tokens.
    std::atomic<std::size_t> open{0};             ///< Attempts under way.
    std::unique_ptr<http_client> client;

  private:
    agent_context() = default;

    void cancel_all(const std::string& request_ids);

    std::atomic<std::uint32_t> used{0};
    std::atomic<std::uint64_t> sequence{0};
    std::uint64_t incarnation = 0;
};

/// \brief Serves a decode order as a stream: prefill elsewhere, KV transfer, decode here.
void start_decode_attempt(agent_context& context, std::shared_ptr<http_exchange> exchange,
                          attempt_order order);

/// \brief Serves a decode agent's order to prefill.
void start_prefill_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order);

/// \brief Serves an order to call the plain service.
void start_service_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order);

} // namespace agateseam

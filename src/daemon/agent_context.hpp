/// What an agent's parts share: settings, slots, the attempts it has seen.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/request.hpp>
#include <agateseam/work_estimator.hpp>
#include <daemon/attempt_table.hpp>
#include <daemon/messages.hpp>
#include <daemon/settings.hpp>
#include <daemon/slot_service.hpp>
#include <daemon/telemetry.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief A part of an agent's work that wants a call at each heartbeat.
class heartbeat_listener
{
  public:
    virtual ~heartbeat_listener() = default;
    virtual void on_heartbeat() = 0;
};

/// \brief State of one agent; outlives all its attempts.
class agent_context
{
  public:
    [[nodiscard]] static result<std::unique_ptr<agent_context>>
    create(const daemon_settings& settings);

    /// \brief Takes a slot of a plain service unless all are held or the agent is
    /// leaving.
    [[nodiscard]] bool take_slot();
    void release_slot();

    /// \brief Returns the current load, with the next sequence number.
    [[nodiscard]] load_report report();
    [[nodiscard]] http_header load_header();

    /// \brief Takes no more work, and hands back what waits.
    void drain();

    /// \brief Cancels what the engine still runs for an earlier incarnation.
    /// \returns whether the engine runs nothing of that kind any more.
    [[nodiscard]] bool reconcile();

    /// \brief Tells the engine to cancel an attempt, again at each heartbeat until it has
    /// confirmed or has gone.
    void abort_at_engine(const std::string& engine_id);

    /// \brief Takes over an order's generation.
    /// \returns false when a newer one came before.
    [[nodiscard]] bool accept_generation(std::uint64_t stated);

    /// \brief Takes no work while the backend server refuses connections.
    void note_backend(const error& fault);

    /// \brief Calls the listener at each heartbeat until it is destroyed.
    void listen(std::weak_ptr<heartbeat_listener> listener);
    void beat();

    daemon_settings settings;
    steady_clock_source time;
    attempt_table attempts;
    std::atomic<bool> leaving{false};
    std::atomic<bool> ready{false}; ///< Reachable, and holds nothing from before.
    std::atomic<std::uint64_t> events_dropped{0}; ///< Of other requests' answers.
    std::atomic<std::size_t> open{0};             ///< Attempts under way.
    work_estimator estimator;
    std::unique_ptr<process_telemetry> telemetry;
    std::unique_ptr<slot_service> slots; ///< Of a model engine; the attempts' leases.
    std::unique_ptr<http_client> client;

  private:
    explicit agent_context(const daemon_settings& chosen);

    std::atomic<std::uint32_t> used{0};
    std::atomic<std::uint64_t> sequence{0};
    std::uint64_t incarnation = 0;
    std::atomic<std::uint64_t> generation{0}; ///< The newest of an order.
    std::mutex mutex;
    std::vector<std::weak_ptr<heartbeat_listener>> listeners;
    std::set<std::string> unconfirmed_aborts; ///< Ids at the engine.
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

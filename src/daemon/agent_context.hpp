/// State that the parts of an agent share, such as its settings, slots and attempts.
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

/// Of an engine's or a service's answer that is collected; larger ones are not expected.
inline constexpr std::size_t max_backend_answer_bytes = 16 << 20;

/// \brief Receives a call at each heartbeat of an agent.
class heartbeat_listener
{
  public:
    virtual ~heartbeat_listener() = default;
    virtual void on_heartbeat() = 0;
};

/// \brief Holds the state of one agent and outlives all its attempts.
class agent_context
{
  public:
    [[nodiscard]] static result<std::unique_ptr<agent_context>>
    create(const daemon_settings& settings);

    /// \brief Takes a slot of a plain service, unless all slots are in use or the agent
    /// is draining.
    [[nodiscard]] bool try_take_service_slot();
    void release_service_slot();

    /// \brief Returns the current load, with the next sequence number.
    [[nodiscard]] load_report report();
    [[nodiscard]] http_header load_header();

    /// \brief Stops accepting work and refuses the attempts that wait in the queue.
    void drain();

    /// \brief Cancels the requests that the engine still runs for an earlier incarnation.
    /// \returns whether the engine runs no such request any more.
    [[nodiscard]] bool reconcile();

    /// \brief Tells the engine to cancel an attempt, and repeats this at each heartbeat
    /// until the engine has confirmed it or refuses connections.
    void abort_at_engine(const std::string& engine_id);

    /// \brief Stores the generation of an order.
    /// \returns false when an earlier order had a newer generation.
    [[nodiscard]] bool accept_generation(std::uint64_t received);

    /// \brief Marks the agent as not ready when the backend server refused a connection.
    void note_backend_error(const error& fault);

    /// \brief Calls the listener at each heartbeat until it is destroyed.
    void add_heartbeat_listener(std::weak_ptr<heartbeat_listener> listener);
    void run_heartbeat();

    daemon_settings settings;
    steady_clock_source time;
    attempt_table attempts;
    std::atomic<bool> draining{false};
    std::atomic<bool> ready{false};               ///< The backend server is reconciled.
    std::atomic<std::uint64_t> events_dropped{0}; ///< Events of other requests' answers.
    std::atomic<std::size_t> attempts_in_progress{0};
    work_estimator estimator;
    std::unique_ptr<process_telemetry> telemetry;
    std::unique_ptr<slot_service> slots; ///< Slots of a model engine and their leases.
    std::unique_ptr<http_client> client;

  private:
    explicit agent_context(const daemon_settings& initial_settings);

    std::atomic<std::uint32_t> service_slots_used{0};
    std::atomic<std::uint64_t> sequence{0};
    std::uint64_t incarnation = 0;
    std::atomic<std::uint64_t> generation{0}; ///< The newest generation of an order.
    std::mutex mutex;
    std::vector<std::weak_ptr<heartbeat_listener>> listeners;
    std::set<std::string> unconfirmed_aborts; ///< The engine's request ids.
};

/// \brief Runs a decode order: requests the prefill from another agent, decodes here and
/// streams the tokens.
void start_decode_attempt(agent_context& context, std::shared_ptr<http_exchange> exchange,
                          attempt_order order);

/// \brief Runs the prefill that a decode agent ordered.
void start_prefill_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order);

/// \brief Runs an order to call the plain service.
void start_service_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order);

} // namespace agateseam

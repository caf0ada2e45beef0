/// Grants the slots of one backend server and plans its queue and its link.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/fair_queue.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief Limits and lifetimes for one backend server.
struct scheduler_options
{
    std::uint32_t slots = 20;
    std::uint32_t max_queued_attempts = 256;
    duration lease_lifetime = std::chrono::seconds(3);   ///< Without a renewal.
    duration kv_lifetime = std::chrono::milliseconds(0); ///< Of a prefill's result.
    /// Probability, at most, that a slot which is granted while in use becomes free too
    /// late; at 0 such a grant needs a slot that is certain to become free.
    double max_late_probability = 0;
};

/// \brief A request for a slot.
struct slot_request
{
    attempt_id id;
    std::string workspace;
    double weight = 1;         ///< Share relative to other workspaces, above 0.
    double tokens = 0;         ///< Charged to the workspace.
    duration expected_use{0};  ///< Expected time in the slot.
    duration max_use{0};       ///< Longest time in the slot.
    duration lead_time{0};     ///< Of work elsewhere between the grant and the start.
    duration transfer_time{0}; ///< Link time that follows the slot.
    time_point deadline{};     ///< Latest start that is of any use.
};

/// \brief What happened to an attempt.
enum class slot_event_kind : std::uint8_t
{
    granted,      ///< A slot is reserved, free by `ready_at`; the lead work may begin.
    started,      ///< The attempt holds the slot and may run.
    refused,      ///< Removed before any work; the client may retry after `retry_after`.
    lease_expired ///< The lease was not renewed; the attempt's work must be cancelled.
};

/// \brief One event for the owner of an attempt.
struct slot_event
{
    slot_event_kind kind = slot_event_kind::refused;
    attempt_id id;
    time_point ready_at{};
    duration retry_after{0};
    error_code reason = error_code::exhausted;
};

/// \brief Counts for a load report.
struct scheduler_load
{
    std::uint32_t used = 0;    ///< Attempts with a granted slot, running or not.
    std::uint32_t running = 0; ///< Attempts that run.
    std::uint32_t queued = 0;  ///< Attempts that wait for a grant.
    double queued_tokens = 0;  ///< Of all attempts, waiting, granted or running.
};

/// \brief Grants slots in fair order, each with a lease that expires unless renewed.
///
/// An attempt waits, is granted a slot, does its lead work such as a prefill, runs and is
/// released. A slot that is still in use may be granted when some use is certain to end
/// within the lead time, or is likely enough to end while the result of the lead work
/// lives, so that the prefill's end and the free slot coincide. Never more than `slots`
/// attempts run.
///
/// \remarks Takes the time as an argument and does no I/O. Not safe from several threads.
/// Call `advance` after each change and at `next_wake_time`, and act on its events.
class agent_scheduler
{
  public:
    /// \returns `invalid` without slots or with a lease lifetime of 0.
    [[nodiscard]] static result<agent_scheduler> create(const scheduler_options& options);

    /// \brief Queues an attempt.
    /// \returns how soon it is expected to start; `conflict` for a known attempt,
    /// `unavailable` while draining, `exhausted` when the queue is full or the deadline
    /// can't be met. A refused attempt was not run.
    [[nodiscard]] result<duration> submit(const slot_request& request, time_point now);

    /// \brief Asks to run in the granted slot; `started` follows once the slot is free.
    /// \returns whether the attempt holds a grant that it did not use before.
    bool request_start(const attempt_id& id, time_point now);

    /// \brief Renews a lease.
    /// \returns whether the attempt is known and its lease had not expired.
    bool renew(const attempt_id& id, time_point now);

    /// \brief Updates how long a running attempt still needs its slot.
    /// \param expected, longest Expected and longest time in the slot from now on.
    void set_remaining_use(const attempt_id& id, duration expected, duration longest,
                           time_point now);

    /// \brief Ends an attempt in any state and refunds unused tokens to its workspace.
    /// \param used Tokens that the attempt cost in fact.
    void release(const attempt_id& id, double used);

    /// \brief Refuses new attempts and all that wait.
    void drain() noexcept { this->draining = true; }

    /// \brief Expires leases, starts, grants and refuses attempts as due.
    [[nodiscard]] std::vector<slot_event> advance(time_point now);

    /// \brief Returns when `advance` is due next even if nothing changes.
    [[nodiscard]] time_point next_wake_time(time_point now) const;

    /// \brief Returns how long a client should wait before it retries.
    [[nodiscard]] duration retry_after(time_point now) const;

    [[nodiscard]] scheduler_load load() const;

  private:
    enum class phase : std::uint8_t
    {
        waiting,
        reserved,      ///< Granted; lead work in progress.
        awaiting_slot, ///< Lead work done; waits until its slot is free.
        running
    };

    static constexpr std::size_t phase_count = 4;

    struct record
    {
        slot_request request;
        phase state = phase::waiting;
        time_point lease_expiry{};
        time_point expected_end{};
        time_point latest_end{};
        std::uint64_t start_order = 0; ///< Position among the calls of `request_start`.
    };

    using record_map = std::map<attempt_id, record>;

    explicit agent_scheduler(const scheduler_options& initial_options);

    /// A waiting attempt and when it is expected to run.
    struct forecast
    {
        attempt_id id;
        time_point start{};
    };

    [[nodiscard]] std::uint32_t& count(phase state);
    [[nodiscard]] std::uint32_t count(phase state) const;
    void change_phase(record& item, phase next);
    void run(record& item, time_point now, std::vector<slot_event>& events);
    [[nodiscard]] std::vector<time_point> expected_free_times(time_point now) const;
    [[nodiscard]] time_point guaranteed_slot_time(time_point now) const;
    [[nodiscard]] bool is_within_share(const record& head) const;
    [[nodiscard]] bool is_slot_likely(const record& head, time_point now) const;
    [[nodiscard]] time_point grant_time(const record& head, time_point now) const;
    [[nodiscard]] std::vector<forecast> forecast_starts(time_point now) const;
    [[nodiscard]] time_point next_expected_slot(time_point now) const;
    void expire_leases(time_point now, std::vector<slot_event>& events);
    void start_in_free_slots(time_point now, std::vector<slot_event>& events);
    void grant_waiting(time_point now, std::vector<slot_event>& events);
    void refuse_late(time_point now, std::vector<slot_event>& events);
    void refuse(const attempt_id& id, error_code reason, time_point now,
                std::vector<slot_event>& events);

    scheduler_options options;
    record_map records;
    fair_queue queue;
    std::array<std::uint32_t, phase_count> counts{}; ///< Records by phase.
    std::uint64_t start_requests = 0;                ///< Calls of `request_start`.
    time_point link_free_at{};
    bool draining = false;
};

} // namespace agateseam

/// The authority on one backend server's slots, waiting work and link.
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

/// \brief Sizes and times of one backend server.
struct scheduler_options
{
    std::uint32_t slots = 20;
    std::uint32_t queue_limit = 256;                     ///< Attempts that may wait.
    duration lease_lifetime = std::chrono::seconds(3);   ///< Without a renewal.
    duration kv_lifetime = std::chrono::milliseconds(0); ///< Of a prefill's result.
    double promise_risk = 0; ///< Chance, at most, that a promised slot comes too late.
};

/// \brief A wish for a slot.
struct slot_request
{
    attempt_id id;
    std::string workspace;
    double weight = 1;     ///< Share against other workspaces, above 0.
    double tokens = 0;     ///< Charged to the workspace.
    duration expected{0};  ///< How long it is thought to hold the slot.
    duration longest{0};   ///< How long it may hold the slot at most.
    duration lead{0};      ///< Work elsewhere between the grant and the start.
    duration transfer{0};  ///< Link time that follows the slot.
    time_point deadline{}; ///< Latest start of any use.
};

/// \brief What happened to an attempt.
enum class slot_event_kind : std::uint8_t
{
    granted, ///< A slot is reserved, free at `ready` at the latest; the lead may begin.
    started, ///< It holds the slot and may run.
    refused, ///< Dropped before any work; come back after `retry_after`.
    lapsed   ///< Nobody renewed its lease; its work has to be cancelled.
};

/// \brief One event for the owner of an attempt.
struct slot_event
{
    slot_event_kind kind = slot_event_kind::refused;
    attempt_id id;
    time_point ready{};
    duration retry_after{0};
    error_code reason = error_code::exhausted;
};

/// \brief Counts for a load report.
struct scheduler_load
{
    std::uint32_t used = 0;    ///< Granted or running.
    std::uint32_t running = 0; ///< Running.
    std::uint32_t queued = 0;  ///< Waiting for a grant.
    double queued_tokens = 0;  ///< Of all that wait or run.
};

/// \brief Grants slots in fair order, each as a lease that ends unless it is renewed.
///
/// An attempt waits, is granted a slot (its lead work, such as a prefill, may begin),
/// starts to run and is released. A grant may name a slot that is still in use when some
/// use is sure to end within the lead, or likely enough to end while the result of the
/// lead lives, so that prefill and slot meet. Never more than
/// `slots` attempts run.
///
/// \remarks Takes the time as an argument and does no I/O. Not safe from several threads.
/// Call `advance` after each change and at `next_wake`, and act on its events.
class agent_scheduler
{
  public:
    /// \returns `invalid` without slots or with a lease lifetime of 0.
    [[nodiscard]] static result<agent_scheduler> create(const scheduler_options& options);

    /// \brief Queues an attempt.
    /// \returns how soon it is thought to start; `conflict` for a known attempt,
    /// `unavailable` while draining, `exhausted` when the queue is full or its deadline
    /// can't be met. None of the refused was run.
    [[nodiscard]] result<duration> submit(const slot_request& request, time_point now);

    /// \brief Asks to run in the granted slot; `started` follows once it is free.
    /// \returns whether the attempt holds a grant.
    bool start(const attempt_id& id, time_point now);

    /// \brief Renews a lease.
    /// \returns whether it was still alive.
    bool renew(const attempt_id& id, time_point now);

    /// \brief Notes how long a running attempt still needs.
    void progress(const attempt_id& id, duration expected, duration longest,
                  time_point now);

    /// \brief Ends an attempt in any state, and returns unused tokens to its workspace.
    /// \param used Tokens that it turned out to cost.
    void release(const attempt_id& id, double used);

    /// \brief Takes no more work, and refuses all that waits.
    void drain() noexcept { this->draining = true; }

    /// \brief Grants, starts, refuses and ends what is due.
    [[nodiscard]] std::vector<slot_event> advance(time_point now);

    /// \brief Returns when `advance` is due next even if nothing changes.
    [[nodiscard]] time_point next_wake(time_point now) const;

    /// \brief Returns how long a client should wait before it asks again.
    [[nodiscard]] duration retry_after(time_point now) const;

    [[nodiscard]] scheduler_load load() const;

  private:
    enum class phase : std::uint8_t
    {
        waiting,
        reserved, ///< Granted; lead work under way.
        arriving, ///< Lead work done; waits for its slot to be free.
        running
    };

    static constexpr std::size_t phase_count = 4;

    struct record
    {
        slot_request request;
        phase state = phase::waiting;
        time_point expires{};
        time_point expected_end{};
        time_point latest_end{};
        std::uint64_t arrival = 0; ///< Order of the calls to start.
    };

    using record_map = std::map<attempt_id, record>;

    explicit agent_scheduler(const scheduler_options& chosen);

    /// A waiting attempt and when it is thought to run.
    struct forecast
    {
        attempt_id id;
        time_point start{};
    };

    [[nodiscard]] std::uint32_t& count(phase state);
    [[nodiscard]] std::uint32_t count(phase state) const;
    void move_to(record& item, phase next);
    void run(record& item, time_point now, std::vector<slot_event>& events);
    [[nodiscard]] std::vector<time_point> expected_ends(time_point now) const;
    [[nodiscard]] time_point sure_slot(time_point now) const;
    [[nodiscard]] bool is_within_share(const record& head) const;
    [[nodiscard]] bool slot_is_likely(const record& head, time_point now) const;
    [[nodiscard]] time_point grant_time(const record& head, time_point now) const;
    [[nodiscard]] std::vector<forecast> rehearse(time_point now) const;
    [[nodiscard]] time_point next_expected_slot(time_point now) const;
    void end_lapsed(time_point now, std::vector<slot_event>& events);
    void start_arrived(time_point now, std::vector<slot_event>& events);
    void grant_waiting(time_point now, std::vector<slot_event>& events);
    void refuse_late(time_point now, std::vector<slot_event>& events);
    void refuse(const attempt_id& id, error_code reason, time_point now,
                std::vector<slot_event>& events);

    scheduler_options options;
    record_map records;
    fair_queue queue;
    std::array<std::uint32_t, phase_count> counts{}; ///< Records by phase.
    std::uint64_t arrivals = 0;
    time_point link_free{};
    bool draining = false;
};

} // namespace agateseam

/// An entry's side of shared allowances: admits from the tokens that homes have granted.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <agateseam/admission.hpp>
#include <agateseam/share_messages.hpp>
#include <agateseam/token_buckets.hpp>

namespace agateseam
{

/// \brief Intervals and limits of a holder; they trade messages against refusals.
struct share_holder_options
{
    /// The least time between two reports to a home while no reservation waits for it.
    duration report_interval = std::chrono::milliseconds(200);
    /// Unused tokens should cover the expected demand of this span.
    duration demand_horizon = std::chrono::seconds(2);
    /// A reservation that has waited this long is refused when no home decides on it.
    duration max_home_wait = std::chrono::milliseconds(250);
    /// The pause after a report that failed or that no home could decide on.
    duration retry_delay = std::chrono::milliseconds(20);
    /// The most reservations that may wait in one shard; more are refused at once.
    std::size_t max_waiting_reservations = 1'024;
};

/// \brief Keeps one account for each workspace.
///
/// `reserve` takes from the granted tokens, without a lock. Where they are not enough,
/// `reserve_async` queues the reservation for the next report to the home.
///
/// \remarks The methods from `configure` on are for the controller; they take a lock.
class share_holder final : public admission
{
  public:
    /// Receives the decision on a reservation that may have had to ask the home.
    using decision_callback = std::function<void(const admission_decision&)>;

    /// \param time must outlive the object.
    /// \param vm the entry's VM.
    /// \param incarnation greater than that of every earlier process on the VM.
    [[nodiscard]] static result<std::unique_ptr<share_holder>>
    create(const clock_source& time, std::string vm, std::uint64_t incarnation,
           const share_holder_options& options);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

    /// \brief Reserves tokens, and asks the home if the held tokens are not enough.
    /// \param done called once: at once, or later from `handle_answer` or
    /// `report_failed`.
    void reserve_async(std::string_view workspace, double tokens, decision_callback done);

    /// \brief Returns the tokens that could be reserved here at once.
    [[nodiscard]] double credit(std::string_view workspace) const;

    /// \brief Replaces the workspaces; those that stay keep their accounts.
    void configure(std::span<const allowance_limits> limits);

    /// \brief Returns the shards that have something to report now.
    [[nodiscard]] std::vector<std::uint32_t> shards_due(time_point now) const;

    /// \brief Makes a shard's next report. The shard is not due again until the report
    /// has been answered or has failed.
    [[nodiscard]] share_report make_report(std::uint32_t shard, time_point now);

    /// \brief Processes the home's answer to the report under way.
    void handle_answer(const share_answer& answer);

    /// \brief Ends a report that got no answer, and refuses the reservations in it.
    /// \param retry_after how long the refused callers are told to wait.
    void report_failed(std::uint32_t shard, duration retry_after);

    /// \brief Answers a new home, and accepts no answer of an older epoch from now on.
    [[nodiscard]] share_census_answer answer_census(const share_census& census);

  private:
    struct account
    {
        std::string workspace;
        std::atomic<std::int64_t> credit{0}; ///< Tokens that can be reserved.
        std::atomic<token_count> delivered{0};
        std::atomic<token_count> demanded{0}; ///< Tokens that were asked for.
        std::atomic<token_count> requests{0}; ///< Reservations that were asked for.
        std::atomic<double> limit{0};         ///< The workspace's burst, in tokens.
        std::atomic<bool> open{true};         ///< Whether the workspace exists.
        // The controller alone uses the members below.
        token_count granted = 0;
        token_count returned = 0;
        share_account sent;              ///< As in the report under way.
        share_account acknowledged;      ///< As in the newest report that was answered.
        token_count measured_demand = 0; ///< `demanded` at the last measurement.
        double demand_rate = 0;          ///< Tokens per second, smoothed.
        time_point measured_at;          ///< The time of the last measurement.
        bool scarce = false;             ///< Whether the home wants unused tokens back.

        [[nodiscard]] bool try_take(std::int64_t tokens) noexcept;
        [[nodiscard]] share_account counters() const;
        [[nodiscard]] bool is_acknowledged() const noexcept;
        void measure_demand(time_point now) noexcept;
        [[nodiscard]] std::int64_t target_credit(duration horizon) const noexcept;
    };

    /// A reservation that waits for the home.
    struct waiter
    {
        std::shared_ptr<account> workspace_account;
        std::int64_t tokens = 0;
        decision_callback done;
        time_point since;
        bool refusable = false; ///< Whether the next decision refuses it if the credit is
                                ///< too low: the report contained it, or it has waited
                                ///< too long.
    };

    struct shard_state
    {
        std::uint64_t epoch = 0;
        bool report_pending = false; ///< Whether a report is under way.
        std::uint64_t sequence = 0;  ///< The sequence of the report under way.
        time_point last_report;      ///< When the newest report was made.
        time_point next_report;      ///< The earliest time of the next report.
        std::deque<waiter> waiters;
        std::vector<std::shared_ptr<account>> accounts;
    };

    using table = std::unordered_map<std::string, std::shared_ptr<account>,
                                     impl::name_hash, std::equal_to<>>;

    share_holder(const clock_source& clock, std::string vm_name,
                 std::uint64_t process_incarnation,
                 const share_holder_options& holder_options)
        : time(&clock)
        , vm(std::move(vm_name))
        , incarnation(process_incarnation)
        , options(holder_options)
    {
    }

    [[nodiscard]] std::shared_ptr<account> find(std::string_view workspace) const;
    [[nodiscard]] bool needs_report(const account& candidate,
                                    time_point now) const noexcept;
    [[nodiscard]] share_report_line make_line(shard_state& shard,
                                              account& workspace_account, time_point now);
    void apply_grant(account& workspace_account, const share_grant& grant);
    [[nodiscard]] std::vector<std::pair<decision_callback, admission_decision>>
    decide_waiters(shard_state& shard,
                   const std::map<std::string, duration>& retry_delays, bool level_known);
    [[nodiscard]] std::vector<std::pair<decision_callback, admission_decision>>
    handle_answer_locked(const share_answer& answer);
    [[nodiscard]] std::vector<std::pair<decision_callback, admission_decision>>
    retry_later(shard_state& shard);

    const clock_source* time;
    std::string vm;
    std::uint64_t incarnation;
    share_holder_options options;
    published<table> accounts;
    mutable std::mutex mutex;
    std::uint64_t sequence = 0;
    std::map<std::uint32_t, shard_state> shards;
};

} // namespace agateseam

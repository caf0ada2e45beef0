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
#include <agateseam/allowance.hpp>
#include <agateseam/share_messages.hpp>

namespace agateseam
{

/// \brief How a holder weighs messages against refusals.
struct share_options
{
    duration report_interval = std::chrono::milliseconds(200); ///< Between reports to a
                                                               ///< home that nothing
                                                               ///< waits for.
    duration horizon = std::chrono::seconds(2); ///< Demand that idle tokens should cover.
    duration patience = std::chrono::milliseconds(250); ///< That a reservation waits for
                                                        ///< a home.
    duration retry_pause = std::chrono::milliseconds(20); ///< After an answer without a
                                                          ///< home.
    std::size_t waiting_limit = 1'024; ///< Reservations that may wait, a shard.
};

/// \brief Keeps one account for each workspace.
///
/// `reserve` takes from what was granted, without a lock. Where that is not enough, `ask`
/// queues the reservation for the next report to the home.
///
/// \remarks The methods from `configure` on belong to a controller; they take a lock.
class share_holder final : public admission
{
  public:
    /// Told what became of a reservation that had to ask the home.
    using callback = std::function<void(const admission_decision&)>;

    /// \param time must outlive the object.
    /// \param vm the entry's VM.
    /// \param incarnation greater than that of every earlier process on the VM.
    [[nodiscard]] static result<std::unique_ptr<share_holder>>
    create(const clock_source& time, std::string vm, std::uint64_t incarnation,
           const share_options& options);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

    /// \brief Reserves, if need be by asking the home.
    /// \param done called once, at once or later from `take` or `failed`.
    void ask(std::string_view workspace, double tokens, callback done);

    /// \brief Returns the tokens that could be reserved here at once.
    [[nodiscard]] double credit(std::string_view workspace) const;

    /// \brief Takes over the workspaces; those that stay keep their accounts.
    void configure(std::span<const allowance_terms> terms);

    /// \brief Returns the shards that have something to report now.
    [[nodiscard]] std::vector<std::uint32_t> due(time_point now) const;

    /// \brief Makes the next report of a shard; none goes out until its answer or
    /// failure.
    [[nodiscard]] share_report report(std::uint32_t shard, time_point now);

    /// \brief Takes the home's answer to the report under way.
    void take(const share_answer& answer);

    /// \brief Ends a report without an answer; what waited for it is refused.
    void failed(std::uint32_t shard, duration retry_after);

    /// \brief Answers a new home, whose epoch this entry follows from now on.
    [[nodiscard]] share_census_answer take(const share_census& census);

  private:
    struct account
    {
        std::string workspace;
        std::atomic<std::int64_t> credit{0};
        std::atomic<token_count> delivered{0};
        std::atomic<token_count> demanded{0}; ///< Tokens that were asked for.
        std::atomic<token_count> requests{0};
        std::atomic<double> limit{0};
        std::atomic<bool> open{true}; ///< Whether the workspace exists.
        // The rest belongs to the controller.
        token_count granted = 0;
        token_count returned = 0;
        share_account sent;         ///< As in the report under way.
        share_account acknowledged; ///< As in the newest report that was answered.
        token_count demand_seen = 0;
        double demand_rate = 0; ///< Tokens per second, smoothed.
        time_point demand_at;
        bool scarce = false;

        [[nodiscard]] bool take(std::int64_t tokens) noexcept;
        [[nodiscard]] share_account counters() const;
        [[nodiscard]] bool settled() const noexcept;
        void measure(time_point now) noexcept;
        [[nodiscard]] std::int64_t target(duration horizon) const noexcept;
    };

    /// A reservation that waits for the home.
    struct waiter
    {
        std::shared_ptr<account> owner;
        std::int64_t tokens = 0;
        callback done;
        time_point since;
        bool reported = false; ///< Whether the report under way names it.
    };

    struct shard_state
    {
        std::uint64_t epoch = 0;
        bool under_way = false;
        std::uint64_t sequence = 0; ///< Of the report under way.
        time_point last;            ///< When the newest report was made.
        time_point not_before;      ///< Of the next report.
        std::deque<waiter> waiters;
        std::vector<std::shared_ptr<account>> accounts;
    };

    using table = std::unordered_map<std::string, std::shared_ptr<account>,
                                     impl::name_hash, std::equal_to<>>;

    share_holder(const clock_source& clock, std::string vm_name, std::uint64_t start,
                 const share_options& chosen)
        : time(&clock)
        , vm(std::move(vm_name))
        , incarnation(start)
        , options(chosen)
    {
    }

    [[nodiscard]] std::shared_ptr<account> find(std::string_view workspace) const;
    [[nodiscard]] bool needs_report(const account& one, time_point now) const noexcept;
    [[nodiscard]] share_line make_line(shard_state& shard, account& one, time_point now);
    void take(account& one, const share_grant& grant);
    [[nodiscard]] std::vector<std::pair<callback, admission_decision>>
    serve_waiters(shard_state& shard, const std::map<std::string, duration>& refused,
                  bool known);
    [[nodiscard]] std::vector<std::pair<callback, admission_decision>>
    take_locked(const share_answer& answer);
    [[nodiscard]] std::vector<std::pair<callback, admission_decision>>
    wait_on(shard_state& shard);

    const clock_source* time;
    std::string vm;
    std::uint64_t incarnation;
    share_options options;
    published<table> accounts;
    mutable std::mutex mutex;
    std::uint64_t sequence = 0;
    std::map<std::uint32_t, shard_state> shards;
};

} // namespace agateseam

#include <agateseam/share_holder.hpp>

#include <algorithm>
#include <cmath>

#include <agateseam/share_directory.hpp>

namespace agateseam
{

namespace
{

/// An account with unused tokens is reported at least this often: each report measures
/// the demand anew and returns the tokens that it no longer needs.
constexpr duration idle_report_interval = std::chrono::seconds(1);

/// Rounds up to whole tokens, between 0 and the greatest burst.
std::int64_t to_whole_tokens(double tokens) noexcept
{
    return static_cast<std::int64_t>(
        std::ceil(std::clamp(tokens, 0.0, token_buckets::max_burst)));
}

} // namespace

result<std::unique_ptr<share_holder>>
share_holder::create(const clock_source& time, std::string vm, std::uint64_t incarnation,
                     const share_holder_options& options)
{
    if (options.report_interval <= duration{0})
    {
        return fail(error_code::invalid, "share", "",
                    "the report interval must be above 0");
    }
    return std::unique_ptr<share_holder>(
        new share_holder(time, std::move(vm), incarnation, options));
}

std::shared_ptr<share_holder::account>
share_holder::find(std::string_view workspace) const
{
    const auto current = this->accounts.read();
    if (!current)
    {
        return nullptr;
    }
    const auto found = current->find(workspace);
    return found == current->end() ? nullptr : found->second;
}

admission_decision share_holder::reserve(std::string_view workspace, double tokens)
{
    admission_decision decision;
    const auto current = this->accounts.read();
    if (!current)
    {
        return decision;
    }
    const auto found = current->find(workspace);
    if (found == current->end())
    {
        return decision;
    }
    account& workspace_account = *found->second;
    decision.admitted =
        workspace_account.open && workspace_account.try_take(to_whole_tokens(tokens));
    decision.limit = workspace_account.limit;
    decision.remaining = static_cast<double>(workspace_account.credit.load());
    if (decision.admitted)
    {
        workspace_account.demanded += static_cast<token_count>(to_whole_tokens(tokens));
        ++workspace_account.requests;
    }
    return decision;
}

void share_holder::deliver(std::string_view workspace, double tokens)
{
    const auto current = this->accounts.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        found->second->delivered += static_cast<token_count>(to_whole_tokens(tokens));
    }
}

void share_holder::release(std::string_view workspace, double tokens)
{
    const auto current = this->accounts.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        found->second->credit += static_cast<std::int64_t>(std::floor(tokens));
    }
}

double share_holder::credit(std::string_view workspace) const
{
    const auto workspace_account = this->find(workspace);
    return workspace_account ? static_cast<double>(workspace_account->credit.load()) : 0;
}

void share_holder::reserve_async(std::string_view workspace, double tokens,
                                 decision_callback done)
{
    admission_decision decision = this->reserve(workspace, tokens);
    const auto workspace_account = this->find(workspace);
    if (!decision.admitted && workspace_account && workspace_account->open)
    {
        workspace_account->demanded += static_cast<token_count>(to_whole_tokens(tokens));
        ++workspace_account->requests;
        const std::scoped_lock lock(this->mutex);
        shard_state& shard = this->shards[share_shard_of(workspace)];
        if (shard.waiters.size() < this->options.max_waiting_reservations)
        {
            shard.waiters.push_back({workspace_account, to_whole_tokens(tokens),
                                     std::move(done), this->time->now()});
            return;
        }
        decision.retry_after = this->options.report_interval;
        decision.level_known = false;
    }
    done(decision);
}

/// Accounts of removed workspaces are kept but closed, because their tokens may still be
/// delivered and must then be reported.
void share_holder::configure(std::span<const allowance_limits> limits)
{
    const std::scoped_lock lock(this->mutex);
    auto next = std::make_unique<table>();
    next->reserve(limits.size());
    if (const auto current = this->accounts.read())
    {
        *next = *current;
    }
    for (auto& [name, workspace_account] : *next)
    {
        workspace_account->open = false;
    }
    for (const allowance_limits& each : limits)
    {
        auto& workspace_account = (*next)[each.workspace];
        if (!workspace_account)
        {
            workspace_account = std::make_shared<account>();
            workspace_account->workspace = each.workspace;
            workspace_account->measured_at = this->time->now();
            this->shards[share_shard_of(each.workspace)].accounts.push_back(
                workspace_account);
        }
        workspace_account->limit = each.burst;
        workspace_account->open = true;
    }
    this->accounts.publish(std::move(next));
}

/// Tells whether the home has counts to learn, or whether the unused tokens are outdated
/// or outside half to twice their target.
bool share_holder::needs_report(const account& candidate, time_point now) const noexcept
{
    const std::int64_t unused = candidate.credit;
    const std::int64_t target = candidate.target_credit(this->options.demand_horizon);
    const bool outdated =
        unused > 0 && now - candidate.measured_at > idle_report_interval;
    return !candidate.is_acknowledged() || outdated || unused > 2 * target ||
           unused < target / 2;
}

std::vector<std::uint32_t> share_holder::shards_due(time_point now) const
{
    const std::scoped_lock lock(this->mutex);
    std::vector<std::uint32_t> due;
    for (const auto& [number, shard] : this->shards)
    {
        if (shard.report_pending || now < shard.next_report)
        {
            continue;
        }
        const bool interval_over =
            now - shard.last_report >= this->options.report_interval;
        if (!shard.waiters.empty() ||
            (interval_over &&
             std::any_of(shard.accounts.begin(), shard.accounts.end(),
                         [&](const auto& workspace_account)
                         { return this->needs_report(*workspace_account, now); })))
        {
            due.push_back(number);
        }
    }
    return due;
}

share_report_line share_holder::make_line(shard_state& shard, account& workspace_account,
                                          time_point now)
{
    workspace_account.measure_demand(now);
    const std::int64_t target =
        workspace_account.target_credit(this->options.demand_horizon);
    const std::int64_t unused = workspace_account.credit;
    if (unused > 2 * target && workspace_account.try_take(unused - target))
    {
        workspace_account.returned += static_cast<token_count>(unused - target);
    }
    share_report_line line;
    line.account = workspace_account.counters();
    workspace_account.sent = line.account;
    for (waiter& each : shard.waiters)
    {
        if (each.workspace_account.get() == &workspace_account)
        {
            each.refusable = true;
            line.waiting.push_back(static_cast<token_count>(each.tokens));
        }
    }
    line.wanted =
        unused < target / 2 ? static_cast<token_count>(target - unused) : token_count{0};
    return line;
}

share_report share_holder::make_report(std::uint32_t shard, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    shard_state& state = this->shards[shard];
    state.report_pending = true;
    state.last_report = now;
    state.sequence = ++this->sequence;
    share_report report{this->vm,    this->incarnation, shard,
                        state.epoch, state.sequence,    {}};
    for (const auto& workspace_account : state.accounts)
    {
        const bool has_waiter =
            std::any_of(state.waiters.begin(), state.waiters.end(),
                        [&](const waiter& each)
                        { return each.workspace_account == workspace_account; });
        if (has_waiter || this->needs_report(*workspace_account, now))
        {
            report.lines.push_back(this->make_line(state, *workspace_account, now));
        }
    }
    return report;
}

void share_holder::apply_grant(account& workspace_account, const share_grant& grant)
{
    workspace_account.limit = grant.limit;
    workspace_account.scarce = grant.scarce;
    workspace_account.acknowledged = workspace_account.sent;
    if (grant.granted > workspace_account.granted)
    {
        workspace_account.credit +=
            static_cast<std::int64_t>(grant.granted - workspace_account.granted);
        workspace_account.granted = grant.granted;
    }
}

void share_holder::handle_answer(const share_answer& answer)
{
    std::vector<std::pair<decision_callback, admission_decision>> decided;
    {
        const std::scoped_lock lock(this->mutex);
        decided = this->handle_answer_locked(answer);
    }
    for (const auto& [done, decision] : decided)
    {
        done(decision);
    }
}

std::vector<std::pair<share_holder::decision_callback, admission_decision>>
share_holder::handle_answer_locked(const share_answer& answer)
{
    shard_state& shard = this->shards[answer.shard];
    if (answer.sequence != shard.sequence)
    {
        return {}; // The answer is late. The next one contains its grants too.
    }
    shard.report_pending = false;
    if (answer.epoch > shard.epoch)
    {
        const bool holds_tokens =
            std::any_of(shard.accounts.begin(), shard.accounts.end(),
                        [](const auto& workspace_account)
                        { return workspace_account->counters().held() > 0; });
        if (holds_tokens)
        {
            // The new home must first learn of these tokens, through its census.
            return this->retry_later(shard);
        }
        shard.epoch = answer.epoch;
        return {};
    }
    if (answer.epoch < shard.epoch || answer.standing != share_standing::home)
    {
        return this->retry_later(shard);
    }
    std::map<std::string, duration> retry_delays;
    for (const share_grant& grant : answer.grants)
    {
        const auto found =
            std::find_if(shard.accounts.begin(), shard.accounts.end(),
                         [&](const auto& workspace_account)
                         { return workspace_account->workspace == grant.workspace; });
        if (found != shard.accounts.end())
        {
            this->apply_grant(**found, grant);
            retry_delays[grant.workspace] = grant.retry_after;
        }
    }
    return this->decide_waiters(shard, retry_delays, true);
}

/// Plans the next report soon, and refuses reservations that have waited too long for a
/// home.
std::vector<std::pair<share_holder::decision_callback, admission_decision>>
share_holder::retry_later(shard_state& shard)
{
    const time_point now = this->time->now();
    shard.next_report = now + this->options.retry_delay;
    // The others wait for the next report, even if the last one contained them.
    for (waiter& each : shard.waiters)
    {
        each.refusable = now - each.since >= this->options.max_home_wait;
    }
    std::map<std::string, duration> retry_delays;
    for (const auto& workspace_account : shard.accounts)
    {
        retry_delays[workspace_account->workspace] = this->options.max_home_wait;
    }
    return this->decide_waiters(shard, retry_delays, false);
}

/// Decides on waiting reservations, oldest first: one is admitted if the credit is
/// enough. Otherwise it is refused if it is refusable, and waits on if not.
std::vector<std::pair<share_holder::decision_callback, admission_decision>>
share_holder::decide_waiters(shard_state& shard,
                             const std::map<std::string, duration>& retry_delays,
                             bool level_known)
{
    std::vector<std::pair<decision_callback, admission_decision>> decided;
    std::deque<waiter> still_waiting;
    for (waiter& each : shard.waiters)
    {
        admission_decision decision;
        decision.level_known = level_known;
        decision.admitted = each.workspace_account->try_take(each.tokens);
        decision.limit = each.workspace_account->limit;
        decision.remaining = static_cast<double>(each.workspace_account->credit.load());
        if (!decision.admitted && !each.refusable)
        {
            still_waiting.push_back(std::move(each));
            continue;
        }
        const auto delay = retry_delays.find(each.workspace_account->workspace);
        decision.retry_after = delay == retry_delays.end() ? duration{0} : delay->second;
        decided.emplace_back(std::move(each.done), decision);
    }
    shard.waiters = std::move(still_waiting);
    return decided;
}

void share_holder::report_failed(std::uint32_t shard, duration retry_after)
{
    std::vector<std::pair<decision_callback, admission_decision>> decided;
    {
        const std::scoped_lock lock(this->mutex);
        shard_state& state = this->shards[shard];
        state.report_pending = false;
        state.sequence = 0;
        state.next_report = this->time->now() + this->options.retry_delay;
        std::map<std::string, duration> retry_delays;
        for (const auto& workspace_account : state.accounts)
        {
            retry_delays[workspace_account->workspace] = retry_after;
        }
        decided = this->decide_waiters(state, retry_delays, false);
    }
    for (const auto& [done, decision] : decided)
    {
        done(decision);
    }
}

share_census_answer share_holder::answer_census(const share_census& census)
{
    const std::scoped_lock lock(this->mutex);
    shard_state& shard = this->shards[census.shard];
    shard.epoch = std::max(shard.epoch, census.epoch);
    share_census_answer answer{
        this->vm, this->incarnation, census.shard, shard.epoch, {}};
    for (const auto& workspace_account : shard.accounts)
    {
        if (workspace_account->granted > 0)
        {
            answer.accounts.push_back(workspace_account->counters());
        }
    }
    return answer;
}

} // namespace agateseam

#include <agateseam/share_holder.hpp>

#include <algorithm>
#include <cmath>

#include <agateseam/share_directory.hpp>

namespace agateseam
{

namespace
{

/// Unused tokens are reported when the demand was last measured longer ago than this.
constexpr duration idle_report_interval = std::chrono::seconds(1);

/// Rounds up to whole tokens, within the limit for bursts.
std::int64_t to_whole_tokens(double tokens) noexcept
{
    return static_cast<std::int64_t>(
        std::ceil(std::clamp(tokens, 0.0, token_buckets::burst_limit)));
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
    account& owner = *found->second;
    decision.admitted = owner.open && owner.try_take(to_whole_tokens(tokens));
    decision.limit = owner.limit;
    decision.remaining = static_cast<double>(owner.credit.load());
    if (decision.admitted)
    {
        owner.demanded += static_cast<token_count>(to_whole_tokens(tokens));
        ++owner.requests;
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
    const auto owner = this->find(workspace);
    return owner ? static_cast<double>(owner->credit.load()) : 0;
}

void share_holder::reserve_async(std::string_view workspace, double tokens,
                                 decision_callback done)
{
    admission_decision decision = this->reserve(workspace, tokens);
    const auto owner = this->find(workspace);
    if (!decision.admitted && owner && owner->open)
    {
        owner->demanded += static_cast<token_count>(to_whole_tokens(tokens));
        ++owner->requests;
        const std::scoped_lock lock(this->mutex);
        shard_state& shard = this->shards[share_shard_of(workspace)];
        if (shard.waiters.size() < this->options.waiting_limit)
        {
            shard.waiters.push_back(
                {owner, to_whole_tokens(tokens), std::move(done), this->time->now()});
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
    for (auto& [name, owner] : *next)
    {
        owner->open = false;
    }
    for (const allowance_limits& each : limits)
    {
        auto& owner = (*next)[each.workspace];
        if (!owner)
        {
            owner = std::make_shared<account>();
            owner->workspace = each.workspace;
            owner->measured_at = this->time->now();
            this->shards[share_shard_of(each.workspace)].accounts.push_back(owner);
        }
        owner->limit = each.burst;
        owner->open = true;
    }
    this->accounts.publish(std::move(next));
}

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
            (interval_over && std::any_of(shard.accounts.begin(), shard.accounts.end(),
                                          [&](const auto& owner)
                                          { return this->needs_report(*owner, now); })))
        {
            due.push_back(number);
        }
    }
    return due;
}

share_report_line share_holder::make_line(shard_state& shard, account& owner,
                                          time_point now)
{
    owner.measure_demand(now);
    const std::int64_t target = owner.target_credit(this->options.demand_horizon);
    const std::int64_t unused = owner.credit;
    if (unused > 2 * target && owner.try_take(unused - target))
    {
        owner.returned += static_cast<token_count>(unused - target);
    }
    share_report_line line;
    line.account = owner.counters();
    owner.sent = line.account;
    for (waiter& each : shard.waiters)
    {
        if (each.owner.get() == &owner)
        {
            each.reported = true;
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
    for (const auto& owner : state.accounts)
    {
        const bool has_waiter =
            std::any_of(state.waiters.begin(), state.waiters.end(),
                        [&](const waiter& each) { return each.owner == owner; });
        if (has_waiter || this->needs_report(*owner, now))
        {
            report.lines.push_back(this->make_line(state, *owner, now));
        }
    }
    return report;
}

void share_holder::apply_grant(account& owner, const share_grant& grant)
{
    owner.limit = grant.limit;
    owner.scarce = grant.scarce;
    owner.acknowledged = owner.sent;
    if (grant.granted > owner.granted)
    {
        owner.credit += static_cast<std::int64_t>(grant.granted - owner.granted);
        owner.granted = grant.granted;
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
                        [](const auto& owner) { return owner->counters().held() > 0; });
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
        const auto found = std::find_if(shard.accounts.begin(), shard.accounts.end(),
                                        [&](const auto& owner)
                                        { return owner->workspace == grant.workspace; });
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
    for (waiter& each : shard.waiters)
    {
        each.reported = now - each.since >= this->options.home_wait_limit;
    }
    std::map<std::string, duration> retry_delays;
    for (const auto& owner : shard.accounts)
    {
        retry_delays[owner->workspace] = this->options.home_wait_limit;
    }
    return this->decide_waiters(shard, retry_delays, false);
}

/// Decides on waiting reservations, oldest first: one is admitted if the credit is
/// enough. Otherwise it is refused if the report contained it, and waits on if not.
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
        decision.admitted = each.owner->try_take(each.tokens);
        decision.limit = each.owner->limit;
        decision.remaining = static_cast<double>(each.owner->credit.load());
        if (!decision.admitted && !each.reported)
        {
            still_waiting.push_back(std::move(each));
            continue;
        }
        const auto delay = retry_delays.find(each.owner->workspace);
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
        for (const auto& owner : state.accounts)
        {
            retry_delays[owner->workspace] = retry_after;
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
    for (const auto& owner : shard.accounts)
    {
        if (owner->granted > 0)
        {
            answer.accounts.push_back(owner->counters());
        }
    }
    return answer;
}

} // namespace agateseam

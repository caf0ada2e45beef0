#include <agateseam/share_holder.hpp>

#include <algorithm>
#include <cmath>

#include <agateseam/share_directory.hpp>

namespace agateseam
{

namespace
{

constexpr duration idle_check = std::chrono::seconds(1);

std::int64_t whole(double tokens) noexcept
{
    return static_cast<std::int64_t>(
        std::ceil(std::clamp(tokens, 0.0, allowance::burst_limit)));
}

} // namespace

result<std::unique_ptr<share_holder>> share_holder::create(const clock_source& time,
                                                           std::string vm,
                                                           std::uint64_t incarnation,
                                                           const share_options& options)
{
    if (options.report_interval <= duration{0})
    {
        return fail(error_code::invalid, "share", "",
                    "the report interval is not above 0");
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
    decision.admitted = owner.open && owner.take(whole(tokens));
    decision.limit = owner.limit;
    decision.remaining = static_cast<double>(owner.credit.load());
    if (decision.admitted)
    {
        owner.demanded += static_cast<token_count>(whole(tokens));
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
        found->second->delivered += static_cast<token_count>(whole(tokens));
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

void share_holder::ask(std::string_view workspace, double tokens, callback done)
{
    admission_decision decision = this->reserve(workspace, tokens);
    const auto owner = this->find(workspace);
    if (!decision.admitted && owner && owner->open)
    {
        owner->demanded += static_cast<token_count>(whole(tokens));
        ++owner->requests;
        const std::scoped_lock hold(this->mutex);
        shard_state& shard = this->shards[share_shard(workspace)];
        if (shard.waiters.size() < this->options.waiting_limit)
        {
            shard.waiters.push_back(
                {owner, whole(tokens), std::move(done), this->time->now()});
            return;
        }
        decision.retry_after = this->options.report_interval;
        decision.known = false;
    }
    done(decision);
}

/// Accounts of workspaces that are gone stay, closed, until all is delivered and counted.
void share_holder::configure(std::span<const allowance_terms> terms)
{
    const std::scoped_lock hold(this->mutex);
    auto next = std::make_unique<table>();
    next->reserve(terms.size());
    if (const auto current = this->accounts.read())
    {
        *next = *current;
    }
    for (auto& [name, owner] : *next)
    {
        owner->open = false;
    }
    for (const allowance_terms& each : terms)
    {
        auto& owner = (*next)[each.workspace];
        if (!owner)
        {
            owner = std::make_shared<account>();
            owner->workspace = each.workspace;
            owner->demand_at = this->time->now();
            this->shards[share_shard(each.workspace)].accounts.push_back(owner);
        }
        owner->limit = each.burst;
        owner->open = true;
    }
    this->accounts.publish(std::move(next));
}

bool share_holder::needs_report(const account& one, time_point now) const noexcept
{
    const std::int64_t idle = one.credit;
    const std::int64_t target = one.target(this->options.horizon);
    const bool stale = idle > 0 && now - one.demand_at > idle_check;
    return !one.settled() || stale || idle > 2 * target || idle < target / 2;
}

std::vector<std::uint32_t> share_holder::due(time_point now) const
{
    const std::scoped_lock hold(this->mutex);
    std::vector<std::uint32_t> found;
    for (const auto& [number, shard] : this->shards)
    {
        if (shard.under_way || now < shard.not_before)
        {
            continue;
        }
        const bool late = now - shard.last >= this->options.report_interval;
        if (!shard.waiters.empty() ||
            (late &&
             std::any_of(shard.accounts.begin(), shard.accounts.end(),
                         [&](const auto& one) { return this->needs_report(*one, now); })))
        {
            found.push_back(number);
        }
    }
    return found;
}

share_line share_holder::make_line(shard_state& shard, account& one, time_point now)
{
    one.measure(now);
    const std::int64_t target = one.target(this->options.horizon);
    const std::int64_t idle = one.credit;
    if (idle > 2 * target && one.take(idle - target))
    {
        one.returned += static_cast<token_count>(idle - target);
    }
    share_line line;
    line.account = one.counters();
    one.sent = line.account;
    for (waiter& each : shard.waiters)
    {
        if (each.owner.get() == &one)
        {
            each.reported = true;
            line.waiting.push_back(static_cast<token_count>(each.tokens));
        }
    }
    line.wanted =
        idle < target / 2 ? static_cast<token_count>(target - idle) : token_count{0};
    return line;
}

share_report share_holder::report(std::uint32_t shard, time_point now)
{
    const std::scoped_lock hold(this->mutex);
    shard_state& state = this->shards[shard];
    state.under_way = true;
    state.last = now;
    state.sequence = ++this->sequence;
    share_report made{this->vm,    this->incarnation, shard,
                      state.epoch, state.sequence,    {}};
    for (const auto& one : state.accounts)
    {
        const bool waits =
            std::any_of(state.waiters.begin(), state.waiters.end(),
                        [&](const waiter& each) { return each.owner == one; });
        if (waits || this->needs_report(*one, now))
        {
            made.lines.push_back(this->make_line(state, *one, now));
        }
    }
    return made;
}

void share_holder::take(account& one, const share_grant& grant)
{
    one.limit = grant.limit;
    one.scarce = grant.scarce;
    one.acknowledged = one.sent;
    if (grant.granted > one.granted)
    {
        one.credit += static_cast<std::int64_t>(grant.granted - one.granted);
        one.granted = grant.granted;
    }
}

void share_holder::take(const share_answer& answer)
{
    std::vector<std::pair<callback, admission_decision>> served;
    {
        const std::scoped_lock hold(this->mutex);
        served = this->take_locked(answer);
    }
    for (const auto& [done, decision] : served)
    {
        done(decision);
    }
}

std::vector<std::pair<share_holder::callback, admission_decision>>
share_holder::take_locked(const share_answer& answer)
{
    shard_state& shard = this->shards[answer.shard];
    if (answer.sequence != shard.sequence)
    {
        return {}; // late; the next answer repeats its grants
    }
    shard.under_way = false;
    if (answer.epoch > shard.epoch)
    {
        const bool holds =
            std::any_of(shard.accounts.begin(), shard.accounts.end(),
                        [](const auto& one) { return one->counters().held() > 0; });
        if (holds)
        {
            return this->wait_on(shard); // until the home's census has come
        }
        shard.epoch = answer.epoch;
        return {};
    }
    if (answer.epoch < shard.epoch || answer.standing != share_standing::home)
    {
        return this->wait_on(shard);
    }
    std::map<std::string, duration> refused;
    for (const share_grant& grant : answer.grants)
    {
        const auto found = std::find_if(shard.accounts.begin(), shard.accounts.end(),
                                        [&](const auto& one)
                                        { return one->workspace == grant.workspace; });
        if (found != shard.accounts.end())
        {
            this->take(**found, grant);
            refused[grant.workspace] = grant.retry_after;
        }
    }
    return this->serve_waiters(shard, refused, true);
}

/// Asks again soon; refuses what has waited too long for a home.
std::vector<std::pair<share_holder::callback, admission_decision>>
share_holder::wait_on(shard_state& shard)
{
    const time_point now = this->time->now();
    shard.not_before = now + this->options.retry_pause;
    for (waiter& each : shard.waiters)
    {
        each.reported = now - each.since >= this->options.patience;
    }
    std::map<std::string, duration> refused;
    for (const auto& one : shard.accounts)
    {
        refused[one->workspace] = this->options.patience;
    }
    return this->serve_waiters(shard, refused, false);
}

/// Serves what the report named, oldest first: admitted where the credit is enough,
/// refused otherwise.
std::vector<std::pair<share_holder::callback, admission_decision>>
share_holder::serve_waiters(shard_state& shard,
                            const std::map<std::string, duration>& refused, bool known)
{
    std::vector<std::pair<callback, admission_decision>> served;
    std::deque<waiter> rest;
    for (waiter& each : shard.waiters)
    {
        admission_decision decision;
        decision.known = known;
        decision.admitted = each.owner->take(each.tokens);
        decision.limit = each.owner->limit;
        decision.remaining = static_cast<double>(each.owner->credit.load());
        if (!decision.admitted && !each.reported)
        {
            rest.push_back(std::move(each));
            continue;
        }
        const auto wait = refused.find(each.owner->workspace);
        decision.retry_after = wait == refused.end() ? duration{0} : wait->second;
        served.emplace_back(std::move(each.done), decision);
    }
    shard.waiters = std::move(rest);
    return served;
}

void share_holder::failed(std::uint32_t shard, duration retry_after)
{
    std::vector<std::pair<callback, admission_decision>> served;
    {
        const std::scoped_lock hold(this->mutex);
        shard_state& state = this->shards[shard];
        state.under_way = false;
        state.sequence = 0;
        state.not_before = this->time->now() + this->options.retry_pause;
        std::map<std::string, duration> refused;
        for (const auto& one : state.accounts)
        {
            refused[one->workspace] = retry_after;
        }
        served = this->serve_waiters(state, refused, false);
    }
    for (const auto& [done, decision] : served)
    {
        done(decision);
    }
}

share_census_answer share_holder::take(const share_census& census)
{
    const std::scoped_lock hold(this->mutex);
    shard_state& shard = this->shards[census.shard];
    shard.epoch = std::max(shard.epoch, census.epoch);
    share_census_answer answer{
        this->vm, this->incarnation, census.shard, shard.epoch, {}};
    for (const auto& one : shard.accounts)
    {
        if (one->granted > 0)
        {
            answer.accounts.push_back(one->counters());
        }
    }
    return answer;
}

} // namespace agateseam

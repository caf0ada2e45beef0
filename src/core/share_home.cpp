#include <agateseam/share_home.hpp>

#include <algorithm>
#include <cmath>

#include <agateseam/share_directory.hpp>

namespace agateseam
{

namespace
{

/// The part of the burst that is kept for reservations that wait.
constexpr double kept_burst_part = 0.5;

/// The greatest part of the level above the kept part that one grant gives for expected
/// demand.
constexpr double max_granted_part = 0.5;

/// While the level is below this part of the burst, holders return unused tokens.
constexpr double scarce_level_part = 0.25;

double to_double(token_count count) noexcept
{
    return static_cast<double>(count);
}

/// Raises a counter to the reported value if that is greater, and returns the increase.
token_count raise_to(token_count& counter, token_count reported) noexcept
{
    const token_count increase = reported > counter ? reported - counter : 0;
    counter += increase;
    return increase;
}

} // namespace

result<std::unique_ptr<share_home>> share_home::create(const clock_source& time)
{
    auto buckets = token_buckets::create(time);
    if (!buckets)
    {
        return tl::unexpected<error>(buckets.error());
    }
    return std::unique_ptr<share_home>(new share_home(std::move(*buckets)));
}

void share_home::configure(std::span<const allowance_limits> next)
{
    const std::scoped_lock lock(this->mutex);
    this->limits.clear();
    for (const allowance_limits& each : next)
    {
        this->limits.emplace(each.workspace, each);
    }
    this->configure_buckets();
}

/// Keeps a bucket for each workspace of the shards whose home this is. A new bucket
/// counts the tokens that holders already have as outstanding.
void share_home::configure_buckets()
{
    std::vector<allowance_limits> bucket_limits;
    std::set<std::string, std::less<>> names;
    for (const auto& [name, each] : this->limits)
    {
        const auto shard = this->shards.find(share_shard_of(name));
        if (shard != this->shards.end())
        {
            bucket_limits.push_back(each);
            bucket_limits.back().starts_full =
                shard->second.first && this->started_full.insert(name).second;
            names.insert(name);
        }
    }
    this->buckets->configure(bucket_limits);
    const auto previous = std::exchange(this->configured, std::move(names));
    this->add_outstanding_to_new_buckets(previous);
}

void share_home::add_outstanding_to_new_buckets(
    const std::set<std::string, std::less<>>& previous)
{
    for (const auto& [key, holder] : this->holders)
    {
        for (const auto& [name, account] : holder.accounts)
        {
            if (this->configured.contains(name) && !previous.contains(name))
            {
                this->buckets->add_outstanding(name, to_double(account.held()));
            }
        }
    }
}

void share_home::set_entries(std::span<const std::string> listed)
{
    const std::scoped_lock lock(this->mutex);
    const std::set<std::string> next(listed.begin(), listed.end());
    std::erase_if(this->holders,
                  [&](const auto& item)
                  {
                      const bool gone = !next.contains(item.first.second);
                      if (gone)
                      {
                          this->write_off(item.second);
                      }
                      return gone;
                  });
    for (auto& [number, shard] : this->shards)
    {
        std::erase_if(shard.without_census,
                      [&](const std::string& name) { return !next.contains(name); });
    }
    this->entries = next;
}

/// Counts all tokens of a holder that is gone as delivered, because they may have been.
void share_home::write_off(const holder_state& holder)
{
    for (const auto& [name, account] : holder.accounts)
    {
        this->buckets->deliver(name, to_double(account.held()));
    }
}

void share_home::begin(std::uint32_t shard, std::uint64_t epoch, bool first)
{
    const std::scoped_lock lock(this->mutex);
    const bool added = this->shards
                           .try_emplace(shard, shard_state{epoch, first,
                                                           first ? std::set<std::string>{}
                                                                 : this->entries})
                           .second;
    if (added)
    {
        this->configure_buckets();
    }
}

void share_home::end(std::uint32_t shard)
{
    const std::scoped_lock lock(this->mutex);
    this->shards.erase(shard);
    std::erase_if(this->holders,
                  [&](const auto& item) { return item.first.first == shard; });
    this->configure_buckets();
}

std::vector<std::string> share_home::entries_without_census(std::uint32_t shard) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
    {
        return {};
    }
    return {found->second.without_census.begin(), found->second.without_census.end()};
}

std::vector<share_census> share_home::open_censuses() const
{
    const std::scoped_lock lock(this->mutex);
    std::vector<share_census> censuses;
    for (const auto& [number, shard] : this->shards)
    {
        if (!shard.without_census.empty())
        {
            censuses.push_back({number, shard.epoch, ""});
        }
    }
    return censuses;
}

void share_home::handle_census_answer(const share_census_answer& answer)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->shards.find(answer.shard);
    const bool awaited = found != this->shards.end() &&
                         found->second.epoch == answer.epoch &&
                         found->second.without_census.contains(answer.holder);
    if (!awaited)
    {
        return;
    }
    found->second.without_census.erase(answer.holder);
    holder_state& holder = this->holders[{answer.shard, answer.holder}];
    this->write_off(holder);
    holder = {answer.incarnation, 0, {}};
    for (const share_account& account : answer.accounts)
    {
        holder.accounts.emplace(account.workspace, account);
        this->buckets->add_outstanding(account.workspace, to_double(account.held()));
    }
}

/// Returns a holder's state, or nothing for an outdated incarnation. The first report of
/// a newer incarnation replaces the state of the older one, which is gone.
share_home::holder_state* share_home::current_holder(std::uint32_t shard,
                                                     const std::string& vm,
                                                     std::uint64_t incarnation)
{
    holder_state& holder = this->holders[{shard, vm}];
    if (holder.incarnation > incarnation)
    {
        return nullptr;
    }
    if (holder.incarnation < incarnation)
    {
        this->write_off(holder);
        holder = {incarnation, 0, {}};
    }
    return &holder;
}

share_answer share_home::handle_report(const share_report& report)
{
    const std::scoped_lock lock(this->mutex);
    share_answer answer;
    answer.shard = report.shard;
    answer.sequence = report.sequence;
    const auto found = this->shards.find(report.shard);
    if (found == this->shards.end())
    {
        return answer;
    }
    const shard_state& shard = found->second;
    answer.epoch = shard.epoch;
    answer.standing =
        shard.without_census.empty() ? share_standing::home : share_standing::taking_over;
    if (report.epoch != shard.epoch || shard.without_census.contains(report.holder) ||
        !this->entries.contains(report.holder))
    {
        return answer;
    }
    holder_state* holder =
        this->current_holder(report.shard, report.holder, report.incarnation);
    if (holder == nullptr)
    {
        return answer;
    }
    const bool is_new = report.sequence > holder->sequence;
    holder->sequence = std::max(holder->sequence, report.sequence);
    for (const share_report_line& line : report.lines)
    {
        this->apply_account(*holder, line.account);
        answer.grants.push_back(
            this->grant(holder->accounts[line.account.workspace], line,
                        is_new && answer.standing == share_standing::home));
    }
    return answer;
}

/// Counts what a holder has delivered and returned since its last report.
void share_home::apply_account(holder_state& holder, const share_account& reported)
{
    const auto [position, added] =
        holder.accounts.try_emplace(reported.workspace, reported);
    share_account& account = position->second;
    if (added)
    {
        this->buckets->add_outstanding(reported.workspace, to_double(reported.held()));
        return;
    }
    const token_count delivered = raise_to(account.delivered, reported.delivered);
    this->buckets->deliver(reported.workspace, to_double(delivered));
    const token_count returned = raise_to(account.returned, reported.returned);
    this->buckets->release(reported.workspace, to_double(returned));
}

share_grant share_home::grant(share_account& account, const share_report_line& line,
                              bool may_grant)
{
    share_grant answer;
    answer.workspace = account.workspace;
    admission_decision decision = this->buckets->reserve(account.workspace, 0);
    answer.limit = decision.limit;
    if (may_grant)
    {
        for (const token_count each : line.waiting)
        {
            decision = this->buckets->reserve(account.workspace, to_double(each));
            account.granted += decision.admitted ? each : 0;
            if (!decision.admitted && answer.retry_after == duration{0})
            {
                answer.retry_after = decision.retry_after;
            }
        }
        const double spare =
            this->buckets->level(account.workspace) - kept_burst_part * answer.limit;
        const double extra =
            std::floor(std::min(to_double(line.wanted), spare * max_granted_part));
        if (extra >= 1 && this->buckets->reserve(account.workspace, extra).admitted)
        {
            account.granted += static_cast<token_count>(extra);
        }
    }
    answer.granted = account.granted;
    answer.level = this->buckets->level(account.workspace);
    answer.scarce = answer.level < scarce_level_part * answer.limit;
    return answer;
}

double share_home::level(std::string_view workspace) const
{
    return this->buckets->level(workspace);
}

} // namespace agateseam

#include <agateseam/share_home.hpp>

#include <algorithm>
#include <cmath>

#include <agateseam/share_directory.hpp>

namespace agateseam
{

namespace
{

constexpr double kept_share = 0.5;    ///< Of the burst, for reservations that wait.
constexpr double wanted_share = 0.5;  ///< Of the rest, the most of one grant.
constexpr double scarce_share = 0.25; ///< Of the burst; below it idle tokens go back.

double tokens(token_count count) noexcept
{
    return static_cast<double>(count);
}

/// Raises a counter; returns by how much.
token_count raise(token_count& counter, token_count reported) noexcept
{
    const token_count more = reported > counter ? reported - counter : 0;
    counter += more;
    return more;
}

} // namespace

result<std::unique_ptr<share_home>> share_home::create(const clock_source& time)
{
    auto buckets = allowance::create(time);
    if (!buckets)
    {
        return tl::unexpected<error>(buckets.error());
    }
    return std::unique_ptr<share_home>(new share_home(std::move(*buckets)));
}

void share_home::configure(std::span<const allowance_terms> next)
{
    const std::scoped_lock hold(this->mutex);
    this->terms.clear();
    for (const allowance_terms& each : next)
    {
        this->terms.emplace(each.workspace, each);
    }
    this->configure_buckets();
}

/// Keeps a bucket for each workspace of this home's shards; a new bucket takes over what
/// holders already have.
void share_home::configure_buckets()
{
    std::vector<allowance_terms> wanted;
    std::set<std::string, std::less<>> names;
    for (const auto& [name, each] : this->terms)
    {
        const auto shard = this->shards.find(share_shard(name));
        if (shard != this->shards.end())
        {
            wanted.push_back(each);
            wanted.back().full = shard->second.first && this->seen.insert(name).second;
            names.insert(name);
        }
    }
    this->buckets->configure(wanted);
    const auto known = std::exchange(this->configured, std::move(names));
    this->adopt_missing(known);
}

void share_home::adopt_missing(const std::set<std::string, std::less<>>& known)
{
    for (const auto& [key, holder] : this->holders)
    {
        for (const auto& [name, account] : holder.accounts)
        {
            if (this->configured.contains(name) && !known.contains(name))
            {
                this->buckets->adopt(name, tokens(account.held()));
            }
        }
    }
}

void share_home::set_entries(std::span<const std::string> listed)
{
    const std::scoped_lock hold(this->mutex);
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
        std::erase_if(shard.missing,
                      [&](const std::string& name) { return !next.contains(name); });
    }
    this->entries = next;
}

/// Counts what a holder that is gone may have delivered.
void share_home::write_off(const holder_state& holder)
{
    for (const auto& [name, account] : holder.accounts)
    {
        this->buckets->deliver(name, tokens(account.held()));
    }
}

void share_home::begin(std::uint32_t shard, std::uint64_t epoch, bool first)
{
    const std::scoped_lock hold(this->mutex);
    const bool begun = this->shards
                           .try_emplace(shard, shard_state{epoch, first,
                                                           first ? std::set<std::string>{}
                                                                 : this->entries})
                           .second;
    if (begun)
    {
        this->configure_buckets();
    }
}

void share_home::end(std::uint32_t shard)
{
    const std::scoped_lock hold(this->mutex);
    this->shards.erase(shard);
    std::erase_if(this->holders,
                  [&](const auto& item) { return item.first.first == shard; });
    this->configure_buckets();
}

std::vector<std::string> share_home::census_due(std::uint32_t shard) const
{
    const std::scoped_lock hold(this->mutex);
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
    {
        return {};
    }
    return {found->second.missing.begin(), found->second.missing.end()};
}

std::vector<share_census> share_home::open_censuses() const
{
    const std::scoped_lock hold(this->mutex);
    std::vector<share_census> open;
    for (const auto& [number, shard] : this->shards)
    {
        if (!shard.missing.empty())
        {
            open.push_back({number, shard.epoch, ""});
        }
    }
    return open;
}

void share_home::take(const share_census_answer& answer)
{
    const std::scoped_lock hold(this->mutex);
    const auto found = this->shards.find(answer.shard);
    const bool awaited = found != this->shards.end() &&
                         found->second.epoch == answer.epoch &&
                         found->second.missing.contains(answer.holder);
    if (!awaited)
    {
        return;
    }
    found->second.missing.erase(answer.holder);
    holder_state& holder = this->holders[{answer.shard, answer.holder}];
    this->write_off(holder);
    holder = {answer.incarnation, 0, {}};
    for (const share_account& account : answer.accounts)
    {
        holder.accounts.emplace(account.workspace, account);
        this->buckets->adopt(account.workspace, tokens(account.held()));
    }
}

/// Finds a holder's state; a newer incarnation replaces an older one, which is gone.
share_home::holder_state* share_home::holder_of(std::uint32_t shard,
                                                const std::string& name,
                                                std::uint64_t incarnation)
{
    holder_state& holder = this->holders[{shard, name}];
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

share_answer share_home::take(const share_report& report)
{
    const std::scoped_lock hold(this->mutex);
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
        shard.missing.empty() ? share_standing::home : share_standing::taking_over;
    if (report.epoch != shard.epoch || shard.missing.contains(report.holder) ||
        !this->entries.contains(report.holder))
    {
        return answer;
    }
    holder_state* holder =
        this->holder_of(report.shard, report.holder, report.incarnation);
    if (holder == nullptr)
    {
        return answer;
    }
    const bool fresh = report.sequence > holder->sequence;
    holder->sequence = std::max(holder->sequence, report.sequence);
    for (const share_line& line : report.lines)
    {
        this->settle(*holder, line.account);
        answer.grants.push_back(
            this->grant(holder->accounts[line.account.workspace], line,
                        fresh && answer.standing == share_standing::home));
    }
    return answer;
}

void share_home::settle(holder_state& holder, const share_account& reported)
{
    const auto [at, added] = holder.accounts.try_emplace(reported.workspace, reported);
    share_account& known = at->second;
    if (added)
    {
        this->buckets->adopt(reported.workspace, tokens(reported.held()));
        return;
    }
    const token_count delivered = raise(known.delivered, reported.delivered);
    this->buckets->deliver(reported.workspace, tokens(delivered));
    const token_count returned = raise(known.returned, reported.returned);
    this->buckets->release(reported.workspace, tokens(returned));
}

share_grant share_home::grant(share_account& account, const share_line& line, bool fresh)
{
    share_grant given;
    given.workspace = account.workspace;
    admission_decision decision = this->buckets->reserve(account.workspace, 0);
    given.limit = decision.limit;
    if (fresh)
    {
        for (const token_count each : line.waiting)
        {
            decision = this->buckets->reserve(account.workspace, tokens(each));
            account.granted += decision.admitted ? each : 0;
            if (!decision.admitted && given.retry_after == duration{0})
            {
                given.retry_after = decision.retry_after;
            }
        }
        const double spare =
            this->buckets->level(account.workspace) - kept_share * given.limit;
        const double extra =
            std::floor(std::min(tokens(line.wanted), spare * wanted_share));
        if (extra >= 1 && this->buckets->reserve(account.workspace, extra).admitted)
        {
            account.granted += static_cast<token_count>(extra);
        }
    }
    given.granted = account.granted;
    given.level = this->buckets->level(account.workspace);
    given.scarce = given.level < scarce_share * given.limit;
    return given;
}

double share_home::level(std::string_view workspace) const
{
    return this->buckets->level(workspace);
}

} // namespace agateseam

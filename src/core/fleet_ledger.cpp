#include <agateseam/fleet_ledger.hpp>

#include <algorithm>

#include <xxhash.h>

namespace agateseam
{

namespace
{

double seconds_of(std::chrono::milliseconds span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

fleet_ledger::fleet_ledger(std::string chosen_name, std::uint64_t chosen_incarnation,
                           ledger_terms chosen, time_point now)
    : name(std::move(chosen_name))
    , incarnation(chosen_incarnation)
    , terms(chosen)
    , started(now)
{
}

duration fleet_ledger::digest_every() const
{
    return std::max<duration>(usual_digest, digest_for_each * this->registered);
}

duration fleet_ledger::heard_for() const
{
    // As many digests as in a small fleet: three and a half.
    return this->digest_every() * heard_within.count() / usual_digest.count();
}

void fleet_ledger::put_bucket(bucket_map& buckets, const std::string& key,
                              const bucket_terms& chosen, double first_level,
                              time_point now)
{
    const auto found = buckets.find(key);
    if (found != buckets.end())
    {
        found->second.set_terms(chosen, now);
        return;
    }
    buckets.emplace(key, fleet_bucket(chosen, first_level, now));
}

void fleet_ledger::set_routing(const routing_table& table, time_point now)
{
    const double entries = std::max<std::uint32_t>(1, this->view(now).entries);
    for (const workspace_limits& workspace : table.workspaces())
    {
        if (workspace.tokens_per_second <= 0)
        {
            this->allowances.erase(workspace.name);
            continue;
        }
        const double in_window =
            workspace.tokens_per_second * seconds_of(this->terms.allowance_window) +
            workspace.burst_tokens;
        const double reserve = this->terms.allowance_reserve;
        const double beyond = this->terms.allowance_overage * in_window + reserve;
        this->put_bucket(
            this->allowances, workspace.name,
            {workspace.tokens_per_second, workspace.burst_tokens + burst_part * beyond},
            reserve * first_part / entries, now);
    }
    const double repeats_kept = this->terms.repeat_extra * repeat_part;
    const double first_repeats = this->terms.repeat_extra * first_repeat_part / entries;
    for (const service_properties& service : table.services())
    {
        this->put_bucket(
            this->repeats, service.name,
            {repeats_kept / seconds_of(this->terms.repeat_window), repeats_kept},
            first_repeats, now);
    }
}

bool fleet_ledger::take_tokens(const std::string& workspace, double tokens,
                               time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end() ||
           found->second.take(tokens, this->view(now), now);
}

void fleet_ledger::give_back_tokens(const std::string& workspace, double tokens,
                                    time_point now)
{
    const auto found = this->allowances.find(workspace);
    if (found != this->allowances.end())
    {
        found->second.give_back(tokens, now);
    }
}

duration fleet_ledger::wait_for_tokens(const std::string& workspace, double tokens,
                                       time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end()
               ? duration::zero()
               : found->second.wait_for(tokens, this->view(now), now);
}

double fleet_ledger::tokens_left(const std::string& workspace, time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end() ? 0 : found->second.level(now);
}

void fleet_ledger::earn_repeat(const std::string& service, time_point now)
{
    const auto found = this->repeats.find(service);
    if (found != this->repeats.end())
    {
        found->second.give_back(this->terms.repeat_ratio * repeat_part, now);
    }
}

bool fleet_ledger::take_repeat(const std::string& service, time_point now)
{
    const auto found = this->repeats.find(service);
    // An empty bucket is also a full one if it holds nothing.
    return this->terms.repeat_extra > 0 && found != this->repeats.end() &&
           found->second.take(1, this->view(now), now);
}

void fleet_ledger::charge(
    bucket_map& buckets, const std::unordered_map<std::string, bucket_report>& now_said,
    const std::unordered_map<std::string, bucket_report>* said_before, bool adopt,
    time_point now)
{
    for (const auto& [key, report] : now_said)
    {
        const auto found = buckets.find(key);
        if (found == buckets.end())
        {
            continue;
        }
        if (adopt)
        {
            found->second.adopt(report.level, now);
            continue;
        }
        if (said_before == nullptr)
        {
            continue;
        }
        const auto before = said_before->find(key);
        const double base = before == said_before->end() ? 0 : before->second.spent;
        found->second.charge(report.spent - base, now);
    }
}

bool fleet_ledger::apply(const entry_digest& digest, time_point now)
{
    if (digest.entry == this->name)
    {
        return false;
    }
    peer& known = this->peers[digest.entry];
    const bool same = known.incarnation == digest.incarnation;
    if (same && digest.sequence <= known.sequence)
    {
        return false;
    }
    const bool was_heard = same && now - known.heard < this->heard_for();
    const bool peer_is_young = digest.age_ms < static_cast<std::uint64_t>(young.count());
    const bool we_are_young = now - this->started < young;
    static const std::unordered_map<std::string, bucket_report> nothing;
    // What an entry spent while it was out of reach was its own part: not charged again.
    const auto* before = was_heard                ? &known.last.allowances
                         : !same && peer_is_young ? &nothing
                                                  : nullptr;
    const auto* repeats_before = was_heard                ? &known.last.repeats
                                 : !same && peer_is_young ? &nothing
                                                          : nullptr;
    const bool adopt = !same && we_are_young && !peer_is_young;
    this->charge(this->allowances, digest.allowances, before, adopt, now);
    this->charge(this->repeats, digest.repeats, repeats_before, adopt, now);
    known.incarnation = digest.incarnation;
    known.sequence = digest.sequence;
    known.heard = now;
    known.last = digest.news && same ? merged(known.last, digest) : digest;
    return true;
}

entry_digest fleet_ledger::merged(const entry_digest& before, const entry_digest& digest)
{
    entry_digest whole = digest;
    whole.news = false;
    // `insert` keeps what the newer digest says.
    whole.allowances.insert(before.allowances.begin(), before.allowances.end());
    whole.repeats.insert(before.repeats.begin(), before.repeats.end());
    whole.claims.insert(before.claims.begin(), before.claims.end());
    whole.orphans.insert(before.orphans.begin(), before.orphans.end());
    return whole;
}

entry_digest fleet_ledger::digest(time_point now)
{
    entry_digest said;
    said.entry = this->name;
    said.incarnation = this->incarnation;
    said.sequence = ++this->sequence;
    said.age_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->started)
            .count());
    said.entries = this->view(now).entries;
    for (auto& [key, bucket] : this->allowances)
    {
        said.allowances[key] = {bucket.spent(), bucket.level(now)};
    }
    for (auto& [key, bucket] : this->repeats)
    {
        said.repeats[key] = {bucket.spent(), bucket.level(now)};
    }
    return said;
}

std::unordered_map<std::string, decode_claim>
fleet_ledger::others_claims(time_point now) const
{
    std::unordered_map<std::string, decode_claim> sum;
    for (const auto& [key, known] : this->peers)
    {
        if (now - known.heard >= this->heard_for())
        {
            continue;
        }
        for (const auto& [server, claim] : known.last.claims)
        {
            sum[server].add(claim);
        }
    }
    const fleet_view seen = this->view(now);
    if (seen.heard > 1 && seen.heard < seen.entries)
    {
        // An entry out of reach places streams like the others do.
        const double factor =
            static_cast<double>(seen.entries - 1) / static_cast<double>(seen.heard - 1);
        for (auto& [server, claim] : sum)
        {
            claim.scale(factor);
        }
    }
    return sum;
}

std::unordered_map<std::string, std::int64_t>
fleet_ledger::others_orphans(time_point now) const
{
    std::unordered_map<std::string, std::int64_t> found;
    for (const auto& [key, known] : this->peers)
    {
        if (now - known.heard >= this->heard_for())
        {
            continue;
        }
        for (const auto& [server, tokens] : known.last.orphans)
        {
            std::int64_t& most = found[server];
            most = std::max(most, tokens);
        }
    }
    return found;
}

std::uint32_t fleet_ledger::others_waiting(time_point now) const
{
    std::uint32_t count = 0;
    for (const auto& [key, known] : this->peers)
    {
        const bool waits =
            known.last.waiting > 0 && now - known.heard < this->heard_for();
        count += waits ? 1 : 0;
    }
    return count;
}

bool fleet_ledger::asks(std::string_view server, time_point now) const
{
    // Rendezvous hashing: entries that hear each other agree without a word.
    const auto weight = [server](std::string_view entry)
    {
        const std::string both = std::string(entry) + "/" + std::string(server);
        return XXH3_64bits(both.data(), both.size());
    };
    const auto own = weight(this->name);
    return std::none_of(this->peers.begin(), this->peers.end(),
                        [&](const auto& item) {
                            return now - item.second.heard < this->heard_for() &&
                                   weight(item.first) > own;
                        });
}

fleet_view fleet_ledger::view(time_point now) const
{
    std::uint32_t heard = 1;
    std::uint32_t told = 1;
    for (const auto& [key, known] : this->peers)
    {
        if (now - known.heard < this->heard_for())
        {
            ++heard;
            told = std::max(told, known.last.entries);
        }
    }
    // Without the platform's list the peers' word counts.
    const std::uint32_t entries = this->registered > 1 ? this->registered : told;
    return {std::max(entries, heard), heard};
}

std::map<std::string, time_point> fleet_ledger::heard_at() const
{
    std::map<std::string, time_point> heard;
    for (const auto& [key, known] : this->peers)
    {
        heard[key] = known.heard;
    }
    return heard;
}

std::uint64_t fleet_ledger::newest_configuration(time_point now) const
{
    std::uint64_t newest = 0;
    for (const auto& [key, known] : this->peers)
    {
        if (now - known.heard < this->heard_for())
        {
            newest = std::max(newest, known.last.configuration);
        }
    }
    return newest;
}

} // namespace agateseam

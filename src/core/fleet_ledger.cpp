#include <agateseam/fleet_ledger.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace agateseam
{

namespace
{

double to_seconds(std::chrono::milliseconds span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

fleet_ledger::fleet_ledger(std::string entry_name, std::uint64_t entry_incarnation,
                           fleet_ledger_options initial_options, time_point now)
    : name(std::move(entry_name))
    , incarnation(entry_incarnation)
    , options(initial_options)
    , started_at(now)
{
}

duration fleet_ledger::digest_interval() const
{
    return std::max<duration>(base_digest_interval,
                              digest_interval_per_entry * this->registered_entries);
}

duration fleet_ledger::peer_timeout() const
{
    // Each part of a divided fleet spends as the whole until then, and what that may come
    // to doesn't grow with the fleet. One lost digest is still no silence.
    return std::max<duration>(base_peer_timeout, this->digest_interval() * 2);
}

void fleet_ledger::set_bucket(bucket_map& buckets, name_key key,
                              const bucket_limits& limits, double initial_level,
                              time_point now)
{
    const auto found = buckets.find(key);
    if (found != buckets.end())
    {
        found->second.set_limits(limits, now);
        return;
    }
    buckets.emplace(key, fleet_bucket(limits, initial_level, now));
}

void fleet_ledger::set_routing(const routing_table& table, time_point now)
{
    const double entries = std::max<std::uint32_t>(1, this->view(now).known_entries);
    for (const workspace_limits& workspace : table.workspaces())
    {
        if (workspace.tokens_per_second <= 0)
        {
            this->allowances.erase(workspace.name);
            continue;
        }
        const double window_tokens =
            workspace.tokens_per_second * to_seconds(this->options.allowance_window) +
            workspace.burst_tokens;
        const double reserve_tokens = this->options.allowance_reserve_tokens;
        const double excess =
            this->options.allowance_overage * window_tokens + reserve_tokens;
        this->set_bucket(this->allowances, workspace.name,
                         {workspace.tokens_per_second,
                          workspace.burst_tokens + burst_part_of_excess * excess},
                         reserve_tokens * initial_part_of_reserve / entries, now);
    }
    const double usable_repeats = this->options.repeat_extra * usable_part_of_repeats;
    const double initial_repeats =
        this->options.repeat_extra * initial_part_of_repeats / entries;
    for (const service_properties& service : table.services())
    {
        this->set_bucket(
            this->repeats, service.name,
            {usable_repeats / to_seconds(this->options.repeat_window), usable_repeats},
            initial_repeats, now);
    }
}

bool fleet_ledger::try_take_tokens(const std::string& workspace, double tokens,
                                   time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end() ||
           found->second.try_take(tokens, this->view(now), now);
}

void fleet_ledger::refund_tokens(const std::string& workspace, double tokens,
                                 time_point now)
{
    const auto found = this->allowances.find(workspace);
    if (found != this->allowances.end())
    {
        found->second.credit(tokens, now);
    }
}

duration fleet_ledger::time_until_tokens(const std::string& workspace, double tokens,
                                         time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end()
               ? duration::zero()
               : found->second.time_until_available(tokens, this->view(now), now);
}

double fleet_ledger::remaining_tokens(const std::string& workspace, time_point now)
{
    const auto found = this->allowances.find(workspace);
    return found == this->allowances.end() ? 0 : found->second.level(now);
}

void fleet_ledger::add_repeat_credit(const std::string& service, time_point now)
{
    const auto found = this->repeats.find(service);
    if (found != this->repeats.end())
    {
        found->second.credit(this->options.repeat_ratio * usable_part_of_repeats, now);
    }
}

void fleet_ledger::return_repeat(const std::string& service, time_point now)
{
    const auto found = this->repeats.find(service);
    if (found != this->repeats.end())
    {
        found->second.credit(1, now);
    }
}

bool fleet_ledger::try_take_repeat(const std::string& service, time_point now)
{
    const auto found = this->repeats.find(service);
    // Without an extra the capacity is 0, and an empty bucket would count as full.
    return this->options.repeat_extra > 0 && found != this->repeats.end() &&
           found->second.try_take(1, this->view(now), now);
}

void fleet_ledger::apply_reports(bucket_map& buckets, peer& other,
                                 keyed_map<bucket_report>& known_reports,
                                 const keyed_map<bucket_report>& reports, time_point now)
{
    for (const auto& [key, report] : reports)
    {
        const auto [known, is_first] = known_reports.try_emplace(key, report);
        const auto bucket = buckets.find(key);
        if (bucket != buckets.end())
        {
            const double unseen = report.spent - (is_first ? 0.0 : known->second.spent);
            if (other.has_unseen_spending && (!is_first || other.has_all_buckets))
            {
                bucket->second.charge_unseen_spending(unseen, now);
            }
            else if (!is_first)
            {
                bucket->second.charge_peer_spending(report.spent - known->second.spent,
                                                    now);
            }
            else if (other.has_all_buckets)
            {
                bucket->second.charge_peer_spending(report.spent, now);
            }
            else if (other.raises_levels)
            {
                bucket->second.raise_to(report.level, now);
            }
        }
        known->second = report;
    }
}

bool fleet_ledger::apply(const entry_digest& digest, time_point now)
{
    if (digest.entry == this->name)
    {
        return false;
    }
    peer& other = this->peers[digest.entry];
    const bool same_incarnation = other.incarnation == digest.incarnation;
    if (same_incarnation && digest.sequence <= other.sequence)
    {
        return false;
    }
    if (!same_incarnation || now - other.last_heard >= this->peer_timeout())
    {
        const bool peer_is_new =
            digest.age_ms < static_cast<std::uint64_t>(new_entry_age.count());
        const bool this_entry_is_new = now - this->started_at < new_entry_age;
        this->remove_claims(other);
        const entry_digest known = std::exchange(other.state, {});
        if (same_incarnation)
        {
            other.state.allowances = known.allowances;
            other.state.repeats = known.repeats;
        }
        other.has_unseen_spending = same_incarnation;
        // A new process has spent nothing before.
        other.has_all_buckets = same_incarnation ? other.has_all_buckets : peer_is_new;
        other.raises_levels = !same_incarnation && this_entry_is_new && !peer_is_new;
        ++this->first_heard_entries;
    }
    apply_reports(this->allowances, other, other.state.allowances, digest.allowances,
                  now);
    apply_reports(this->repeats, other, other.state.repeats, digest.repeats, now);
    if (digest.scope == digest_scope::complete)
    {
        other.has_all_buckets = true;
        other.raises_levels = false;
        other.has_unseen_spending = false;
    }
    other.incarnation = digest.incarnation;
    other.sequence = digest.sequence;
    other.last_heard = now;
    other.state.configuration_version = digest.configuration_version;
    other.state.known_entries = digest.known_entries;
    other.state.waiting_requests = digest.waiting_requests;
    other.state.next_rank = digest.next_rank;
    other.state.leaving = digest.leaving;
    other.state.reaches_store = digest.reaches_store;
    this->apply_claims(other, digest);
    return true;
}

void fleet_ledger::apply_claims(peer& other, const entry_digest& digest)
{
    other.is_counted = true;
    if (digest.scope != digest_scope::delta)
    {
        other.state.orphan_tokens = digest.orphan_tokens;
        const keyed_map<decode_claim> known = other.state.claims;
        for (const auto& [server, claim] : known)
        {
            if (digest.claims.find(server) == digest.claims.end())
            {
                this->set_claim(other, server, {});
            }
        }
    }
    for (const auto& [server, claim] : digest.claims)
    {
        this->set_claim(other, server, claim);
    }
}

void fleet_ledger::set_claim(peer& other, name_key server, const decode_claim& claim)
{
    decode_claim& known = other.state.claims[server];
    decode_claim& sum = this->claim_sums[server];
    sum.subtract(known);
    sum.add(claim);
    known = claim;
    if (sum.requests == 0)
    {
        this->claim_sums.erase(server);
    }
    if (claim.requests == 0)
    {
        other.state.claims.erase(server);
    }
    this->changed_claims.push_back(server);
}

void fleet_ledger::remove_claims(peer& other)
{
    if (other.is_counted)
    {
        const keyed_map<decode_claim> known = other.state.claims;
        for (const auto& [server, claim] : known)
        {
            this->set_claim(other, server, {});
        }
        other.is_counted = false;
    }
}

void fleet_ledger::expire_claims(time_point now)
{
    for (auto& [entry, other] : this->peers)
    {
        if (now - other.last_heard >= this->peer_timeout())
        {
            this->remove_claims(other);
        }
    }
}

double fleet_ledger::unreachable_factor(time_point now) const
{
    const fleet_view current = this->view(now);
    if (current.reachable_entries <= 1 ||
        current.reachable_entries >= current.known_entries)
    {
        return 1;
    }
    // Unreachable entries are assumed to place as many streams as the reachable ones.
    return static_cast<double>(current.known_entries - 1) /
           static_cast<double>(current.reachable_entries - 1);
}

entry_digest fleet_ledger::make_digest(time_point now)
{
    entry_digest digest;
    digest.entry = this->name;
    digest.incarnation = this->incarnation;
    digest.sequence = ++this->sequence;
    digest.age_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->started_at)
            .count());
    const fleet_view current = this->view(now);
    digest.known_entries = current.known_entries;
    // Also the buckets that nobody takes from here must give up what belongs to the
    // unreachable entries, before these are back.
    for (auto& [key, bucket] : this->allowances)
    {
        bucket.limit_to(current, now);
        digest.allowances[key] = {bucket.net_spent(), bucket.level(now)};
    }
    for (auto& [key, bucket] : this->repeats)
    {
        bucket.limit_to(current, now);
        digest.repeats[key] = {bucket.net_spent(), bucket.level(now)};
    }
    return digest;
}

keyed_map<decode_claim> fleet_ledger::peer_claims(time_point now)
{
    this->expire_claims(now);
    keyed_map<decode_claim> scaled = this->claim_sums;
    const double factor = this->unreachable_factor(now);
    for (auto& [server, claim] : scaled)
    {
        claim.scale(factor);
    }
    return scaled;
}

std::optional<std::vector<name_key>> fleet_ledger::take_claim_changes(time_point now)
{
    this->expire_claims(now);
    std::vector<name_key> changed = std::exchange(this->changed_claims, {});
    const double factor = this->unreachable_factor(now);
    if (std::exchange(this->reported_factor, factor) != factor)
    {
        return std::nullopt;
    }
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return changed;
}

decode_claim fleet_ledger::peer_claim(name_key server) const
{
    const auto found = this->claim_sums.find(server);
    decode_claim claim = found == this->claim_sums.end() ? decode_claim{} : found->second;
    claim.scale(this->reported_factor);
    return claim;
}

keyed_map<std::int64_t> fleet_ledger::peer_orphan_tokens(time_point now) const
{
    keyed_map<std::int64_t> found;
    for (const auto& [entry, other] : this->peers)
    {
        if (now - other.last_heard >= this->peer_timeout())
        {
            continue;
        }
        for (const auto& [server, tokens] : other.state.orphan_tokens)
        {
            std::int64_t& largest = found[server];
            largest = std::max(largest, tokens);
        }
    }
    return found;
}

fleet_queue fleet_ledger::peers_waiting(time_point now) const
{
    fleet_queue waiting;
    for (const auto& [entry, other] : this->peers)
    {
        if (now - other.last_heard < this->peer_timeout())
        {
            waiting.add(other.state.next_rank, other.state.waiting_requests);
        }
    }
    return waiting;
}

bool fleet_ledger::polls_server(std::string_view server, time_point now) const
{
    // Rendezvous hashing: entries that reach each other agree without communication.
    const auto hash_weight = [server](std::string_view entry)
    {
        const std::string input = std::string(entry) + "/" + std::string(server);
        return XXH3_64bits(input.data(), input.size());
    };
    const auto own_weight = hash_weight(this->name);
    return std::none_of(this->peers.begin(), this->peers.end(),
                        [&](const auto& item)
                        {
                            return now - item.second.last_heard < this->peer_timeout() &&
                                   hash_weight(item.first) > own_weight;
                        });
}

std::vector<watch_candidate> fleet_ledger::watch_candidates(time_point now) const
{
    std::vector<watch_candidate> candidates;
    for (const auto& [entry, other] : this->peers)
    {
        if (now - other.last_heard <
                std::max<duration>(this->peer_timeout(), watch_candidate_timeout) &&
            !other.state.leaving)
        {
            candidates.push_back({entry, other.state.reaches_store, 0});
        }
    }
    return candidates;
}

fleet_view fleet_ledger::view(time_point now) const
{
    std::uint32_t reachable = 1;
    std::uint32_t reported_entries = 1;
    for (const auto& [key, other] : this->peers)
    {
        if (now - other.last_heard < this->peer_timeout())
        {
            ++reachable;
            reported_entries = std::max(reported_entries, other.state.known_entries);
        }
    }
    // Without the platform's list the entry counts that the peers report are used.
    const std::uint32_t entries =
        this->registered_entries > 1 ? this->registered_entries : reported_entries;
    return {std::max(entries, reachable), reachable};
}

std::set<std::string> fleet_ledger::reachable_peers(time_point now) const
{
    std::set<std::string> names;
    for (const auto& [entry, other] : this->peers)
    {
        if (now - other.last_heard < this->peer_timeout())
        {
            names.insert(entry);
        }
    }
    return names;
}

time_point fleet_ledger::all_heard_since(time_point now) const
{
    time_point since = now;
    for (const auto& [key, other] : this->peers)
    {
        if (now - other.last_heard < this->peer_timeout())
        {
            since = std::min(since, other.last_heard);
        }
    }
    return since;
}

std::map<std::string, time_point> fleet_ledger::last_heard_times() const
{
    std::map<std::string, time_point> times;
    for (const auto& [key, other] : this->peers)
    {
        times[key] = other.last_heard;
    }
    return times;
}

std::uint64_t fleet_ledger::newest_configuration_version(time_point now) const
{
    std::uint64_t newest = 0;
    for (const auto& [key, other] : this->peers)
    {
        if (now - other.last_heard < this->peer_timeout())
        {
            newest = std::max(newest, other.state.configuration_version);
        }
    }
    return newest;
}

} // namespace agateseam

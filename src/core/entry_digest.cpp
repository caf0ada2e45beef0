#include <agateseam/entry_digest.hpp>

namespace agateseam
{

void digest_reducer::note_changes(sent_buckets& sent,
                                  const keyed_map<bucket_report>& buckets, time_point now)
{
    for (const auto& [key, report] : buckets)
    {
        const auto [known, is_new] = sent.try_emplace(key, sent_bucket{report.spent, {}});
        if (is_new ? report.spent != 0 : known->second.spent != report.spent)
        {
            known->second = {report.spent, now};
        }
    }
}

void digest_reducer::keep_changed_since(keyed_map<bucket_report>& buckets,
                                        const sent_buckets& sent, time_point since)
{
    keyed_map<bucket_report> kept;
    for (const auto& [key, report] : buckets)
    {
        if (sent.at(key).changed_at >= since)
        {
            kept.emplace_hint(kept.end(), key, report);
        }
    }
    buckets = std::move(kept);
}

/// Keeps the claims whose number of requests changed; one that ended is sent as empty.
void digest_reducer::reduce_claims(entry_digest& digest) const
{
    keyed_map<decode_claim> changed;
    for (const auto& [server, requests] : this->claimed_requests)
    {
        if (digest.claims.find(server) == digest.claims.end())
        {
            changed.emplace(server, decode_claim{});
        }
    }
    for (const auto& [server, claim] : digest.claims)
    {
        const auto before = this->claimed_requests.find(server);
        if (before == this->claimed_requests.end() || before->second != claim.requests)
        {
            changed.emplace(server, claim);
        }
    }
    digest.claims = std::move(changed);
}

void digest_reducer::reduce(entry_digest& digest, time_point now, duration interval,
                            std::uint64_t first_heard_entries)
{
    note_changes(this->allowances, digest.allowances, now);
    note_changes(this->repeats, digest.repeats, now);
    keyed_map<std::uint32_t> requests;
    for (const auto& [server, claim] : digest.claims)
    {
        requests.emplace_hint(requests.end(), server, claim.requests);
    }
    if (now < this->next_whole_digest(interval))
    {
        digest.scope = digest_scope::delta;
        // What changed since the digest before has this very time.
        keep_changed_since(digest.allowances, this->allowances, now);
        keep_changed_since(digest.repeats, this->repeats, now);
        this->reduce_claims(digest);
        digest.orphan_tokens.clear();
        this->claimed_requests = std::move(requests);
        return;
    }
    this->claimed_requests = std::move(requests);
    this->whole_digest_at = now;
    ++this->digests_since_complete;
    if (this->digests_since_complete >= digests_per_complete ||
        first_heard_entries != this->answered_entries)
    {
        digest.scope = digest_scope::complete;
        this->digests_since_complete = 0;
        this->answered_entries = first_heard_entries;
        return;
    }
    digest.scope = digest_scope::recent;
    const time_point since = now - interval * resent_digests;
    keep_changed_since(digest.allowances, this->allowances, since);
    keep_changed_since(digest.repeats, this->repeats, since);
}

} // namespace agateseam

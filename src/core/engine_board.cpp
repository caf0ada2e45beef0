#include <agateseam/engine_board.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// A server of another failure domain counts as this much fuller: moving a KV cache
/// there takes twice as long and costs more, but an idle server is still worth it.
constexpr double domain_cost = 0.08;
/// Standard deviations kept free. A preempted stream pauses too long and has its prompt
/// read again, which costs about what a served one earns; each deviation costs some
/// percent of the places. Measured from 1 to 4 on three days (journal, trials).
constexpr double memory_deviations = 2.5;
/// Prompt tokens that a prefill server of another failure domain counts as more.
constexpr double prefill_domain_tokens = 2'000;

bool decodes(const backend_server& server) noexcept
{
    return server.stage == engine_stage::decode || server.stage == engine_stage::both;
}

} // namespace

void engine_board::set_servers(
    std::span<const std::shared_ptr<const backend_server>> listed)
{
    for (auto& [id, known] : this->places)
    {
        known.listed = false;
    }
    for (const auto& server : listed)
    {
        place& known = this->places[server->id];
        known.server = server;
        known.listed = true;
    }
    std::erase_if(this->places,
                  [](const auto& item)
                  {
                      const place& known = item.second;
                      return !known.listed && known.own.empty() &&
                             known.prefill_tokens == 0;
                  });
}

bool engine_board::may_decode(const place& at, time_point now) const
{
    return at.listed && decodes(*at.server) && at.refused_until <= now &&
           at.blank_until <= now &&
           at.own.size() + at.others.requests < this->terms.slots;
}

bool engine_board::takes_part(place& at, std::uint64_t& lot, time_point now) const
{
    if (this->rivals == 0)
    {
        return true;
    }
    // Steps of the generator by Knuth; the upper bits are the random ones.
    lot = lot * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    if ((lot >> 33U) % (this->rivals + 1) == 0)
    {
        return true;
    }
    at.blank_until = now + lot_pause;
    return false;
}

decode_claim engine_board::claim_of(const place& at) const
{
    decode_claim claim;
    for (const auto& [ticket, stream] : at.own)
    {
        claim.memory.add(stream, this->pace);
    }
    claim.requests = static_cast<std::uint32_t>(at.own.size());
    return claim;
}

std::optional<double> engine_board::load_with(const place& at,
                                              const stream_memory& stream,
                                              std::string_view domain) const
{
    decode_claim claim = this->claim_of(at);
    claim.add(at.others);
    const bool empty = claim.requests == 0 && at.own_orphans + at.others_orphans == 0;
    claim.memory.add(stream, this->pace);
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, this->terms.kv_capacity_tokens));
    const auto orphans = static_cast<double>(std::max(at.own_orphans, at.others_orphans));
    const double load = (claim.memory.peak(memory_deviations) + orphans) / capacity;
    if (load > 1 && !empty)
    {
        return std::nullopt;
    }
    return load + (at.server->failure_domain == domain ? 0 : domain_cost);
}

double engine_board::prefill_load(const place& at, std::string_view domain) const
{
    return static_cast<double>(at.prefill_tokens) +
           (at.server->failure_domain == domain ? 0 : prefill_domain_tokens);
}

stream_ticket engine_board::begin_decode(const std::string& id,
                                         const stream_memory& stream)
{
    const stream_ticket ticket = this->next_ticket++;
    const auto found = this->places.find(id);
    if (found != this->places.end())
    {
        found->second.own.emplace(ticket, stream);
    }
    return ticket;
}

void engine_board::progress(const std::string& id, stream_ticket ticket,
                            std::int64_t made)
{
    const auto found = this->places.find(id);
    if (found == this->places.end())
    {
        return;
    }
    const auto stream = found->second.own.find(ticket);
    if (stream != found->second.own.end())
    {
        stream->second.made = made;
    }
}

void engine_board::end_decode(const std::string& id, stream_ticket ticket)
{
    const auto found = this->places.find(id);
    if (found != this->places.end() && found->second.own.erase(ticket) > 0)
    {
        found->second.refused_until = {};
    }
}

void engine_board::begin_prefill(const std::string& id, std::int64_t tokens)
{
    const auto found = this->places.find(id);
    if (found != this->places.end())
    {
        found->second.prefill_tokens += tokens;
    }
}

void engine_board::end_prefill(const std::string& id, std::int64_t tokens)
{
    const auto found = this->places.find(id);
    if (found != this->places.end())
    {
        found->second.prefill_tokens =
            std::max<std::int64_t>(0, found->second.prefill_tokens - tokens);
    }
}

void engine_board::refused(const std::string& id, time_point now)
{
    const auto found = this->places.find(id);
    if (found != this->places.end())
    {
        found->second.refused_until = now + refusal_pause;
    }
}

void engine_board::set_others(const std::unordered_map<std::string, decode_claim>& placed,
                              time_point now)
{
    for (auto& [id, known] : this->places)
    {
        const auto found = placed.find(id);
        const decode_claim next = found == placed.end() ? decode_claim{} : found->second;
        if (next.requests < known.others.requests)
        {
            known.refused_until = {};
        }
        known.others = next;
        this->remember_claims(known, now);
    }
}

void engine_board::remember_claims(place& at, time_point now) const
{
    decode_claim claim = this->claim_of(at);
    claim.add(at.others);
    at.claimed.emplace_back(now, claim.memory.mean.front());
    while (at.claimed.front().first < now - claims_kept)
    {
        at.claimed.pop_front();
    }
}

void engine_board::report(const std::string& id, std::int64_t used, time_point now)
{
    const auto found = this->places.find(id);
    if (found == this->places.end())
    {
        return;
    }
    place& at = found->second;
    this->remember_claims(at, now);
    const auto most = std::max_element(at.claimed.begin(), at.claimed.end(),
                                       [](const auto& left, const auto& right)
                                       { return left.second < right.second; });
    at.own_orphans =
        std::max<std::int64_t>(0, used - static_cast<std::int64_t>(most->second));
    at.reported_at = now;
}

std::unordered_map<std::string, std::int64_t>
engine_board::own_orphans(time_point now) const
{
    std::unordered_map<std::string, std::int64_t> found;
    for (const auto& [id, known] : this->places)
    {
        if (known.own_orphans > 0 && now - known.reported_at < report_life)
        {
            found.emplace(id, known.own_orphans);
        }
    }
    return found;
}

void engine_board::set_orphans(const std::unordered_map<std::string, std::int64_t>& found)
{
    for (auto& [id, known] : this->places)
    {
        const auto told = found.find(id);
        known.others_orphans = told == found.end() ? 0 : told->second;
    }
}

std::vector<std::shared_ptr<const backend_server>> engine_board::decode_servers() const
{
    std::vector<std::shared_ptr<const backend_server>> servers;
    for (const auto& [id, known] : this->places)
    {
        if (known.listed && decodes(*known.server))
        {
            servers.push_back(known.server);
        }
    }
    return servers;
}

std::unordered_map<std::string, decode_claim> engine_board::own_claims() const
{
    std::unordered_map<std::string, decode_claim> claims;
    for (const auto& [id, known] : this->places)
    {
        if (!known.own.empty())
        {
            claims.emplace(id, this->claim_of(known));
        }
    }
    return claims;
}

bool engine_board::could_hold(std::int64_t tokens) const
{
    if (this->terms.kv_capacity_tokens > 0 && tokens > this->terms.kv_capacity_tokens)
    {
        return false;
    }
    return std::any_of(this->places.begin(), this->places.end(),
                       [](const auto& item)
                       { return item.second.listed && decodes(*item.second.server); });
}

std::int64_t engine_board::in_blocks(std::int64_t tokens) const
{
    const std::int64_t block = std::max<std::int64_t>(1, this->terms.tokens_per_block);
    return (tokens + block - 1) / block * block;
}

} // namespace agateseam

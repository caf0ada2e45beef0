#include <agateseam/engine_placement.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Added to the load, as a part of the memory, of a server in another failure domain:
/// moving a KV cache there takes twice as long and costs more, but an idle server there
/// is still better than a nearly full one here.
constexpr double other_domain_load = 0.08;
/// Standard deviations of the expected memory that are kept free. A preempted stream
/// pauses too long and its prompt is prefilled again, which costs about what a served
/// stream earns; each deviation kept free costs some percent of the places for streams.
constexpr double memory_margin_deviations = 2.5;
/// Prompt tokens added to the load of a prefill server in another failure domain.
constexpr double other_domain_prefill_tokens = 2'000;

bool decodes(const backend_server& server) noexcept
{
    return server.stage == engine_stage::decode || server.stage == engine_stage::both;
}

} // namespace

void engine_placement::set_servers(
    std::span<const std::shared_ptr<const backend_server>> listed)
{
    for (auto& [id, state] : this->server_states)
    {
        state.listed = false;
    }
    for (const auto& server : listed)
    {
        server_state& state = this->server_states[server->id];
        state.server = server;
        state.listed = true;
    }
    std::erase_if(this->server_states,
                  [](const auto& item)
                  {
                      const server_state& state = item.second;
                      return !state.listed && state.own_streams.empty() &&
                             state.prefill_tokens == 0;
                  });
    this->states_by_key.clear();
    for (auto& [id, state] : this->server_states)
    {
        this->states_by_key.emplace(id, &state);
    }
}

bool engine_placement::accepts_decode(const server_state& state, time_point now) const
{
    return state.listed && decodes(*state.server) && state.refusal_backoff_until <= now &&
           state.lottery_backoff_until <= now &&
           state.own_streams.size() + state.others_claim.requests <
               this->properties.slots;
}

bool engine_placement::wins_lottery(server_state& state, std::uint64_t& random_state,
                                    time_point now) const
{
    if (this->competing_entries == 0)
    {
        return true;
    }
    // Knuth's linear congruential generator; its upper bits are the most random.
    random_state =
        random_state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    if ((random_state >> 33U) % (this->competing_entries + 1) == 0)
    {
        return true;
    }
    state.lottery_backoff_until = now + lottery_backoff;
    return false;
}

/// Returns the sum of this entry's streams at a server. It is kept until a stream
/// changes, as each stream costs a curve.
const decode_claim& engine_placement::own_claim(const server_state& state) const
{
    if (state.own_claim_stream_rate != this->stream_tokens_per_second)
    {
        state.own_claim = {};
        for (const auto& [stream_id, stream] : state.own_streams)
        {
            state.own_claim.memory.add(stream, this->stream_tokens_per_second);
        }
        state.own_claim.requests = static_cast<std::uint32_t>(state.own_streams.size());
        state.own_claim_stream_rate = this->stream_tokens_per_second;
    }
    return state.own_claim;
}

std::optional<double> engine_placement::load_with_stream(const server_state& state,
                                                         const memory_curve& stream,
                                                         std::string_view domain) const
{
    decode_claim claim = this->own_claim(state);
    claim.add(state.others_claim);
    const bool empty =
        claim.requests == 0 && state.own_orphan_tokens + state.others_orphan_tokens == 0;
    claim.memory.add(stream);
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(1, this->properties.kv_capacity_tokens));
    // Both numbers count the same orphans, so they are not added.
    const auto orphans = static_cast<double>(
        std::max(state.own_orphan_tokens, state.others_orphan_tokens));
    const double load =
        (claim.memory.peak(memory_margin_deviations) + orphans) / capacity;
    // An empty server takes any stream, since no server could offer it more memory.
    if (load > 1 && !empty)
    {
        return std::nullopt;
    }
    return load + (state.server->failure_domain == domain ? 0 : other_domain_load);
}

double engine_placement::prefill_load(const server_state& state,
                                      std::string_view domain) const
{
    return static_cast<double>(state.prefill_tokens) +
           (state.server->failure_domain == domain ? 0 : other_domain_prefill_tokens);
}

decode_stream_id engine_placement::begin_decode(const std::string& id,
                                                const stream_memory& stream)
{
    const decode_stream_id stream_id = this->next_stream_id++;
    const auto found = this->server_states.find(id);
    if (found != this->server_states.end())
    {
        found->second.own_streams.emplace(stream_id, stream);
        found->second.own_claim_stream_rate = 0;
    }
    return stream_id;
}

void engine_placement::record_progress(const std::string& id, decode_stream_id stream_id,
                                       std::int64_t output_tokens)
{
    const auto found = this->server_states.find(id);
    if (found == this->server_states.end())
    {
        return;
    }
    const auto stream = found->second.own_streams.find(stream_id);
    if (stream != found->second.own_streams.end())
    {
        stream->second.output_tokens = output_tokens;
        found->second.own_claim_stream_rate = 0;
    }
}

void engine_placement::end_decode(const std::string& id, decode_stream_id stream_id)
{
    const auto found = this->server_states.find(id);
    if (found != this->server_states.end() &&
        found->second.own_streams.erase(stream_id) > 0)
    {
        found->second.own_claim_stream_rate = 0;
        found->second.refusal_backoff_until = {};
    }
}

void engine_placement::begin_prefill(const std::string& id, std::int64_t prompt_tokens)
{
    const auto found = this->server_states.find(id);
    if (found != this->server_states.end())
    {
        found->second.prefill_tokens += prompt_tokens;
    }
}

void engine_placement::end_prefill(const std::string& id, std::int64_t prompt_tokens)
{
    const auto found = this->server_states.find(id);
    if (found != this->server_states.end())
    {
        found->second.prefill_tokens =
            std::max<std::int64_t>(0, found->second.prefill_tokens - prompt_tokens);
    }
}

void engine_placement::record_refusal(const std::string& id, time_point now)
{
    const auto found = this->server_states.find(id);
    if (found != this->server_states.end())
    {
        found->second.refusal_backoff_until = now + refusal_backoff;
    }
}

void engine_placement::set_others_claims(const keyed_map<decode_claim>& claims,
                                         time_point now)
{
    for (const auto& [key, state] : this->states_by_key)
    {
        const auto found = claims.find(key);
        this->set_others_claim(
            *state, found == claims.end() ? decode_claim{} : found->second, now);
    }
}

bool engine_placement::set_others_claim(name_key server, const decode_claim& claim,
                                        time_point now)
{
    const auto found = this->states_by_key.find(server);
    return found != this->states_by_key.end() &&
           this->set_others_claim(*found->second, claim, now);
}

bool engine_placement::set_others_claim(server_state& state, const decode_claim& claim,
                                        time_point now)
{
    const bool is_relieved = claim.requests < state.others_claim.requests;
    if (is_relieved)
    {
        state.refusal_backoff_until = {};
    }
    state.others_claim = claim;
    this->record_claim(state, now);
    return is_relieved;
}

void engine_placement::record_claim(server_state& state, time_point now) const
{
    const double tokens = this->own_claim(state).memory.mean.front() +
                          state.others_claim.memory.mean.front();
    while (!state.claim_history.empty() && state.claim_history.back().second <= tokens)
    {
        state.claim_history.pop_back();
    }
    state.claim_history.emplace_back(now, tokens);
    while (state.claim_history.front().first < now - claim_history_window)
    {
        state.claim_history.pop_front();
    }
}

void engine_placement::record_memory_report(const std::string& id,
                                            std::int64_t used_tokens, time_point now)
{
    const auto found = this->server_states.find(id);
    if (found == this->server_states.end())
    {
        return;
    }
    server_state& state = found->second;
    this->record_claim(state, now);
    const double highest = state.claim_history.front().second;
    state.own_orphan_tokens =
        std::max<std::int64_t>(0, used_tokens - static_cast<std::int64_t>(highest));
    state.reported_at = now;
}

keyed_map<std::int64_t> engine_placement::own_orphans(time_point now) const
{
    keyed_map<std::int64_t> orphan_tokens;
    for (const auto& [id, state] : this->server_states)
    {
        if (state.own_orphan_tokens > 0 && now - state.reported_at < report_lifetime)
        {
            orphan_tokens.emplace(id, state.own_orphan_tokens);
        }
    }
    return orphan_tokens;
}

void engine_placement::set_others_orphans(const keyed_map<std::int64_t>& orphan_tokens)
{
    for (const auto& [key, state] : this->states_by_key)
    {
        const auto reported = orphan_tokens.find(key);
        state->others_orphan_tokens =
            reported == orphan_tokens.end() ? 0 : reported->second;
    }
}

std::vector<std::shared_ptr<const backend_server>>
engine_placement::decode_servers() const
{
    std::vector<std::shared_ptr<const backend_server>> servers;
    for (const auto& [id, state] : this->server_states)
    {
        if (state.listed && decodes(*state.server))
        {
            servers.push_back(state.server);
        }
    }
    return servers;
}

keyed_map<decode_claim> engine_placement::own_claims() const
{
    keyed_map<decode_claim> claims;
    for (const auto& [id, state] : this->server_states)
    {
        if (!state.own_streams.empty())
        {
            claims.emplace(id, this->own_claim(state));
        }
    }
    return claims;
}

std::uint32_t engine_placement::running_requests() const
{
    std::uint32_t requests = 0;
    for (const auto& [id, state] : this->server_states)
    {
        requests += static_cast<std::uint32_t>(state.own_streams.size()) +
                    state.others_claim.requests;
    }
    return requests;
}

bool engine_placement::could_hold(std::int64_t tokens) const
{
    if (this->properties.kv_capacity_tokens > 0 &&
        tokens > this->properties.kv_capacity_tokens)
    {
        return false;
    }
    return std::any_of(this->server_states.begin(), this->server_states.end(),
                       [](const auto& item)
                       { return item.second.listed && decodes(*item.second.server); });
}

std::int64_t engine_placement::round_up_to_blocks(std::int64_t tokens) const
{
    const std::int64_t block_tokens =
        std::max<std::int64_t>(1, this->properties.tokens_per_block);
    return (tokens + block_tokens - 1) / block_tokens * block_tokens;
}

} // namespace agateseam

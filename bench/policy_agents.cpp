#include <bench/policy_run.hpp>

#include <algorithm>

namespace agateseam::bench
{

namespace
{

constexpr double connect_timeout = 1;   // seconds
constexpr double cache_event_lag = 0.3; // seconds
constexpr std::uint64_t event_gap = 97; // one event in so many is lost

duration to_span(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string_view name_of(error_code reason)
{
    return reason == error_code::exhausted ? "no_slot_in_time" : to_string(reason);
}

} // namespace

void policy_run::submit_decode(live_request& request, std::uint32_t attempt)
{
    if (request.attempt != attempt || !request.open)
    {
        return;
    }
    modelled_agent& agent = this->agents[request.decode];
    if (agent.lost)
    {
        this->events.after(
            connect_timeout, [this, &request]
            { this->refused(request, "engine_lost", this->agents[request.decode].vm); });
        return;
    }
    const std::uint32_t limit = this->plan->output_limit - request.resumed;
    slot_request wish;
    wish.id = id_of(request);
    wish.workspace = this->plan->workloads[request.trace->workload].workspace;
    wish.tokens = agent.estimator->output_tokens(limit);
    wish.expected_use = agent.estimator->output_time(wish.tokens);
    wish.max_use = agent.estimator->output_time(limit);
    wish.lead_time =
        agent.estimator->prefill_and_transfer_time(request.trace->prompt_tokens);
    wish.deadline = this->to_point(this->latest_start(request));
    const auto queued = agent.scheduler.submit(wish, this->events.now_point());
    if (!queued)
    {
        const double back =
            this->delay(this->entries[request.entry].domain, agent.domain);
        this->report_if_piggybacked(request.entry, request.decode);
        this->events.after(back,
                           [this, &request, reason = queued.error().code]
                           {
                               this->refused(request, std::string(name_of(reason)),
                                             this->agents[request.decode].vm);
                           });
        return;
    }
    agent.owners[wish.id] = request.trace->number;
    this->drive(request.decode);
}

void policy_run::decode_event(std::uint32_t agent, const slot_event& event)
{
    live_request* request = this->find(agent, event.id);
    if (request == nullptr)
    {
        return;
    }
    const modelled_entry& entry = this->entries[request->entry];
    switch (event.kind)
    {
    case slot_event_kind::granted:
        this->start_prefill(*request);
        break;
    case slot_event_kind::started:
        this->pull(*request);
        break;
    case slot_event_kind::refused:
        this->events.after(this->delay(entry.domain, this->agents[agent].domain),
                           [this, request, reason = event.reason, agent] {
                               this->refused(*request, std::string(name_of(reason)),
                                             this->agents[agent].vm);
                           });
        break;
    case slot_event_kind::lease_expired:
        this->waste(*request);
        request->open = request->open && entry.silent;
        request->decode_begin = -1;
        if (request->open)
        {
            const double wake = *this->plan->entry_paused + pause_length + 0.001;
            this->events.at(wake,
                            [this, request, agent] {
                                this->refused(*request, "lapsed", this->agents[agent].vm);
                            });
        }
        break;
    }
}

void policy_run::start_prefill(live_request& request)
{
    request.lead_begin = this->events.now();
    const std::uint32_t attempt = request.attempt;
    this->events.after(this->delay(this->agents[request.decode].domain,
                                   this->agents[request.prefill].domain),
                       [this, &request, attempt]
                       { this->submit_prefill(request, attempt); });
}

void policy_run::submit_prefill(live_request& request, std::uint32_t attempt)
{
    if (request.attempt != attempt || !request.open)
    {
        return;
    }
    modelled_agent& agent = this->agents[request.prefill];
    const double uncached = std::max(0.0, request.trace->prompt_tokens -
                                              block_size * this->cached_blocks(request));
    slot_request wish;
    wish.id = id_of(request);
    wish.workspace = this->plan->workloads[request.trace->workload].workspace;
    wish.tokens = uncached;
    wish.expected_use = to_span(uncached / this->plan->prefill_rate);
    wish.max_use = wish.expected_use;
    wish.transfer_time = to_span(this->transfer_time(request));
    wish.deadline = this->to_point(this->latest_start(request)) - wish.expected_use;
    if (const auto queued = agent.scheduler.submit(wish, this->events.now_point());
        !queued)
    {
        this->prefill_refused(request);
        return;
    }
    agent.owners[wish.id] = request.trace->number;
    this->drive(request.prefill);
}

/// The decode agent gives the slot back, and the entry looks for another prefill.
void policy_run::prefill_refused(live_request& request)
{
    const std::uint32_t attempt = request.attempt;
    const std::uint32_t prefill = request.prefill;
    this->events.after(
        this->delay(this->agents[prefill].domain, this->agents[request.decode].domain),
        [this, &request, attempt, prefill]
        {
            if (request.attempt == attempt)
            {
                this->free_slot(request.decode, request, 0);
                this->report_if_piggybacked(request.entry, prefill);
                this->refused(request, "no_prefill_in_time", this->agents[prefill].vm);
            }
        });
}

void policy_run::prefill_event(std::uint32_t agent, const slot_event& event)
{
    live_request* request = this->find(agent, event.id);
    if (request == nullptr)
    {
        return;
    }
    switch (event.kind)
    {
    case slot_event_kind::granted:
        this->agents[agent].scheduler.request_start(event.id, this->events.now_point());
        this->events.after(0, [this, agent] { this->drive(agent); });
        break;
    case slot_event_kind::started:
        this->run_prefill(*request);
        break;
    case slot_event_kind::refused:
        this->prefill_refused(*request);
        break;
    case slot_event_kind::lease_expired:
        break;
    }
}

void policy_run::run_prefill(live_request& request)
{
    const std::uint32_t prefill = request.prefill;
    modelled_agent& agent = this->agents[prefill];
    const std::size_t hits = agent.engine.cache.touch(
        request.trace->blocks,
        [this, prefill](std::uint64_t block, bool stored)
        {
            modelled_agent& source = this->agents[prefill];
            const std::uint64_t sequence = ++source.cache_sequence;
            const auto kind =
                stored ? cache_event_kind::stored : cache_event_kind::removed;
            if (sequence % event_gap != 0)
            {
                this->events.after(
                    cache_event_lag, [this, prefill, sequence, kind, block]
                    { this->agents[prefill].index.apply(sequence, kind, block); });
            }
        });
    const double computed = std::max(0.0, request.trace->prompt_tokens -
                                              block_size * static_cast<double>(hits));
    this->outcome.prefill_tokens += computed;
    request.computed = computed;
    const attempt_id id = id_of(request);
    const std::uint32_t attempt = request.attempt;
    this->events.after(computed / this->plan->prefill_rate,
                       [this, &request, attempt, prefill, id, computed]
                       {
                           modelled_agent& source = this->agents[prefill];
                           source.scheduler.release(id, computed);
                           source.owners.erase(id);
                           source.index.confirm(request.trace->blocks);
                           this->drive(prefill);
                           request.prefill_end = this->events.now();
                           this->events.after(
                               hop_delay, [this, &request, attempt]
                               { this->prefill_answered(request, attempt); });
                       });
}

void policy_run::prefill_answered(live_request& request, std::uint32_t attempt)
{
    modelled_agent& agent = this->agents[request.decode];
    if (request.attempt != attempt || !request.open || agent.lost)
    {
        this->waste(request);
        return;
    }
    agent.estimator->record_prefill_and_transfer(
        request.trace->prompt_tokens, to_span(this->events.now() - request.lead_begin));
    if (agent.scheduler.request_start(id_of(request), this->events.now_point()))
    {
        this->drive(request.decode);
        return;
    }
    this->waste(request);
}

/// The slot is free: the engine fetches the prefill's result and decodes.
void policy_run::pull(live_request& request)
{
    const double now = this->events.now();
    if (now + hop_delay > request.prefill_end + kv_lifetime)
    {
        this->waste(request);
        this->events.after(0,
                           [this, &request]
                           {
                               this->free_slot(request.decode, request, 0);
                               this->refused(request, "kv_expired",
                                             this->agents[request.decode].vm);
                           });
        return;
    }
    prefill_model& engine = this->agents[request.prefill].engine;
    engine.link_free = std::max(now, engine.link_free) + this->transfer_time(request);
    request.decode_begin = engine.link_free + this->plan->token_gap;
    const std::uint32_t attempt = request.attempt;
    this->events.at(request.decode_begin,
                    [this, &request, attempt]
                    {
                        const bool alive = !this->agents[request.decode].lost;
                        if (request.attempt != attempt || !request.open || !alive)
                        {
                            return;
                        }
                        request.computed = 0;
                        if (request.outcome->first_token < 0)
                        {
                            request.outcome->first_token =
                                this->events.now() + 2 * hop_delay - request.trace->at;
                        }
                    });
    const std::uint32_t rest = request.trace->output_tokens - request.resumed - 1;
    this->events.at(request.decode_begin + rest * this->plan->token_gap,
                    [this, &request, attempt] { this->finish(request, attempt); });
}

void policy_run::finish(live_request& request, std::uint32_t attempt)
{
    const std::uint32_t decode = request.decode;
    if (request.attempt != attempt || !request.open || this->agents[decode].lost ||
        request.decode_begin < 0)
    {
        return;
    }
    request.open = false;
    request.outcome->last_token = this->events.now() + 2 * hop_delay - request.trace->at;
    const std::uint32_t made = request.trace->output_tokens - request.resumed;
    this->agents[decode].estimator->record_answer(
        this->plan->output_limit - request.resumed, made,
        to_span(this->events.now() - request.decode_begin));
    this->free_slot(decode, request, made);
    this->report_if_piggybacked(request.entry, decode);
}

/// Tells the scheduler how far each stream has come, as the daemon does.
void policy_run::note_progress()
{
    for (auto& [number, request] : this->live)
    {
        modelled_agent& agent = this->agents[request.decode];
        if (!request.open || request.decode_begin < 0 ||
            this->events.now() < request.decode_begin || agent.lost)
        {
            continue;
        }
        const double got = request.resumed + (this->events.now() - request.decode_begin) /
                                                 this->plan->token_gap;
        const std::uint32_t limit = this->plan->output_limit;
        const double expected = agent.estimator->remaining_tokens(limit, got);
        agent.scheduler.set_remaining_use(
            id_of(request), agent.estimator->output_time(expected),
            agent.estimator->output_time(limit - got), this->events.now_point());
    }
}

void policy_run::report_if_piggybacked(std::uint32_t entry, std::uint32_t agent)
{
    if (this->plan->piggyback)
    {
        this->report_to(entry, agent);
    }
}

} // namespace agateseam::bench

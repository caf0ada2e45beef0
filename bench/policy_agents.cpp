#include <bench/policy_run.hpp>

#include <algorithm>

namespace agateseam::bench
{

namespace
{

constexpr double connect_timeout = 1;   // Seconds.
constexpr double cache_event_lag = 0.3; // Seconds.
/// One in this many cache events is lost.
constexpr std::uint64_t lost_event_interval = 97;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string_view refusal_name(error_code reason)
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
        this->events.after(connect_timeout,
                           [this, &request] {
                               this->handle_refusal(request, "engine_lost",
                                                    this->agents[request.decode].vm);
                           });
        return;
    }
    const std::uint32_t limit =
        this->plan->output_limit - request.delivered_before_attempt;
    slot_request submission;
    submission.id = attempt_id_of(request);
    submission.workspace = this->plan->workloads[request.trace->workload].workspace;
    submission.tokens = agent.estimator->output_tokens(limit);
    submission.expected_use = agent.estimator->output_time(submission.tokens);
    submission.max_use = agent.estimator->output_time(limit);
    submission.lead_time =
        agent.estimator->prefill_and_transfer_time(request.trace->prompt_tokens);
    submission.deadline = this->to_time_point(this->latest_start(request));
    const auto queued = agent.scheduler.submit(submission, this->events.now_time_point());
    if (!queued)
    {
        const double answer_delay =
            this->delay(this->entries[request.entry].domain, agent.domain);
        this->report_if_piggybacked(request.entry, request.decode);
        this->events.after(answer_delay,
                           [this, &request, reason = queued.error().code]
                           {
                               this->handle_refusal(request,
                                                    std::string(refusal_name(reason)),
                                                    this->agents[request.decode].vm);
                           });
        return;
    }
    agent.owners[submission.id] = request.trace->number;
    this->advance_scheduler(request.decode);
}

void policy_run::handle_decode_event(std::uint32_t agent, const slot_event& event)
{
    live_request* request = this->find_request(agent, event.id);
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
        this->start_transfer(*request);
        break;
    case slot_event_kind::refused:
        this->events.after(this->delay(entry.domain, this->agents[agent].domain),
                           [this, request, reason = event.reason, agent]
                           {
                               this->handle_refusal(*request,
                                                    std::string(refusal_name(reason)),
                                                    this->agents[agent].vm);
                           });
        break;
    case slot_event_kind::lease_expired:
        this->record_waste(*request);
        request->open = request->open && entry.silent;
        request->decode_began_at = -1;
        if (request->open)
        {
            const double resumed_at = *this->plan->entry_paused + pause_seconds + 0.001;
            this->events.at(
                resumed_at, [this, request, agent]
                { this->handle_refusal(*request, "lapsed", this->agents[agent].vm); });
        }
        break;
    }
}

void policy_run::start_prefill(live_request& request)
{
    request.granted_at = this->events.now();
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
    slot_request submission;
    submission.id = attempt_id_of(request);
    submission.workspace = this->plan->workloads[request.trace->workload].workspace;
    submission.tokens = uncached;
    submission.expected_use = to_duration(uncached / this->plan->prefill_rate);
    submission.max_use = submission.expected_use;
    submission.transfer_time = to_duration(this->transfer_time(request));
    submission.deadline =
        this->to_time_point(this->latest_start(request)) - submission.expected_use;
    if (const auto queued =
            agent.scheduler.submit(submission, this->events.now_time_point());
        !queued)
    {
        this->handle_prefill_refusal(request);
        return;
    }
    agent.owners[submission.id] = request.trace->number;
    this->advance_scheduler(request.prefill);
}

/// Releases the decode slot and lets the entry choose another prefill agent.
void policy_run::handle_prefill_refusal(live_request& request)
{
    const std::uint32_t attempt = request.attempt;
    const std::uint32_t prefill = request.prefill;
    this->events.after(
        this->delay(this->agents[prefill].domain, this->agents[request.decode].domain),
        [this, &request, attempt, prefill]
        {
            if (request.attempt == attempt)
            {
                this->release_slot(request.decode, request, 0);
                this->report_if_piggybacked(request.entry, prefill);
                this->handle_refusal(request, "no_prefill_in_time",
                                     this->agents[prefill].vm);
            }
        });
}

void policy_run::handle_prefill_event(std::uint32_t agent, const slot_event& event)
{
    live_request* request = this->find_request(agent, event.id);
    if (request == nullptr)
    {
        return;
    }
    switch (event.kind)
    {
    case slot_event_kind::granted:
        this->agents[agent].scheduler.request_start(event.id,
                                                    this->events.now_time_point());
        this->events.after(0, [this, agent] { this->advance_scheduler(agent); });
        break;
    case slot_event_kind::started:
        this->run_prefill(*request);
        break;
    case slot_event_kind::refused:
        this->handle_prefill_refusal(*request);
        break;
    case slot_event_kind::lease_expired:
        break;
    }
}

void policy_run::run_prefill(live_request& request)
{
    const std::uint32_t prefill = request.prefill;
    modelled_agent& agent = this->agents[prefill];
    const std::size_t cached_block_count = agent.engine.cache.lookup_and_store(
        request.trace->blocks,
        [this, prefill](std::uint64_t block, bool stored)
        {
            modelled_agent& source = this->agents[prefill];
            const std::uint64_t sequence = ++source.cache_sequence;
            const auto kind =
                stored ? cache_event_kind::stored : cache_event_kind::removed;
            if (sequence % lost_event_interval != 0)
            {
                this->events.after(
                    cache_event_lag, [this, prefill, sequence, kind, block]
                    { this->agents[prefill].index.apply(sequence, kind, block); });
            }
        });
    const double computed =
        std::max(0.0, request.trace->prompt_tokens -
                          block_size * static_cast<double>(cached_block_count));
    this->outcome.prefill_tokens += computed;
    request.computed = computed;
    const attempt_id id = attempt_id_of(request);
    const std::uint32_t attempt = request.attempt;
    this->events.after(computed / this->plan->prefill_rate,
                       [this, &request, attempt, prefill, id, computed]
                       {
                           modelled_agent& source = this->agents[prefill];
                           source.scheduler.release(id, computed);
                           source.owners.erase(id);
                           source.index.confirm(request.trace->blocks);
                           this->advance_scheduler(prefill);
                           request.prefill_ended_at = this->events.now();
                           this->events.after(
                               hop_delay_seconds, [this, &request, attempt]
                               { this->handle_prefill_answer(request, attempt); });
                       });
}

void policy_run::handle_prefill_answer(live_request& request, std::uint32_t attempt)
{
    modelled_agent& agent = this->agents[request.decode];
    if (request.attempt != attempt || !request.open || agent.lost)
    {
        this->record_waste(request);
        return;
    }
    agent.estimator->record_prefill_and_transfer(
        request.trace->prompt_tokens,
        to_duration(this->events.now() - request.granted_at));
    if (agent.scheduler.request_start(attempt_id_of(request),
                                      this->events.now_time_point()))
    {
        this->advance_scheduler(request.decode);
        return;
    }
    this->record_waste(request);
}

/// Transfers the KV cache to the decode engine, whose slot is free, and starts decoding.
void policy_run::start_transfer(live_request& request)
{
    const double now = this->events.now();
    if (now + hop_delay_seconds > request.prefill_ended_at + kv_lifetime_seconds)
    {
        this->record_waste(request);
        this->events.after(0,
                           [this, &request]
                           {
                               this->release_slot(request.decode, request, 0);
                               this->handle_refusal(request, "kv_expired",
                                                    this->agents[request.decode].vm);
                           });
        return;
    }
    prefill_model& engine = this->agents[request.prefill].engine;
    engine.link_free_at =
        std::max(now, engine.link_free_at) + this->transfer_time(request);
    request.decode_began_at = engine.link_free_at + this->plan->token_gap;
    const std::uint32_t attempt = request.attempt;
    this->events.at(request.decode_began_at,
                    [this, &request, attempt]
                    {
                        const bool is_alive = !this->agents[request.decode].lost;
                        if (request.attempt != attempt || !request.open || !is_alive)
                        {
                            return;
                        }
                        request.computed = 0;
                        if (request.outcome->first_token < 0)
                        {
                            request.outcome->first_token = this->events.now() +
                                                           2 * hop_delay_seconds -
                                                           request.trace->arrival;
                        }
                    });
    const std::uint32_t following_tokens =
        request.trace->output_tokens - request.delivered_before_attempt - 1;
    this->events.at(request.decode_began_at + following_tokens * this->plan->token_gap,
                    [this, &request, attempt] { this->finish(request, attempt); });
}

void policy_run::finish(live_request& request, std::uint32_t attempt)
{
    const std::uint32_t decode = request.decode;
    if (request.attempt != attempt || !request.open || this->agents[decode].lost ||
        request.decode_began_at < 0)
    {
        return;
    }
    request.open = false;
    request.outcome->last_token =
        this->events.now() + 2 * hop_delay_seconds - request.trace->arrival;
    const std::uint32_t generated_tokens =
        request.trace->output_tokens - request.delivered_before_attempt;
    this->agents[decode].estimator->record_answer(
        this->plan->output_limit - request.delivered_before_attempt, generated_tokens,
        to_duration(this->events.now() - request.decode_began_at));
    this->release_slot(decode, request, generated_tokens);
    this->report_if_piggybacked(request.entry, decode);
}

/// Updates the remaining slot use that each scheduler expects of its streams, as the
/// daemon does.
void policy_run::update_remaining_use()
{
    for (auto& [number, request] : this->live_requests)
    {
        modelled_agent& agent = this->agents[request.decode];
        if (!request.open || request.decode_began_at < 0 ||
            this->events.now() < request.decode_began_at || agent.lost)
        {
            continue;
        }
        const double decoded =
            request.delivered_before_attempt +
            (this->events.now() - request.decode_began_at) / this->plan->token_gap;
        const std::uint32_t limit = this->plan->output_limit;
        const double expected = agent.estimator->remaining_tokens(limit, decoded);
        agent.scheduler.set_remaining_use(
            attempt_id_of(request), agent.estimator->output_time(expected),
            agent.estimator->output_time(limit - decoded), this->events.now_time_point());
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

#include <bench/policy_run.hpp>

#include <algorithm>

namespace agateseam::bench
{

namespace
{

constexpr std::uint32_t max_attempts = 6;
constexpr double late_probability_limit = 0.1;
constexpr double renew_interval = 1;     // Seconds.
constexpr double list_removal_delay = 5; // Seconds.
constexpr double silence_timeout = 2;    // Seconds.

std::chrono::nanoseconds to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

scheduler_options make_scheduler_options(const scenario& plan, bool prefill)
{
    scheduler_options options;
    options.slots = prefill ? 1 : plan.slots;
    options.kv_lifetime = to_duration(kv_lifetime_seconds);
    options.max_late_probability = prefill ? 0 : late_probability_limit;
    return options;
}

std::string domain_name(std::uint32_t domain)
{
    return "domain-" + std::to_string(domain);
}

} // namespace

policy_run::policy_run(const scenario& run_plan,
                       const std::vector<traced_request>& requests,
                       const policy_features& enabled_features, std::uint64_t seed)
    : plan(&run_plan)
    , trace(&requests)
    , features(enabled_features)
{
    const std::uint32_t count = run_plan.prefills + run_plan.decodes;
    for (std::uint32_t index = 0; index < count; ++index)
    {
        const bool prefill = index < run_plan.prefills;
        const std::uint32_t place = prefill ? index : index - run_plan.prefills;
        const auto kind = prefill ? backend_kind::prefill : backend_kind::decode;
        this->agents.push_back(
            {"agent-" + std::to_string(index),
             place % run_plan.domains,
             kind,
             *agent_scheduler::create(make_scheduler_options(run_plan, prefill)),
             // Initial token gap as in the agent, see src/daemon/agent_context.cpp.
             std::make_unique<work_estimator>(to_duration(0.039),
                                              to_duration(1 / run_plan.prefill_rate)),
             {prefix_cache(run_plan.cache_blocks)}});
    }
    this->outcome.requests.resize(requests.size());
    for (std::uint32_t index = 0; index < run_plan.entries; ++index)
    {
        modelled_entry entry;
        entry.domain = index % run_plan.domains;
        entry.placer = make_weighted_placement(seed * 1'000 + index);
        for (const modelled_agent& agent : this->agents)
        {
            auto known = std::make_shared<member>();
            known->vm = agent.vm;
            known->failure_domain = domain_name(agent.domain);
            entry.members.all.push_back(std::move(known));
        }
        this->entries.push_back(std::move(entry));
    }
}

run_outcome policy_run::run()
{
    for (std::uint32_t entry = 0; entry < this->plan->entries; ++entry)
    {
        for (std::uint32_t agent = 0; agent < this->agents.size(); ++agent)
        {
            this->report_to(entry, agent);
        }
    }
    this->heartbeat();
    this->renew_leases();
    for (const traced_request& request : *this->trace)
    {
        this->events.at(request.arrival, [this, &request] { this->arrive(request); });
    }
    if (this->plan->decode_lost)
    {
        this->events.at(*this->plan->decode_lost,
                        [this] { this->fail_agent(this->plan->prefills + lost_engine); });
    }
    if (this->plan->entry_lost)
    {
        this->events.at(*this->plan->entry_lost,
                        [this] { this->entries[lost_entry].lost = true; });
    }
    if (this->plan->entry_paused)
    {
        this->events.at(*this->plan->entry_paused,
                        [this] { this->entries[lost_entry].silent = true; });
        this->events.at(*this->plan->entry_paused + pause_seconds,
                        [this] { this->entries[lost_entry].silent = false; });
    }
    this->events.run_until(this->plan->length + drain_seconds);
    for (auto& [number, request] : this->live_requests)
    {
        this->record_waste(request);
    }
    for (const modelled_agent& agent : this->agents)
    {
        const scheduler_load load = agent.scheduler.load();
        this->outcome.slots_left += agent.lost ? 0 : load.used + load.queued;
    }
    return std::move(this->outcome);
}

void policy_run::arrive(const traced_request& request)
{
    live_request& added = this->live_requests[request.number];
    added.trace = &request;
    added.outcome = &this->outcome.requests[request.number - 1];
    added.outcome->entry_failed = is_hit_by_entry_failure(*this->plan, request);
    added.entry = serving_entry(*this->plan, request);
    this->attempt(added);
}

void policy_run::attempt(live_request& request)
{
    modelled_entry& entry = this->entries[request.entry];
    placement_request request_to_place;
    request_to_place.pool = "drafting";
    request_to_place.workspace = this->plan->workloads[request.trace->workload].workspace;
    request_to_place.failure_domain = domain_name(entry.domain);
    request_to_place.prompt_tokens = request.trace->prompt_tokens + request.delivered;
    request_to_place.output_tokens = this->plan->output_limit;
    request_to_place.excluded_vms = request.excluded;
    if (this->features.prefix_affinity)
    {
        request_to_place.block_hashes = request.trace->blocks;
    }
    auto choice =
        entry.placer->choose(request_to_place, entry.members, this->plan->policy);
    if (!choice)
    {
        request.open = false;
        request.outcome->refusal =
            request.last_refusal.empty() ? "no_agent" : request.last_refusal;
        return;
    }
    this->prefer_session(*choice, entry, request);
    for (std::uint32_t index = 0; index < this->agents.size(); ++index)
    {
        request.prefill =
            this->agents[index].vm == choice->prefill->vm ? index : request.prefill;
        request.decode =
            this->agents[index].vm == choice->decode->vm ? index : request.decode;
    }
    const std::uint32_t attempt = ++request.attempt;
    request.delivered_before_attempt = request.delivered;
    this->events.after(this->delay(entry.domain, this->agents[request.decode].domain),
                       [this, &request, attempt]
                       { this->submit_decode(request, attempt); });
}

/// Replaces the prefill agent by the one that served the session, unless that is busy.
void policy_run::prefer_session(placement_choice& choice, modelled_entry& entry,
                                const live_request& request) const
{
    if (!this->features.session_affinity)
    {
        return;
    }
    const auto session_agent = entry.sessions.find(request.trace->session);
    for (const auto& agent : entry.members.all)
    {
        const double waiting =
            static_cast<double>(agent->queued_tokens + agent->sent_tokens_since_report);
        const bool busy = waiting > this->plan->prefill_rate * 0.2;
        if (session_agent != entry.sessions.end() && agent->vm == session_agent->second &&
            !busy && agent->usable() &&
            std::find(request.excluded.begin(), request.excluded.end(), agent->vm) ==
                request.excluded.end())
        {
            choice.prefill = agent;
        }
    }
    entry.sessions[request.trace->session] = choice.prefill->vm;
}

/// Handles an attempt that ended without a complete answer: tries other agents unless it
/// is too late or the attempts are used up.
void policy_run::handle_refusal(live_request& request, const std::string& reason,
                                const std::string& vm)
{
    const modelled_entry& entry = this->entries[request.entry];
    if (entry.lost || entry.silent)
    {
        return;
    }
    request.excluded.push_back(vm);
    request.last_refusal = reason;
    const bool is_late =
        request.delivered == 0 && this->events.now() > this->latest_start(request);
    if (request.attempt >= max_attempts || is_late)
    {
        request.open = false;
        request.outcome->refusal = is_late ? "late" : reason;
        return;
    }
    this->attempt(request);
}

void policy_run::report_to(std::uint32_t entry, std::uint32_t agent)
{
    modelled_agent& source = this->agents[agent];
    member& known = *this->entries[entry].members.all[agent];
    load_report report;
    report.vm = source.vm;
    report.sequence = ++source.report_sequence;
    report.incarnation = 1;
    report.kind = source.kind;
    report.pool = "drafting";
    const scheduler_load load = source.scheduler.load();
    report.slots = source.kind == backend_kind::prefill ? 1 : this->plan->slots;
    report.used = load.used;
    report.queued = load.queued;
    report.queued_tokens = static_cast<std::uint64_t>(load.queued_tokens);
    report.tokens_per_second = this->plan->prefill_rate;
    this->events.after(this->plan->report_lag, [this, report, &known]
                       { known.apply_report(report, this->events.now_time_point()); });
}

void policy_run::heartbeat()
{
    for (std::uint32_t index = 0; index < this->agents.size(); ++index)
    {
        const auto digest = this->agents[index].index.digest();
        for (std::uint32_t entry = 0; entry < this->entries.size(); ++entry)
        {
            member& known = *this->entries[entry].members.all[index];
            if (!this->agents[index].lost)
            {
                this->report_to(entry, index);
                known.cache.publish(std::make_unique<cache_digest>(digest));
            }
            const time_point heard{duration{known.last_report_at.load()}};
            known.silent = known.has_reported &&
                           this->events.now_time_point() - heard >
                               to_duration(silence_timeout + this->plan->heartbeat);
        }
    }
    this->update_remaining_use();
    this->events.after(this->plan->heartbeat, [this] { this->heartbeat(); });
}

/// Renews the leases of all open requests whose entries are running; a request whose
/// lease expires is retried by `handle_decode_event`.
void policy_run::renew_leases()
{
    for (auto& [number, request] : this->live_requests)
    {
        const modelled_entry& entry = this->entries[request.entry];
        if (request.open && !entry.lost && !entry.silent)
        {
            const attempt_id id = attempt_id_of(request);
            const time_point now = this->events.now_time_point();
            this->agents[request.decode].scheduler.renew(id, now);
            this->agents[request.prefill].scheduler.renew(id, now);
        }
    }
    this->events.after(renew_interval, [this] { this->renew_leases(); });
}

void policy_run::advance_scheduler(std::uint32_t agent)
{
    modelled_agent& target = this->agents[agent];
    if (target.lost)
    {
        return;
    }
    for (const slot_event& event :
         target.scheduler.advance(this->events.now_time_point()))
    {
        if (target.kind == backend_kind::prefill)
        {
            this->handle_prefill_event(agent, event);
        }
        else
        {
            this->handle_decode_event(agent, event);
        }
    }
    const time_point now = this->events.now_time_point();
    const duration wait = std::max<duration>(target.scheduler.next_wake_time(now) - now,
                                             to_duration(0.001));
    const double wake = this->events.now() + to_seconds(wait);
    if (target.next_wake_at <= this->events.now() || wake < target.next_wake_at)
    {
        target.next_wake_at = wake;
        this->events.at(wake, [this, agent] { this->advance_scheduler(agent); });
    }
}

void policy_run::fail_agent(std::uint32_t agent)
{
    this->agents[agent].lost = true;
    if (!this->plan->list_frozen)
    {
        this->events.after(list_removal_delay,
                           [this, agent] { this->list_as_leaving(agent); });
    }
    std::vector<std::uint64_t> affected;
    for (auto& [number, request] : this->live_requests)
    {
        if (request.open && request.decode == agent)
        {
            affected.push_back(number);
        }
    }
    for (const std::uint64_t number : affected)
    {
        live_request& request = this->live_requests.at(number);
        if (request.decode_began_at >= 0 && this->events.now() > request.decode_began_at)
        {
            const double decoding_seconds = this->events.now() - request.decode_began_at;
            request.delivered = std::min(
                request.trace->output_tokens - 1,
                request.delivered_before_attempt + 1 +
                    static_cast<std::uint32_t>(decoding_seconds / this->plan->token_gap));
        }
        request.decode_began_at = -1;
        this->events.after(silence_timeout,
                           [this, &request, agent]
                           {
                               this->record_waste(request);
                               this->handle_refusal(request, "engine_lost",
                                                    this->agents[agent].vm);
                           });
    }
}

/// Marks an agent's VM as leaving in all entries, once the platform's list shows it.
void policy_run::list_as_leaving(std::uint32_t agent)
{
    for (modelled_entry& entry : this->entries)
    {
        entry.members.all[agent]->leaving = true;
    }
}

void policy_run::record_waste(live_request& request)
{
    this->outcome.wasted_prefill_tokens += request.computed;
    request.computed = 0;
}

void policy_run::release_slot(std::uint32_t agent, const live_request& request,
                              double used)
{
    this->agents[agent].scheduler.release(attempt_id_of(request), used);
    this->agents[agent].owners.erase(attempt_id_of(request));
    this->advance_scheduler(agent);
}

live_request* policy_run::find_request(std::uint32_t agent, const attempt_id& id)
{
    const auto found = this->agents[agent].owners.find(id);
    const auto owner = found == this->agents[agent].owners.end()
                           ? this->live_requests.end()
                           : this->live_requests.find(found->second);
    const bool current =
        owner != this->live_requests.end() && attempt_id_of(owner->second) == id;
    return current ? &owner->second : nullptr;
}

attempt_id policy_run::attempt_id_of(const live_request& request)
{
    return {"r" + std::to_string(request.trace->number), request.attempt};
}

/// Returns the latest time at which a request's decode may start.
double policy_run::latest_start(const live_request& request) const
{
    if (request.delivered > 0)
    {
        return this->plan->length + drain_seconds;
    }
    return request.trace->arrival + this->plan->policy.first_token_limit -
           this->plan->token_gap - this->transfer_time(request);
}

double policy_run::transfer_time(const live_request& request) const
{
    const bool crosses_domains =
        this->agents[request.prefill].domain != this->agents[request.decode].domain;
    return request.trace->prompt_tokens /
           (crosses_domains ? this->plan->crossing_rate : this->plan->link_rate);
}

double policy_run::delay(std::uint32_t left, std::uint32_t right) const
{
    return left == right ? hop_delay_seconds / 10 : hop_delay_seconds;
}

time_point policy_run::to_time_point(double when) const
{
    return this->events.now_time_point() + to_duration(when - this->events.now());
}

std::uint32_t policy_run::cached_blocks(const live_request& request) const
{
    std::uint32_t hits = 0;
    const modelled_agent& agent = this->agents[request.prefill];
    for (const std::uint64_t block : request.trace->blocks)
    {
        if (!agent.index.contains(block))
        {
            break;
        }
        ++hits;
    }
    return hits;
}

run_outcome run_agateseam(const scenario& plan, const std::vector<traced_request>& trace,
                          const policy_features& features, std::uint64_t seed)
{
    return policy_run(plan, trace, features, seed).run();
}

} // namespace agateseam::bench

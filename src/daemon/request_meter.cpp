#include <daemon/request_meter.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

/// At most 5 % of the token gaps of an answer may exceed the target.
constexpr std::uint32_t gaps_per_allowed_slow_gap = 20;

double seconds_between(time_point from, time_point to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

engine_usage read_engine_usage(const json& usage)
{
    engine_usage read;
    if (usage.is_object())
    {
        read.prompt_tokens = usage.value("prompt_tokens", std::uint64_t{0});
        const json details = usage.value("prompt_tokens_details", json::object());
        if (details.is_object())
        {
            read.cached_tokens = details.value("cached_tokens", std::uint64_t{0});
        }
    }
    return read;
}

request_meter::request_meter(process_telemetry& shared) noexcept
    : telemetry(&shared)
    , started_at(shared.time->now())
    , last_token_at(this->started_at)
{
}

void request_meter::record_event(event_kind kind, std::uint32_t attempt,
                                 std::string_view peer, std::int64_t value,
                                 std::string_view detail)
{
    this->telemetry->events.add(
        {kind, this->request, attempt, this->workspace, peer, value, detail});
}

void request_meter::record_admitted(std::string_view id, std::string_view owner,
                                    std::string_view served_by,
                                    const policy_config& targets, std::uint32_t prompt)
{
    this->request = id;
    this->workspace = owner;
    this->pool = served_by;
    this->policy = targets;
    this->prompt_tokens = prompt;
    this->in_progress = true;
    this->telemetry->metrics.admitted.add();
    this->record_event(event_kind::admitted, 0, {}, prompt);
}

void request_meter::record_sent(std::uint32_t attempt, std::string_view decode_vm,
                                std::uint32_t resume_from)
{
    if (attempt > 1)
    {
        this->telemetry->metrics.retried.add();
    }
    if (resume_from > 0)
    {
        this->telemetry->metrics.resumed.add();
        this->record_event(event_kind::resumed, attempt, decode_vm, resume_from);
    }
    this->record_event(event_kind::sent, attempt, decode_vm);
}

void request_meter::record_tokens(std::uint32_t count)
{
    const time_point now = this->telemetry->time->now();
    const double elapsed = seconds_between(this->last_token_at, now);
    if (this->delivered == 0)
    {
        this->first_token_seconds = elapsed;
        this->telemetry->metrics.first_token_seconds.add(elapsed);
        this->record_event(event_kind::first_token);
    }
    else
    {
        ++this->token_gaps;
        this->slow_token_gaps += elapsed > this->policy.token_gap_limit ? 1 : 0;
        this->telemetry->metrics.token_gap_seconds.add(elapsed);
    }
    this->last_token_at = now;
    this->delivered += count;
}

void request_meter::record_attempt_failed(std::uint32_t attempt, const error& fault)
{
    this->record_event(event_kind::attempt_failed, attempt, fault.peer, 0,
                       to_string(fault.code));
}

bool request_meter::meets_latency_targets() const noexcept
{
    return this->first_token_seconds <= this->policy.first_token_limit &&
           this->slow_token_gaps * gaps_per_allowed_slow_gap <= this->token_gaps;
}

void request_meter::charge(const engine_usage& usage, bool received)
{
    if (this->delivered == 0)
    {
        return;
    }
    usage_counters counters;
    if (!received)
    {
        counters.wasted_output_tokens = this->delivered;
        this->telemetry->metrics.wasted_output_tokens.add(this->delivered);
        this->telemetry->usage.add(this->workspace, this->pool, counters);
        return;
    }
    counters.requests = 1;
    counters.prompt_tokens =
        usage.prompt_tokens > 0 ? usage.prompt_tokens : this->prompt_tokens;
    counters.cached_tokens = usage.cached_tokens;
    counters.output_tokens = this->delivered;
    this->telemetry->usage.add(this->workspace, this->pool, counters);
    this->telemetry->metrics.output_tokens.add(this->delivered);
}

void request_meter::record_completed(const engine_usage& usage)
{
    if (!this->in_progress)
    {
        return;
    }
    this->in_progress = false;
    process_metrics& metrics = this->telemetry->metrics;
    const bool good = this->meets_latency_targets();
    metrics.whole.add();
    metrics.good.add(good ? 1 : 0);
    metrics.service_level.add(this->workspace, good, this->telemetry->time->now());
    this->charge(usage, true);
    this->record_event(event_kind::ended, 0, {}, this->delivered);
}

void request_meter::record_failed(error_code code, bool received)
{
    if (!this->in_progress)
    {
        return;
    }
    this->in_progress = false;
    process_metrics& metrics = this->telemetry->metrics;
    metrics.service_level.add(this->workspace, false, this->telemetry->time->now());
    if (received && this->delivered > 0)
    {
        metrics.cut.add();
    }
    else
    {
        metrics.refused[static_cast<std::size_t>(code)].add();
        metrics.refused_inside_rate.add();
    }
    this->charge({}, received);
    this->record_event(event_kind::refused, 0, {}, this->delivered, to_string(code));
}

void request_meter::record_cancelled(bool received)
{
    if (!this->in_progress)
    {
        return;
    }
    this->in_progress = false;
    this->telemetry->metrics.cancelled.add();
    this->charge({}, received);
    this->record_event(event_kind::cancelled, 0, {}, this->delivered);
}

void request_meter::record_refused(error_code code, std::string_view owner)
{
    this->telemetry->metrics.refused[static_cast<std::size_t>(code)].add();
    this->telemetry->events.add(
        {event_kind::refused, "", 0, owner, "", 0, to_string(code)});
}

} // namespace agateseam

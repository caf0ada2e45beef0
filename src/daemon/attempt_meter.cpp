#include <daemon/attempt_meter.hpp>

#include <charconv>

#include <daemon/request_meter.hpp>

namespace agateseam
{

attempt_meter::attempt_meter(process_telemetry& shared, const attempt_order& order)
    : telemetry(&shared)
    , request(order.id.request)
    , attempt(order.id.attempt)
    , workspace(order.workspace)
    , pool(shared.settings.backend.pool)
    , resumed(order.resume_from > 0)
{
}

void attempt_meter::record_event(event_kind kind, std::string_view peer,
                                 std::int64_t value, std::string_view detail)
{
    this->telemetry->events.add(
        {kind, this->request, this->attempt, this->workspace, peer, value, detail});
}

void attempt_meter::start_engine_timer() noexcept
{
    this->engine_started_at = this->telemetry->time->now();
}

std::uint64_t attempt_meter::engine_microseconds() const noexcept
{
    if (this->engine_started_at == time_point{})
    {
        return 0;
    }
    const duration elapsed = this->telemetry->time->now() - this->engine_started_at;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
}

http_header attempt_meter::engine_time_header() const
{
    return {std::string(headers::engine_time),
            std::to_string(this->engine_microseconds())};
}

void attempt_meter::record_prefill(const http_reply& reply, const nlohmann::json& usage)
{
    const std::string_view text = reply.header(headers::engine_time);
    std::from_chars(text.data(), text.data() + text.size(), this->prefill_microseconds);
    this->prompt_tokens = read_engine_usage(usage).prompt_tokens;
    this->telemetry->metrics.prefill_tokens.add(this->prompt_tokens);
    this->record_event(event_kind::transfer_begun);
}

void attempt_meter::record_cancelled()
{
    this->telemetry->metrics.cancelled_attempts.add();
    this->record_event(event_kind::cancelled, {},
                       static_cast<std::int64_t>(this->tokens));
}

void attempt_meter::charge(const usage_counters& counters)
{
    this->telemetry->usage.add(this->workspace, this->pool, counters);
}

void attempt_meter::end()
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    const bool received = this->tokens > 0;
    const bool prefill_wasted = !received || this->resumed;
    usage_counters counters;
    if (received)
    {
        counters.decode_microseconds = this->engine_microseconds();
        counters.link_bytes =
            this->prompt_tokens * this->telemetry->settings.backend.kv_bytes_per_token;
    }
    else
    {
        counters.wasted_microseconds = this->engine_microseconds();
    }
    if (prefill_wasted)
    {
        counters.wasted_microseconds += this->prefill_microseconds;
        counters.wasted_prompt_tokens = this->prompt_tokens;
        this->telemetry->metrics.wasted_prefill_tokens.add(this->prompt_tokens);
    }
    else
    {
        counters.prefill_microseconds = this->prefill_microseconds;
    }
    this->telemetry->metrics.decoded_tokens.add(this->tokens);
    this->charge(counters);
}

void attempt_meter::record_lost_prefill(std::uint64_t prompt)
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    usage_counters counters;
    counters.wasted_prompt_tokens = prompt;
    counters.wasted_microseconds = this->engine_microseconds();
    this->telemetry->metrics.prefill_tokens.add(prompt);
    this->telemetry->metrics.wasted_prefill_tokens.add(prompt);
    this->charge(counters);
    this->record_event(event_kind::prefill_lost, {}, static_cast<std::int64_t>(prompt));
}

} // namespace agateseam

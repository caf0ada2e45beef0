#include <gateway/request_scope.hpp>

#include <algorithm>
#include <cstdio>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// A plain request has ended by then or won't succeed.
constexpr auto max_plain_duration = 1'500ms;
/// A request waits for at most this part of the time that its caller gives it. Then it is
/// refused, with enough time left for the caller to come back.
constexpr int max_wait_divisor = 3;
/// A request waits for at most this many times its target latency. Callers who have got
/// nothing by four times of it leave, and then have waited in vain.
constexpr int max_wait_target_factor = 3;
constexpr auto stopping_retry_after = 50ms;
/// Callers that were refused during a rest come back within as long as was left of it,
/// but at least and at most these times, after its end.
constexpr auto min_return_spread = 50ms;
constexpr auto max_return_spread = 500ms;
/// Retry-After of a request whose block gets no further trial.
constexpr auto blocked_retry_after = 600s;
constexpr auto min_blocked_retry_after = 1s;
constexpr local_answer unknown_outcome{
    status_bad_gateway, "answer_lost", execution_state::unknown, {}};

} // namespace

bool request_scope::is_model_request() const
{
    const service_properties* properties = this->routing->service(this->service);
    return properties != nullptr && properties->engine &&
           this->metadata.declares_tokens && this->route->rule == repeat_rule::stream;
}

time_point request_scope::max_wait_end(time_point since) const
{
    if (this->possible_runs > 0)
    {
        // Its caller has a part of the answer and can't begin anew elsewhere.
        return this->deadline;
    }
    return since +
           std::min<duration>((this->deadline - since) / max_wait_divisor,
                              this->route->target_latency * max_wait_target_factor);
}

void request_scope::record_pace_wait(std::string_view waited_for, time_point since) const
{
    this->state->counters.add("agateseam_paced_waits_total");
    log_line(log_level::info, "waited for pace",
             {{"request", this->metadata.id},
              {"server", waited_for},
              {"waited_ms", whole_milliseconds(boot_now() - since)}});
}

std::string_view request_scope::withheld_reason(const backend_server& withheld_at) const
{
    const time_point now = boot_now();
    return this->part_block_in_force() != nullptr ? "blocked"
           : !this->state->accepts_work(withheld_at)
               ? this->state->refusal_reason(withheld_at)
           : this->state->is_paced(withheld_at.id, now) ? "paced"
                                                        : "accepts no work";
}

bool request_scope::has_server_in_region(bool decodes) const
{
    if (!this->region.is_restricted())
    {
        return true;
    }
    const auto& servers = this->state->servers_of(this->service);
    return std::any_of(servers.begin(), servers.end(),
                       [this, decodes](const auto& candidate)
                       {
                           return this->region.allows(*candidate) &&
                                  (!decodes || candidate->stage != engine_stage::prefill);
                       });
}

duration request_scope::expected_duration() const
{
    if (!this->is_model_request())
    {
        return std::min<duration>(this->route->timeout, max_plain_duration);
    }
    const engine_service& engines = this->state->engines(this->service);
    return engines.latency.expected_duration(std::min(
        this->metadata.output_tokens, engines.output_lengths.likely_max_output(
                                          this->metadata.expected_output.value_or(0))));
}

bool request_scope::may_not_start(time_point now) const
{
    return this->possible_runs == 0 && this->state->stop &&
           !this->state->stop->may_send(now, this->expected_duration());
}

const part_block* request_scope::part_block_in_force() const
{
    return this->is_trial ? nullptr
                          : this->state->quarantine.blocked(this->parts.keys, boot_now());
}

void request_scope::record_crash(const backend_server& crashed, bool without_event) const
{
    this->state->quarantine.record_crash(
        this->parts, name_key(crashed.id + "/" + std::to_string(crashed.born_ms)),
        without_event, boot_now());
    this->state->returning.record_crash(crashed, boot_now());
    this->state->digest_due.notify();
    std::string keys;
    for (const name_key part : this->parts.keys)
    {
        keys += (keys.empty() ? "" : ",") + to_hex(part);
    }
    log_line(log_level::info, "server lost before answer",
             {{"request", this->metadata.id},
              {"server", crashed.id},
              {"parts", keys},
              {"without_event", without_event},
              {"output_tokens", this->output_tokens}});
}

bool request_scope::is_key_valid() const
{
    if (this->workspace == nullptr)
    {
        return true;
    }
    const workspace_limits* owner =
        this->state->routing->workspace_for_key(this->metadata.key);
    return owner != nullptr && owner->name == this->workspace->name;
}

bool request_scope::may_arrive()
{
    return this->arrivals.is_covered() || this->reserve_repeat();
}

bool request_scope::reserve_repeat()
{
    const bool is_taken = this->state->ledger.try_take_repeat(this->service, boot_now());
    if (is_taken)
    {
        this->arrivals.add_repeat();
        return true;
    }
    this->state->counters.add("agateseam_repeats_denied_total");
    log_line(log_level::info, "repeat denied",
             {{"request", this->metadata.id},
              {"server", this->server},
              {"reason", "no repeat left"},
              {"step", this->step},
              {"arrivals", std::int64_t{this->arrivals.count()}},
              {"repeats_taken", std::int64_t{this->arrivals.repeats_taken()}}});
    return false;
}

void request_scope::return_unused_repeat()
{
    if (this->arrivals.remove_unused_repeat())
    {
        this->state->ledger.return_repeat(this->service, boot_now());
    }
}

void request_scope::return_spare_repeats()
{
    while (this->arrivals.remove_spare_repeat())
    {
        this->state->ledger.return_repeat(this->service, boot_now());
    }
}

void request_scope::refund_charged_tokens()
{
    if (this->workspace != nullptr && this->charged_tokens > 0)
    {
        this->state->ledger.refund_tokens(this->workspace->name, this->charged_tokens,
                                          boot_now());
        this->charged_tokens = 0;
    }
}

local_answer make_stopping_answer() noexcept
{
    return {status_unavailable, "stopping", execution_state::not_run,
            duration(stopping_retry_after)};
}

local_answer make_region_answer() noexcept
{
    return {status_unavailable, "no_server_in_region", execution_state::not_run, {}};
}

local_answer make_resting_answer(request_scope& scope, duration rest_left)
{
    const duration spread =
        std::clamp<duration>(rest_left, min_return_spread, max_return_spread);
    const auto spread_ms = static_cast<std::uint32_t>(whole_milliseconds(spread));
    const duration retry_after =
        rest_left + std::chrono::milliseconds(scope.state->random(spread_ms));
    log_line(log_level::info, "all servers rest",
             {{"request", scope.metadata.id},
              {"service", scope.service},
              {"rest_ms", whole_milliseconds(rest_left)}});
    return {status_unavailable, "servers_rest", execution_state::not_run, retry_after};
}

local_answer make_blocked_answer(const request_scope& scope, const part_block& block)
{
    const duration retry_after =
        scope.state->quarantine.time_to_trial(block.key(), boot_now())
            .value_or(duration(blocked_retry_after));
    scope.state->counters.add("agateseam_blocked_requests_total");
    log_line(log_level::info, "request has blocked parts",
             {{"request", scope.metadata.id}, {"block", to_hex(block.key())}});
    return {status_unavailable,
            scope.is_model_request() ? "prompt_part_blocked" : "request_blocked",
            execution_state::not_run,
            std::max<duration>(retry_after, min_blocked_retry_after)};
}

task<void> send_local_answer(request_scope& scope, local_answer answer)
{
    if (answer.execution == execution_state::not_run && scope.possible_runs > 0)
    {
        log_line(log_level::warning, "request may have run",
                 {{"request", scope.metadata.id},
                  {"reason", answer.reason},
                  {"status", std::int64_t{answer.status}}});
        answer = unknown_outcome;
    }
    scope.outcome = answer.reason;
    scope.status = answer.status;
    scope.run_statement =
        answer.execution == execution_state::not_run ? "not_run" : "unknown";
    if (answer.execution == execution_state::not_run)
    {
        scope.refund_charged_tokens();
    }
    caller_answer_head head;
    head.status = answer.status;
    head.fields.push_back({"Content-Type", "application/json"});
    if (answer.retry_after > duration::zero())
    {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f",
                      std::chrono::duration<double>(answer.retry_after).count());
        head.fields.push_back({"Retry-After", seconds});
    }
    std::string body = R"({"error":{"code":")";
    body += answer.reason;
    body += R"(","run":")";
    body += scope.run_statement;
    body += "\"}}";
    co_await scope.exchange->answer(std::move(head), std::move(body));
}

std::chrono::milliseconds time_left(const request_scope& scope)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(scope.deadline -
                                                                 boot_now()) -
           reply_margin;
}

void record_observation(entry_state& state, const std::string& server,
                        server_observation observation, duration elapsed)
{
    state.health.begin(server);
    state.returning.end_attempt(server, observation, elapsed, boot_now());
}

void log_failure(const request_scope& scope, std::string_view event,
                 std::string_view server, std::string_view reason, int status)
{
    log_line(log_level::info, event,
             {{"request", scope.metadata.id},
              {"server", server},
              {"reason", reason},
              {"status", std::int64_t{status}}});
}

caller_answer_head make_relayed_head(const message_head& head)
{
    caller_answer_head relayed;
    relayed.status = head.status;
    const std::string_view connection = head.field("Connection");
    for (const header_field& field : head.fields)
    {
        if (!is_hop_by_hop_header(field.name, connection) &&
            !equals_ignoring_case(field.name, "Content-Length"))
        {
            relayed.fields.push_back(field);
        }
    }
    return relayed;
}

task<void> relay_answer(request_scope& scope, const message_head& head, std::string body)
{
    if (status_implies_not_run(head.status))
    {
        co_await send_local_answer(scope, unknown_outcome);
        co_return;
    }
    scope.status = head.status;
    caller_answer_head relayed = make_relayed_head(head);
    const std::string_view length = head.field("Content-Length");
    if (scope.exchange->request().head.method == "HEAD" && !length.empty())
    {
        relayed.fields.push_back({"Content-Length", std::string(length)});
    }
    co_await scope.exchange->answer(std::move(relayed), std::move(body));
}

} // namespace agateseam

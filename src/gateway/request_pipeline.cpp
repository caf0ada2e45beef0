#include <gateway/request_pipeline.hpp>

#include <algorithm>

#include <gateway/model_call.hpp>
#include <gateway/plain_call.hpp>
#include <gateway/usage_recorder.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Assumed for a caller that doesn't state how long it waits.
constexpr auto default_max_wait = 30'000ms;
/// Retry-After time before the first configuration, which takes at most a second to read.
constexpr auto no_configuration_retry_after = 1'000ms;
constexpr auto min_retry_after = 50ms;
/// A plain request has ended by then or won't succeed.
constexpr auto max_plain_duration = 1'500ms;

/// Returns what a request counts against its workspace's allowance.
double allowance_cost(const workspace_limits& workspace, const request_metadata& metadata)
{
    if (!workspace.counts_tokens)
    {
        return 1;
    }
    return metadata.declares_tokens
               ? static_cast<double>(metadata.prompt_tokens + metadata.output_tokens)
               : workspace.default_tokens;
}

} // namespace

task<void> request_pipeline::handle(caller_exchange& exchange)
{
    const time_point started_at = boot_now();
    request_scope scope;
    scope.state = this->state;
    scope.exchange = &exchange;
    ++this->open_requests;
    co_await this->serve(scope);
    --this->open_requests;
    this->record_end(scope, started_at);
    add_request_usage(scope);
}

task<void> request_pipeline::serve(request_scope& scope)
{
    const caller_request& request = scope.exchange->request();
    auto metadata = this->state->dialect->read_request(request.head);
    if (!metadata)
    {
        co_await send_local_answer(
            scope, {status_bad_request, "bad_request", execution_state::not_run, {}});
        co_return;
    }
    scope.metadata = std::move(*metadata);
    scope.routing = this->state->routing;
    if (!scope.routing || !this->state->backends)
    {
        co_await send_local_answer(scope, {status_unavailable, "no_configuration_yet",
                                           execution_state::not_run,
                                           duration(no_configuration_retry_after)});
        co_return;
    }
    if (const auto refusal = this->authenticate(scope))
    {
        co_await send_local_answer(scope, *refusal);
        co_return;
    }
    const milliseconds max_wait = scope.metadata.max_wait.value_or(default_max_wait);
    const milliseconds timeout =
        scope.route->timeout > milliseconds(0) ? scope.route->timeout : max_wait;
    scope.deadline = request.arrived + std::min(max_wait, timeout);
    scope.service = std::string(scope.route->service_for(scope.metadata.id));
    if (!this->ends_before_stop(scope))
    {
        co_await send_local_answer(scope,
                                   {status_unavailable, "stopping",
                                    execution_state::not_run, duration(min_retry_after)});
        co_return;
    }
    if (const auto refusal = this->admit(scope))
    {
        co_await send_local_answer(scope, *refusal);
        co_return;
    }
    this->state->ledger.add_repeat_credit(scope.service, boot_now());
    if (scope.is_model_request())
    {
        co_await run_model_call(scope);
    }
    else
    {
        co_await run_plain_call(scope);
    }
}

std::optional<local_answer> request_pipeline::authenticate(request_scope& scope) const
{
    const caller_request& request = scope.exchange->request();
    const routing_table& routing = *scope.routing;
    scope.route = routing.route_for(request.head.field("Host"), request.path());
    if (scope.route == nullptr)
    {
        return local_answer{status_not_found, "no_route", execution_state::not_run, {}};
    }
    const bool needs_key = !scope.route->open && !routing.workspaces().empty();
    if (needs_key)
    {
        scope.workspace = routing.workspace_for_key(scope.metadata.key);
    }
    if (needs_key && scope.workspace == nullptr)
    {
        return local_answer{
            status_unauthorized, "unknown_key", execution_state::not_run, {}};
    }
    return std::nullopt;
}

/// Tells whether a request is likely to end before this process exits.
bool request_pipeline::ends_before_stop(const request_scope& scope) const
{
    if (!this->state->draining)
    {
        return true;
    }
    const auto plain_time = std::min<duration>(scope.route->timeout, max_plain_duration);
    duration expected_time = plain_time;
    if (scope.is_model_request())
    {
        const engine_service& engines = this->state->engines(scope.service);
        expected_time = engines.latency.expected_duration(
            std::min(scope.metadata.output_tokens,
                     engines.output_lengths.likely_max_output(
                         scope.metadata.expected_output.value_or(0))));
    }
    return boot_now() + expected_time < this->state->drain_deadline;
}

std::optional<local_answer> request_pipeline::admit(request_scope& scope)
{
    if (scope.workspace == nullptr)
    {
        return std::nullopt;
    }
    const time_point now = boot_now();
    const double cost = allowance_cost(*scope.workspace, scope.metadata);
    fleet_ledger& ledger = this->state->ledger;
    if (ledger.try_take_tokens(scope.workspace->name, cost, now))
    {
        scope.charged_tokens = cost;
        return std::nullopt;
    }
    const duration wait = ledger.time_until_tokens(scope.workspace->name, cost, now);
    const fleet_view view = ledger.view(now);
    log_line(log_level::info, "over allowance",
             {{"request", scope.metadata.id},
              {"workspace", scope.workspace->name},
              {"tokens", cost},
              {"left", ledger.remaining_tokens(scope.workspace->name, now)},
              {"wait_ms", std::chrono::duration_cast<milliseconds>(wait).count()},
              {"heard", std::int64_t{view.reachable_entries}},
              {"entries", std::int64_t{view.known_entries}}});
    return local_answer{status_too_many_requests, "over_allowance",
                        execution_state::not_run,
                        std::max<duration>(wait, min_retry_after)};
}

caller_limits request_pipeline::limits() const
{
    return this->state->routing ? this->state->routing->limits() : caller_limits{};
}

void request_pipeline::refused(int status, std::string_view reason)
{
    this->state->counters.add("agateseam_malformed_requests_total");
    log_line(log_level::info, "request refused before reading",
             {{"status", std::int64_t{status}}, {"reason", reason}});
}

void request_pipeline::record_end(const request_scope& scope, time_point started_at)
{
    const duration elapsed = boot_now() - started_at;
    this->state->counters.add("agateseam_requests_total{outcome=\"" + scope.outcome +
                              "\"}");
    this->state->counters.observe("agateseam_request_ms", elapsed);
    const auto milliseconds_of = [](duration span)
    { return std::chrono::duration_cast<milliseconds>(span).count(); };
    log_line(log_level::info, "request",
             {{"request", scope.metadata.id},
              {"workspace", scope.workspace_name()},
              {"route", scope.route == nullptr ? std::string_view{}
                                               : std::string_view(scope.route->name)},
              {"outcome", scope.outcome},
              {"server", scope.server},
              {"attempts", std::int64_t{scope.attempts}},
              {"waited_ms", milliseconds_of(scope.queue_time)},
              {"first_event_ms", milliseconds_of(scope.time_to_first_event)},
              {"longest_gap_ms", milliseconds_of(scope.longest_gap)},
              {"took_ms", milliseconds_of(elapsed)},
              {"prompt_tokens", scope.metadata.prompt_tokens},
              {"output_tokens", scope.output_tokens},
              {"expected_output", scope.metadata.expected_output.value_or(0)},
              {"configuration", scope.routing
                                    ? static_cast<std::int64_t>(scope.routing->version())
                                    : std::int64_t{0}}});
}

} // namespace agateseam

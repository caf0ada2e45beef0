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

/// Assumed for a caller that doesn't say how long it waits.
constexpr auto usual_patience = 30'000ms;
/// Until the first configuration is there, a second is what reading it takes at most.
constexpr auto before_configuration = 1'000ms;
constexpr auto shortest_retry = 50ms;
/// A plain request is over by then, or hopeless.
constexpr auto longest_plain = 1'500ms;

/// Returns what a request counts against its workspace's allowance.
double cost_of(const workspace_limits& workspace, const request_facts& facts)
{
    if (!workspace.counts_tokens)
    {
        return 1;
    }
    return facts.declares_tokens
               ? static_cast<double>(facts.prompt_tokens + facts.output_tokens)
               : workspace.default_tokens;
}

} // namespace

task<void> request_pipeline::handle(caller_exchange& exchange)
{
    const time_point begun = boot_now();
    request_scope scope;
    scope.state = this->state;
    scope.exchange = &exchange;
    ++this->open_requests;
    co_await this->serve(scope);
    --this->open_requests;
    this->log_end(scope, begun);
    count_usage(scope);
}

task<void> request_pipeline::serve(request_scope& scope)
{
    const caller_request& request = scope.exchange->request();
    auto facts = this->state->dialect->read_request(request.head);
    if (!facts)
    {
        co_await answer_with(scope,
                             {status_bad_request, "bad_request", run_word::not_run, {}});
        co_return;
    }
    scope.facts = std::move(*facts);
    scope.routing = this->state->routing;
    if (!scope.routing || !this->state->backends)
    {
        co_await answer_with(scope, {status_unavailable, "no_configuration_yet",
                                     run_word::not_run, duration(before_configuration)});
        co_return;
    }
    if (const auto refusal = this->authenticate(scope))
    {
        co_await answer_with(scope, *refusal);
        co_return;
    }
    const milliseconds patience = scope.facts.patience.value_or(usual_patience);
    const milliseconds timeout =
        scope.route->timeout > milliseconds(0) ? scope.route->timeout : patience;
    scope.until = request.arrived + std::min(patience, timeout);
    scope.service = std::string(scope.route->service_for(scope.facts.id));
    if (!this->ends_before_stop(scope))
    {
        co_await answer_with(scope, {status_unavailable, "stopping", run_word::not_run,
                                     duration(shortest_retry)});
        co_return;
    }
    if (const auto refusal = this->admit(scope))
    {
        co_await answer_with(scope, *refusal);
        co_return;
    }
    this->state->ledger.add_repeat_credit(scope.service, boot_now());
    if (scope.is_model())
    {
        co_await run_model_call(scope);
    }
    else
    {
        co_await run_plain_call(scope);
    }
}

std::optional<own_answer> request_pipeline::authenticate(request_scope& scope) const
{
    const caller_request& request = scope.exchange->request();
    const routing_table& routing = *scope.routing;
    scope.route = routing.route_for(request.head.field("Host"), request.path());
    if (scope.route == nullptr)
    {
        return own_answer{status_not_found, "no_route", run_word::not_run, {}};
    }
    const bool needs_key = !scope.route->open && !routing.workspaces().empty();
    if (needs_key)
    {
        scope.workspace = routing.workspace_for_key(scope.facts.key);
    }
    if (needs_key && scope.workspace == nullptr)
    {
        return own_answer{status_unauthorized, "unknown_key", run_word::not_run, {}};
    }
    return std::nullopt;
}

/// Tells whether a request is likely to end before this process does.
bool request_pipeline::ends_before_stop(const request_scope& scope) const
{
    if (!this->state->draining)
    {
        return true;
    }
    const auto plain = std::min<duration>(scope.route->timeout, longest_plain);
    duration work = plain;
    if (scope.is_model())
    {
        const engine_service& engines = this->state->engines(scope.service);
        work = engines.pace.expected_duration(std::min(
            scope.facts.output_tokens,
            engines.outputs.likely_max_output(scope.facts.expected_output.value_or(0))));
    }
    return boot_now() + work < this->state->drain_until;
}

std::optional<own_answer> request_pipeline::admit(request_scope& scope)
{
    if (scope.workspace == nullptr)
    {
        return std::nullopt;
    }
    const time_point now = boot_now();
    const double cost = cost_of(*scope.workspace, scope.facts);
    fleet_ledger& ledger = this->state->ledger;
    if (ledger.try_take_tokens(scope.workspace->name, cost, now))
    {
        scope.tokens = cost;
        return std::nullopt;
    }
    const duration wait = ledger.time_until_tokens(scope.workspace->name, cost, now);
    const fleet_view view = ledger.view(now);
    log_line(log_level::info, "over allowance",
             {{"request", scope.facts.id},
              {"workspace", scope.workspace->name},
              {"tokens", cost},
              {"left", ledger.remaining_tokens(scope.workspace->name, now)},
              {"wait_ms", std::chrono::duration_cast<milliseconds>(wait).count()},
              {"heard", std::int64_t{view.reachable_entries}},
              {"entries", std::int64_t{view.known_entries}}});
    return own_answer{status_too_many, "over_allowance", run_word::not_run,
                      std::max<duration>(wait, shortest_retry)};
}

caller_limits request_pipeline::limits() const
{
    return this->state->routing ? this->state->routing->limits() : caller_limits{};
}

void request_pipeline::refused(int status, std::string_view reason)
{
    this->state->counters.add("agateseam_malformed_requests_total");
    log_line(log_level::info, "request refused unread",
             {{"status", std::int64_t{status}}, {"reason", reason}});
}

void request_pipeline::log_end(const request_scope& scope, time_point begun)
{
    const duration took = boot_now() - begun;
    this->state->counters.add("agateseam_requests_total{outcome=\"" + scope.outcome +
                              "\"}");
    this->state->counters.observe("agateseam_request_ms", took);
    const auto milliseconds_of = [](duration span)
    { return std::chrono::duration_cast<milliseconds>(span).count(); };
    log_line(log_level::info, "request",
             {{"request", scope.facts.id},
              {"workspace", scope.workspace_name()},
              {"route", scope.route == nullptr ? std::string_view{}
                                               : std::string_view(scope.route->name)},
              {"outcome", scope.outcome},
              {"server", scope.server},
              {"attempts", std::int64_t{scope.attempts}},
              {"waited_ms", milliseconds_of(scope.waited)},
              {"first_event_ms", milliseconds_of(scope.first_event)},
              {"longest_gap_ms", milliseconds_of(scope.longest_gap)},
              {"took_ms", milliseconds_of(took)},
              {"prompt_tokens", scope.facts.prompt_tokens},
              {"output_tokens", scope.output_tokens},
              {"expected_output", scope.facts.expected_output.value_or(0)},
              {"configuration", scope.routing
                                    ? static_cast<std::int64_t>(scope.routing->version())
                                    : std::int64_t{0}}});
}

} // namespace agateseam

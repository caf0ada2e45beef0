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

/// Lines about single requests that a stop writes; their number is in `stopped`.
constexpr std::size_t max_cut_request_lines = 100;

/// Lists a request as open until it is destroyed.
class open_request_guard
{
  public:
    open_request_guard(std::unordered_set<request_scope*>& list, request_scope& scope)
        : open_requests(&list)
        , request(&scope)
    {
        this->open_requests->insert(this->request);
    }

    ~open_request_guard() { this->open_requests->erase(this->request); }
    open_request_guard(const open_request_guard&) = delete;
    open_request_guard& operator=(const open_request_guard&) = delete;

  private:
    std::unordered_set<request_scope*>* open_requests;
    request_scope* request;
};

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

/// Records that a request was refused or broken off because the process held too much.
void note_release(request_scope& scope)
{
    if (scope.exchange->refused())
    {
        scope.outcome = "overloaded";
        scope.status = status_unavailable;
        scope.run_statement = "not_run";
        scope.refund_charged_tokens();
    }
    else if (scope.exchange->broken_off())
    {
        scope.outcome = "broken_off";
    }
}

/// Returns the key that a request has each time that its caller sends it.
name_key request_key(const request_scope& scope)
{
    const caller_request& request = scope.exchange->request();
    std::string text = request.head.method + " " + request.head.target + " ";
    text += scope.workspace_name();
    text += " " + to_hex(name_key(std::string_view(*request.body)));
    return name_key(text);
}

} // namespace

task<void> request_pipeline::handle(caller_exchange& exchange)
{
    const time_point started_at = boot_now();
    request_scope scope;
    scope.state = this->state;
    scope.exchange = &exchange;
    {
        const open_request_guard guard(this->open_requests, scope);
        co_await this->serve(scope);
    }
    note_release(scope);
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
    if (!this->takes(scope))
    {
        co_await send_local_answer(scope, make_stopping_answer());
        co_return;
    }
    scope.region =
        region_filter(this->state->settings.regions, scope.route->allowed_regions,
                      scope.workspace == nullptr ? std::vector<std::string>{}
                                                 : scope.workspace->allowed_regions);
    if (!scope.has_server_in_region(scope.is_model_request()))
    {
        co_await send_local_answer(scope, make_region_answer());
        co_return;
    }
    scope.parts = request_parts::create(request_key(scope), scope.metadata.shared_parts);
    const part_block* block = scope.part_block_in_force();
    if (block != nullptr && !this->may_claim_trial(scope, *block))
    {
        co_await send_local_answer(scope, make_blocked_answer(scope, *block));
        co_return;
    }
    if (const auto refusal = this->admit(scope))
    {
        co_await send_local_answer(scope, *refusal);
        co_return;
    }
    this->state->ledger.add_repeat_credit(scope.service, boot_now());
    co_await this->claim_trial(scope);
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

/// Tells whether a trial of a block is due and a server may be used for it.
bool request_pipeline::may_claim_trial(const request_scope& scope,
                                       const part_block& block) const
{
    const time_point now = boot_now();
    const auto& servers = this->state->servers_of(scope.service);
    return this->state->quarantine.is_trial_due(block.key(), now) &&
           std::any_of(servers.begin(), servers.end(),
                       [this, &scope, now](const auto& server) {
                           return scope.region.allows(*server) &&
                                  this->state->health.allowed(server->id, now);
                       });
}

/// Makes a blocked request the trial of its block, if one is due.
task<void> request_pipeline::claim_trial(request_scope& scope)
{
    const part_block* block = scope.part_block_in_force();
    if (block == nullptr || !this->may_claim_trial(scope, *block))
    {
        co_return;
    }
    scope.is_trial = co_await this->state->claim_trial(*block);
}

/// Tells whether the process takes the request, which it may not when it stops.
bool request_pipeline::takes(const request_scope& scope)
{
    if (!this->state->stop)
    {
        return true;
    }
    const stop_schedule& stop = *this->state->stop;
    const time_point now = boot_now();
    const duration expected_time = scope.expected_duration();
    const bool accepted = stop.accepts(now, scope.deadline, expected_time);
    this->state->counters.add(
        std::string("agateseam_requests_while_stopping_total{decision=\"") +
        (accepted ? "accepted" : "refused") + "\"}");
    log_line(log_level::info, "request while stopping",
             {{"request", scope.metadata.id},
              {"accepted", accepted},
              {"since_stop_ms", whole_milliseconds(now - stop.started_at())},
              {"left_ms", whole_milliseconds(stop.ends_at() - now)},
              {"expected_ms", whole_milliseconds(expected_time)},
              {"limit_ms", whole_milliseconds(scope.deadline - now)}});
    return accepted;
}

std::size_t request_pipeline::interrupt_open_requests()
{
    const time_point now = boot_now();
    for (request_scope* scope : this->open_requests)
    {
        scope->deadline = std::min(scope->deadline, now);
        scope->exchange->interrupt();
    }
    return this->open_requests.size();
}

void request_pipeline::log_cut_requests() const
{
    const time_point now = boot_now();
    std::size_t lines = 0;
    for (const request_scope* scope : this->open_requests)
    {
        if (++lines > max_cut_request_lines)
        {
            break;
        }
        const time_point arrived = scope->exchange->request().arrived;
        log_line(
            log_level::warning, "request cut by the stop",
            {{"request", scope->metadata.id},
             {"route", scope->route == nullptr ? std::string_view{}
                                               : std::string_view(scope->route->name)},
             {"server", scope->server},
             {"step", scope->step},
             {"since_stop_ms",
              whole_milliseconds(arrived - this->state->stop->started_at())},
             {"took_ms", whole_milliseconds(now - arrived)},
             {"output_tokens", scope->output_tokens},
             {"caller_gone", scope->exchange->disconnected()}});
    }
}

void request_pipeline::abort_open_requests()
{
    for (request_scope* scope : this->open_requests)
    {
        scope->exchange->abort();
    }
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
              {"wait_ms", whole_milliseconds(wait)},
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
    this->state->counters.add(status == status_unavailable
                                  ? "agateseam_overloaded_requests_total"
                                  : "agateseam_malformed_requests_total");
    log_line(log_level::info, "request refused before reading",
             {{"status", std::int64_t{status}}, {"reason", reason}});
}

void request_pipeline::record_end(const request_scope& scope, time_point started_at)
{
    const duration elapsed = boot_now() - started_at;
    this->state->counters.add("agateseam_requests_total{outcome=\"" + scope.outcome +
                              "\"}");
    this->state->counters.observe("agateseam_request_ms", elapsed);
    log_line(log_level::info, "request",
             {{"request", scope.metadata.id},
              {"workspace", scope.workspace_name()},
              {"route", scope.route == nullptr ? std::string_view{}
                                               : std::string_view(scope.route->name)},
              {"outcome", scope.outcome},
              {"status", std::int64_t{scope.status}},
              {"run", scope.run_statement},
              {"server", scope.server},
              {"attempts", std::int64_t{scope.attempts}},
              {"waited_ms", whole_milliseconds(scope.queue_time)},
              {"first_event_ms", whole_milliseconds(scope.time_to_first_event)},
              {"longest_gap_ms", whole_milliseconds(scope.longest_gap)},
              {"took_ms", whole_milliseconds(elapsed)},
              {"prompt_tokens", scope.metadata.prompt_tokens},
              {"output_tokens", scope.output_tokens},
              {"expected_output", scope.metadata.expected_output.value_or(0)},
              {"configuration", scope.routing
                                    ? static_cast<std::int64_t>(scope.routing->version())
                                    : std::int64_t{0}}});
}

} // namespace agateseam

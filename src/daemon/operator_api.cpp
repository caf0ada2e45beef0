#include <daemon/entry_context.hpp>

#include <charconv>
#include <thread>

#include <nlohmann/json.hpp>

#include <agateseam/impl/config_index.hpp>
#include <daemon/api_error.hpp>
#include <daemon/operator_reports.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view json_patch_type = "application/json-patch+json";
constexpr int status_conflict = 409;
constexpr std::chrono::milliseconds first_retry_delay{50};
constexpr std::chrono::milliseconds max_retry_delay{400};
constexpr std::chrono::milliseconds drain_timeout{2'000};

bool is_operator(const entry_context& context, const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    return header.starts_with(scheme) &&
           constant_time_equal(header.substr(scheme.size()),
                               context.settings.operator_token);
}

void respond_json(http_exchange& exchange, int status, const json& body)
{
    exchange.respond(status, {{"Content-Type", "application/json"}},
                     body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void refuse(http_exchange& exchange, const error& fault, run_state run)
{
    respond(exchange, to_api_error(fault, run));
}

void respond_state(http_exchange& exchange, const config_state& state,
                   std::uint64_t number)
{
    const json document = state.document.empty() ? json() : json::parse(state.document);
    respond_json(exchange, 200, {{"number", number}, {"document", document}});
}

/// Answers with the current number and the paths that changed since the number that the
/// patch was made against.
void respond_stale(http_exchange& exchange, const patch_outcome& outcome)
{
    std::string message =
        "the configuration is now at number " + std::to_string(outcome.number);
    for (std::size_t index = 0; index < outcome.changed.size(); ++index)
    {
        message += (index == 0 ? "; changed since: " : ", ") + outcome.changed[index];
    }
    respond_json(exchange, status_conflict,
                 {{"error",
                   {{"message", message},
                    {"type", "invalid_request_error"},
                    {"code", "conflict"},
                    {"param", nullptr},
                    {"step", "patch configuration"},
                    {"run", to_string(run_state::not_run)}}},
                  {"number", outcome.number},
                  {"changed", outcome.changed},
                  {"changed_known", outcome.changed_known}});
}

void get_config(entry_context& context, http_exchange& exchange)
{
    const auto state = context.configs->read();
    if (!state)
    {
        refuse(exchange, state.error(), run_state::not_run);
        return;
    }
    respond_state(exchange, *state, state->number);
}

void get_history(entry_context& context, http_exchange& exchange)
{
    const auto state = context.configs->read();
    if (!state)
    {
        refuse(exchange, state.error(), run_state::not_run);
        return;
    }
    json changes = json::array();
    for (const config_change& change : state->history)
    {
        changes.push_back(impl::to_json(change));
    }
    respond_json(exchange, 200, {{"number", state->number}, {"changes", changes}});
}

/// Answers with the number of the configuration in force at this entry, which may be
/// older than the store's.
void get_state(const entry_context& context, http_exchange& exchange)
{
    const auto view = context.board.config.read();
    respond_json(exchange, 200, {{"number", view ? view->current.number : 0}});
}

result<config_patch> read_patch(entry_context& context, const http_request& request)
{
    const std::string text = request.query_argument("against");
    config_patch patch;
    const auto end =
        std::from_chars(text.data(), text.data() + text.size(), patch.expected_number);
    if (end.ec != std::errc{} || end.ptr != text.data() + text.size())
    {
        return fail(error_code::invalid, "patch configuration", "",
                    "the query must say against=NUMBER");
    }
    patch.id = request.header("x-patch-id");
    if (patch.id.empty())
    {
        patch.id = context.next_request_id();
    }
    patch.note = request.header("x-patch-note");
    patch.format = request.header("Content-Type").starts_with(json_patch_type)
                       ? patch_format::json_patch
                       : patch_format::merge_patch;
    patch.text = request.body;
    return patch;
}

/// Applies a patch, and retries briefly while the store is unavailable, since then
/// the patch certainly did not take effect.
result<patch_outcome> patch_with_retries(config_store& configs, const config_patch& patch)
{
    auto outcome = configs.patch(patch);
    for (auto wait = first_retry_delay;
         !outcome && outcome.error().code == error_code::unavailable &&
         wait <= max_retry_delay;
         wait *= 2)
    {
        std::this_thread::sleep_for(wait);
        outcome = configs.patch(patch);
    }
    return outcome;
}

void patch_config(entry_context& context, http_exchange& exchange)
{
    const auto patch = read_patch(context, exchange.request());
    const auto outcome = patch ? patch_with_retries(*context.configs, *patch)
                               : tl::unexpected<error>(patch.error());
    if (!outcome)
    {
        const bool unknown = outcome.error().code == error_code::timeout;
        refuse(exchange, outcome.error(),
               unknown ? run_state::unknown : run_state::not_run);
    }
    else if (outcome->verdict == patch_verdict::stale)
    {
        respond_stale(exchange, *outcome);
    }
    else
    {
        respond_state(exchange, outcome->current, outcome->number);
    }
}

result<vm_record> find_agent(entry_context& context, std::string_view name)
{
    const auto listed = context.store->vms();
    if (!listed)
    {
        return tl::unexpected<error>(listed.error());
    }
    for (const vm_record& vm : *listed)
    {
        if (vm.name == name && vm.role == "agent")
        {
            return vm;
        }
    }
    return fail(error_code::not_found, "drain", name, "no such agent is listed");
}

/// Tells an agent to accept no more work; repeating the call changes nothing.
void drain_agent(entry_context& context, http_exchange& exchange)
{
    const auto agent =
        find_agent(context, url_decode(exchange.request().query_argument("vm")));
    if (!agent)
    {
        refuse(exchange, agent.error(), run_state::not_run);
        return;
    }
    http_call call;
    call.method = "POST";
    call.url = "http://" + agent->address + "/agent/drain";
    call.step = "drain";
    call.total_timeout = drain_timeout;
    call.headers = {{std::string(headers::fleet), context.settings.fleet_secret}};
    const auto reply = context.client->fetch(std::move(call));
    if (!reply)
    {
        refuse(exchange, reply.error(), run_state::unknown);
        return;
    }
    exchange.respond(
        reply->status, {{"Content-Type", "application/json"}},
        json{{"vm", agent->name}, {"draining", reply->status == 200}}.dump());
}

} // namespace

void serve_operator(entry_context& context, std::shared_ptr<http_exchange> exchange)
{
    const http_request& request = exchange->request();
    const bool is_get = request.method == "GET";
    if (!is_operator(context, request))
    {
        refuse(*exchange,
               {error_code::unauthorized, "operator", "",
                "the operator token is missing or wrong"},
               run_state::not_run);
    }
    else if (serve_report(context, exchange))
    {
    }
    else if (request.path == "/operator/config" && is_get)
    {
        get_config(context, *exchange);
    }
    else if (request.path == "/operator/config" && request.method == "PATCH")
    {
        patch_config(context, *exchange);
    }
    else if (request.path == "/operator/config/history" && is_get)
    {
        get_history(context, *exchange);
    }
    else if (request.path == "/operator/drain" && request.method == "POST")
    {
        drain_agent(context, *exchange);
    }
    else if (request.path == "/operator/config/state" && is_get)
    {
        get_state(context, *exchange);
    }
    else
    {
        refuse(*exchange, {error_code::not_found, "operator", "", "no such operation"},
               run_state::not_run);
    }
}

} // namespace agateseam

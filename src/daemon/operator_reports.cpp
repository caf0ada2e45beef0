#include <daemon/operator_reports.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

#include <agateseam/impl/usage_json.hpp>
#include <agateseam/usage_ledger.hpp>
#include <daemon/api_error.hpp>
#include <daemon/usage_collector.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr std::string_view process_prefix = "/operator/process/";
constexpr std::chrono::milliseconds page_timeout{5'000};
constexpr usage_hour_number default_hours = 31 * hours_per_day;

std::uint64_t number_argument(const http_request& request, std::string_view name,
                              std::uint64_t fallback)
{
    const std::string text = request.query_argument(name);
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void respond_json(http_exchange& exchange, const json& body)
{
    exchange.respond(status_ok, {{"Content-Type", "application/json"}},
                     body.dump(-1, ' ', true, json::error_handler_t::replace));
}

void refuse(http_exchange& exchange, const error& fault)
{
    respond(exchange, to_api_error(fault, run_state::not_run));
}

/// Returns the range of shards that a request asks for: one shard, a workspace's shard or
/// all of them.
std::pair<std::uint32_t, std::uint32_t> shard_range(const http_request& request)
{
    const std::string workspace = request.query_argument("workspace");
    const auto requested_shard =
        static_cast<std::uint32_t>(number_argument(request, "shard", usage_shard_count));
    if (!workspace.empty())
    {
        const std::uint32_t shard = usage_shard_of(workspace);
        return {shard, shard + 1};
    }
    return requested_shard < usage_shard_count
               ? std::pair{requested_shard, requested_shard + 1}
               : std::pair{0U, usage_shard_count};
}

void respond_usage(entry_context& context, http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const usage_hour_number now = current_hour(context.time);
    const std::uint64_t to = number_argument(request, "to", now + 1);
    const std::uint64_t from =
        number_argument(request, "from", to > default_hours ? to - default_hours : 0);
    const auto [first, last] = shard_range(request);
    usage_history history;
    usage_ledger ledger(*context.store);
    for (std::uint32_t shard = first; shard < last; ++shard)
    {
        const auto shard_history = ledger.read(shard, from, to);
        if (!shard_history)
        {
            refuse(exchange, shard_history.error());
            return;
        }
        for (const auto& [hour, rows] : *shard_history)
        {
            add(history[hour], rows);
        }
    }
    json fields = json::array();
    for (const usage_field& field : usage_fields)
    {
        fields.push_back(field.name);
    }
    json hours = json::object();
    for (const auto& [hour, rows] : history)
    {
        hours[std::to_string(hour)] = impl::rows_to_json(rows);
    }
    respond_json(exchange, {{"fields", fields}, {"now", now}, {"hours", hours}});
}

void respond_processes(entry_context& context, http_exchange& exchange)
{
    const auto listed = context.store->vms();
    if (!listed)
    {
        refuse(exchange, listed.error());
        return;
    }
    json processes = json::array();
    for (const vm_record& vm : *listed)
    {
        processes.push_back({{"vm", vm.name},
                             {"address", vm.address},
                             {"role", vm.role},
                             {"failure_domain", vm.failure_domain},
                             {"leaving", vm.leaving}});
    }
    respond_json(exchange, {{"processes", processes}});
}

/// Relays a page of another process. That process accepts the fleet secret and may have
/// no operator token.
void relay_page(entry_context& context, const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::string_view target =
        std::string_view(request.path).substr(process_prefix.size());
    const std::size_t slash = target.find('/');
    const std::string vm(target.substr(0, slash));
    const std::string page(slash == std::string_view::npos ? "" : target.substr(slash));
    const bool known = page == "/events" || page == "/status" || page == "/metrics";
    const auto listed = context.store->vms();
    std::string address;
    for (const vm_record& item : listed.value_or(std::vector<vm_record>{}))
    {
        address = item.name == vm ? item.address : address;
    }
    if (!known || address.empty())
    {
        refuse(*exchange, listed ? error{error_code::not_found, "find process", vm,
                                         "no such process or page"}
                                 : listed.error());
        return;
    }
    http_call call;
    call.url = "http://" + address + page;
    call.url += request.query.empty() ? "" : "?" + request.query;
    call.step = "ask process";
    call.total_timeout = page_timeout;
    call.headers = {{std::string(headers::fleet), context.settings.fleet_secret}};
    context.client->fetch_async(
        std::move(call),
        [exchange](result<http_reply> reply)
        {
            if (!reply)
            {
                refuse(*exchange, reply.error());
                return;
            }
            exchange->respond(
                reply->status,
                {{"Content-Type", std::string(reply->header("Content-Type"))}},
                std::move(reply->body));
        });
}

} // namespace

bool serve_report(entry_context& context, const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    if (request.method != "GET")
    {
        return false;
    }
    if (request.path == "/operator/usage")
    {
        respond_usage(context, *exchange);
        return true;
    }
    if (request.path == "/operator/processes")
    {
        respond_processes(context, *exchange);
        return true;
    }
    if (request.path.starts_with(process_prefix))
    {
        relay_page(context, exchange);
        return true;
    }
    return false;
}

} // namespace agateseam

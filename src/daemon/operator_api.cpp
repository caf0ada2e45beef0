#include <daemon/entry_context.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/config_controller.hpp>
#include <daemon/operator_reports.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

bool is_operator(const entry_context& context, const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request.header("Authorization");
    return header.starts_with(scheme) &&
           equal_secrets(header.substr(scheme.size()), context.settings.operator_token);
}

void answer(http_exchange& exchange, const result<stored_configuration>& outcome)
{
    if (!outcome)
    {
        respond(exchange, to_api_error(outcome.error(), run_state::not_run));
        return;
    }
    const json body{{"number", outcome->number},
                    {"document", json::parse(outcome->document)}};
    exchange.respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

void serve_operator(entry_context& context, std::shared_ptr<http_exchange> exchange)
{
    const http_request& request = exchange->request();
    if (!is_operator(context, request))
    {
        respond(*exchange, to_api_error({error_code::unauthorized, "operator", "",
                                         "the operator token is missing or wrong"},
                                        run_state::not_run));
    }
    else if (serve_report(context, exchange))
    {
    }
    else if (request.path == "/operator/config" && request.method == "GET")
    {
        answer(*exchange, read_configuration(*context.store));
    }
    else if (request.path == "/operator/config" && request.method == "PATCH")
    {
        const std::string text = request.query_argument("against");
        std::uint64_t against = 0;
        std::from_chars(text.data(), text.data() + text.size(), against);
        answer(*exchange,
               patch_configuration(*context.store, against, request.header("x-patch-id"),
                                   request.body));
    }
    else
    {
        respond(*exchange,
                to_api_error({error_code::not_found, "operator", "", "no such operation"},
                             run_state::not_run));
    }
}

} // namespace agateseam

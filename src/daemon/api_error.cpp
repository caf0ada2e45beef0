#include <daemon/api_error.hpp>

#include <nlohmann/json.hpp>

#include <daemon/messages.hpp>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds unavailable_retry_after{1'000};

std::string_view error_type_of_status(int status) noexcept
{
    if (status == 401 || status == 403)
    {
        return "authentication_error";
    }
    if (status == 429)
    {
        return "rate_limit_error";
    }
    return status < 500 ? "invalid_request_error" : "server_error";
}

int status_of_error_code(error_code code) noexcept
{
    switch (code)
    {
    case error_code::invalid:
        return 400;
    case error_code::unauthorized:
        return 401;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::exhausted:
    case error_code::unavailable:
        return 503;
    case error_code::timeout:
        return 504;
    default:
        return 502;
    }
}

} // namespace

api_error to_api_error(const error& fault, run_state run)
{
    api_error refusal;
    refusal.status = status_of_error_code(fault.code);
    refusal.code = to_string(fault.code);
    refusal.step = fault.step;
    refusal.run = run;
    refusal.message = fault.description;
    if (refusal.status == 503)
    {
        refusal.retry_after = unavailable_retry_after;
    }
    return refusal;
}

std::string to_text(const api_error& refusal)
{
    const nlohmann::json body{{"error",
                               {{"message", refusal.message},
                                {"type", error_type_of_status(refusal.status)},
                                {"code", refusal.code},
                                {"param", nullptr},
                                {"step", refusal.step},
                                {"run", to_string(refusal.run)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void respond(http_exchange& exchange, const api_error& refusal)
{
    std::vector<http_header> head{
        {"Content-Type", "application/json"},
        {std::string(headers::run), std::string(to_string(refusal.run))}};
    if (refusal.retry_after.count() > 0)
    {
        const auto seconds = (refusal.retry_after.count() + 999) / 1000;
        head.emplace_back("Retry-After", std::to_string(seconds));
    }
    if (refusal.status == 401)
    {
        head.emplace_back("WWW-Authenticate", "Bearer");
    }
    exchange.respond(refusal.status, std::move(head), to_text(refusal));
}

} // namespace agateseam

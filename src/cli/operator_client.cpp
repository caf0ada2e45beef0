#include "operator_client.hpp"

#include <random>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::milliseconds call_timeout{10'000};
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_timeout = 504;
constexpr int max_patch_retries = 3;

std::string new_patch_id()
{
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

/// Returns true if the answer was lost, so that the patch may or may not have been
/// applied and has to be sent again.
bool is_outcome_unknown(const result<json>& answer)
{
    return !answer && (answer.error().code == error_code::timeout ||
                       answer.error().code == error_code::broken);
}

error error_from_reply(const http_reply& reply, const std::string& peer)
{
    const json body = json::parse(reply.body, nullptr, false);
    const json details =
        body.is_object() ? body.value("error", json::object()) : json::object();
    error_code code = error_code::invalid;
    if (reply.status == status_conflict || reply.status == status_timeout)
    {
        code =
            reply.status == status_conflict ? error_code::conflict : error_code::timeout;
    }
    return {code, details.value("step", "call"), peer,
            details.value("message", "status " + std::to_string(reply.status))};
}

} // namespace

result<operator_client> operator_client::create(std::string url, std::string token)
{
    operator_client created;
    created.url = std::move(url);
    created.token = std::move(token);
    auto client = http_client::create({});
    if (!client)
    {
        return tl::unexpected<error>(client.error());
    }
    created.client = std::move(*client);
    return created;
}

result<json> operator_client::call(http_call request) const
{
    request.step = "operator";
    request.total_timeout = call_timeout;
    request.headers.emplace_back("Authorization", "Bearer " + this->token);
    const auto reply = this->client->fetch(std::move(request));
    if (!reply)
    {
        return tl::unexpected<error>(reply.error());
    }
    if (reply->status != status_ok)
    {
        return tl::unexpected<error>(error_from_reply(*reply, this->url));
    }
    json body = json::parse(reply->body, nullptr, false);
    if (!body.is_object())
    {
        return fail(error_code::broken, "operator", this->url,
                    "the answer is not a JSON object");
    }
    return body;
}

numbered_document operator_client::to_document(const json& body)
{
    return {body.value("number", std::uint64_t{0}),
            body.value("document", json::object())};
}

result<numbered_document> operator_client::config() const
{
    http_call request;
    request.url = this->url + "/operator/config";
    return this->call(std::move(request)).map(to_document);
}

result<json> operator_client::history() const
{
    http_call request;
    request.url = this->url + "/operator/config/history";
    return this->call(std::move(request))
        .map([](const json& body) { return body.value("changes", json::array()); });
}

result<numbered_document> operator_client::patch(std::uint64_t against, const json& patch,
                                                 const std::string& note) const
{
    http_call request;
    request.method = "PATCH";
    request.url = this->url + "/operator/config?against=" + std::to_string(against);
    request.headers = {{"x-patch-id", new_patch_id()},
                       {"Content-Type", patch.is_array()
                                            ? "application/json-patch+json"
                                            : "application/merge-patch+json"}};
    if (!note.empty())
    {
        request.headers.emplace_back("x-patch-note", note);
    }
    request.body = patch.dump();
    auto answer = this->call(request);
    for (int retry = 0; retry < max_patch_retries && is_outcome_unknown(answer); ++retry)
    {
        answer = this->call(request);
    }
    return answer.map(to_document);
}

result<std::string> operator_client::get_text(const std::string& path) const
{
    http_call request;
    request.url = this->url + path;
    request.step = "operator";
    request.total_timeout = call_timeout;
    request.headers = {{"Authorization", "Bearer " + this->token}};
    auto reply = this->client->fetch(std::move(request));
    if (!reply)
    {
        return tl::unexpected<error>(reply.error());
    }
    if (reply->status != status_ok)
    {
        return tl::unexpected<error>(error_from_reply(*reply, this->url));
    }
    return std::move(reply->body);
}

result<json> operator_client::get_json(const std::string& path) const
{
    const auto text = this->get_text(path);
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    json body = json::parse(*text, nullptr, false);
    if (!body.is_object())
    {
        return fail(error_code::broken, "operator", this->url,
                    "the answer is not a JSON object");
    }
    return body;
}

result<json> operator_client::drain(const std::string& vm) const
{
    http_call request;
    request.method = "POST";
    request.url = this->url + "/operator/drain?vm=" + vm;
    return this->call(std::move(request));
}

} // namespace agateseam

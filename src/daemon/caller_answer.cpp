#include <daemon/caller_answer.hpp>

#include <cmath>

#include <daemon/messages.hpp>
#include <daemon/server_sent_events.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr std::size_t max_unsent_bytes = 1 << 20;

} // namespace

void caller_answer::set_request(std::string request_id,
                                const model_request_parts& request_parts,
                                const admission_decision& decision)
{
    this->id = std::move(request_id);
    this->parts = request_parts;
    this->limit_tokens = decision.limit;
    this->remaining_tokens = decision.remaining;
}

void caller_answer::add_chunk(std::string_view chunk)
{
    if (!this->parts.stream)
    {
        this->append_chunk(chunk);
        return;
    }
    this->begin_stream();
    const std::size_t waiting = this->exchange->write(to_text({"", "", chunk}));
    if (waiting > max_unsent_bytes)
    {
        this->exchange->abort();
    }
}

void caller_answer::set_usage(std::string_view usage_text)
{
    this->reported_usage = json::parse(usage_text, nullptr, false);
}

void caller_answer::correct_usage(std::uint32_t delivered)
{
    if (this->reported_usage.is_object())
    {
        this->reported_usage["completion_tokens"] = delivered;
        this->reported_usage["total_tokens"] = this->prompt_tokens() + delivered;
    }
}

std::uint64_t caller_answer::prompt_tokens() const
{
    if (this->reported_usage.is_object())
    {
        const json prompt = this->reported_usage.value("prompt_tokens", json());
        if (prompt.is_number_unsigned())
        {
            return prompt.get<std::uint64_t>();
        }
    }
    return this->parts.prompt_tokens;
}

void caller_answer::finish()
{
    if (this->parts.stream)
    {
        this->finish_stream();
        return;
    }
    this->exchange->respond(status_ok, this->response_headers("application/json"),
                            this->complete_body());
    this->answered = true;
}

void caller_answer::refuse(const api_error& refused)
{
    if (this->streaming)
    {
        this->exchange->write(to_text({"error", "", to_text(refused)}));
        this->exchange->abort();
        return;
    }
    respond(*this->exchange, refused);
}

void caller_answer::begin_stream()
{
    if (this->streaming)
    {
        return;
    }
    this->streaming = true;
    auto stream_head = this->response_headers("text/event-stream");
    stream_head.emplace_back("Cache-Control", "no-store");
    this->exchange->begin_stream(status_ok, std::move(stream_head));
}

void caller_answer::finish_stream()
{
    this->begin_stream();
    if (this->parts.include_usage)
    {
        const json chunk{
            {"id", this->id},
            {"object", this->parts.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", this->parts.model},
            {"choices", json::array()},
            {"usage", this->reported_usage}};
        this->exchange->write(to_text({"", "", chunk.dump()}));
    }
    this->exchange->write(to_text({"", "", stream_end}));
    this->exchange->finish();
}

void caller_answer::append_chunk(std::string_view data)
{
    const json chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object() || chunk.value("choices", json::array()).empty())
    {
        return;
    }
    const json& choice = chunk["choices"][0];
    this->text += this->parts.chat
                      ? choice.value("delta", json::object()).value("content", "")
                      : choice.value("text", "");
    const json reason = choice.value("finish_reason", json());
    if (reason.is_string())
    {
        this->finish_reason = reason.get<std::string>();
    }
}

std::vector<http_header>
caller_answer::response_headers(std::string_view content_type) const
{
    return {
        {"x-request-id", this->id},
        {std::string(headers::run), std::string(to_string(run_state::ran))},
        {"x-ratelimit-limit-tokens", std::to_string(std::llround(this->limit_tokens))},
        {"x-ratelimit-remaining-tokens",
         std::to_string(std::llround(this->remaining_tokens))},
        {"Content-Type", std::string(content_type)}};
}

std::string caller_answer::complete_body() const
{
    json choice{{"index", 0}, {"finish_reason", this->finish_reason}};
    if (this->parts.chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", this->text}};
    }
    else
    {
        choice["text"] = this->text;
    }
    const json answer{
        {"id", this->id},
        {"object", this->parts.chat ? "chat.completion" : "text_completion"},
        {"model", this->parts.model},
        {"choices", json::array({choice})},
        {"usage", this->reported_usage}};
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace agateseam

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
constexpr std::size_t slow_caller_limit = 1 << 20; // bytes that wait to be sent

} // namespace

void caller_answer::describe(std::string request_id, const model_request_parts& asked,
                             const admission_decision& decided)
{
    this->id = std::move(request_id);
    this->parts = asked;
    this->limit = decided.limit;
    this->remaining = decided.remaining;
}

void caller_answer::pass(std::string_view chunk)
{
    if (!this->parts.stream)
    {
        this->gather(chunk);
        return;
    }
    this->begin_stream();
    const std::size_t waiting = this->exchange->write(to_text({"", "", chunk}));
    if (waiting > slow_caller_limit)
    {
        this->exchange->abort();
    }
}

void caller_answer::take_usage(std::string_view usage_text)
{
    this->counted = json::parse(usage_text, nullptr, false);
}

void caller_answer::complete_usage(std::uint32_t delivered)
{
    if (this->counted.is_object())
    {
        this->counted["completion_tokens"] = delivered;
        this->counted["total_tokens"] = this->prompt_tokens() + delivered;
    }
}

std::uint64_t caller_answer::prompt_tokens() const
{
    if (this->counted.is_object())
    {
        const json prompt = this->counted.value("prompt_tokens", json());
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
    this->exchange->respond(status_ok, this->head("application/json"), this->whole());
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
    auto stream_head = this->head("text/event-stream");
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
            {"usage", this->counted}};
        this->exchange->write(to_text({"", "", chunk.dump()}));
    }
    this->exchange->write(to_text({"", "", stream_end}));
    this->exchange->finish();
}

void caller_answer::gather(std::string_view data)
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

std::vector<http_header> caller_answer::head(std::string_view content_type) const
{
    return {
        {"x-request-id", this->id},
        {std::string(headers::run), std::string(to_string(run_state::ran))},
        {"x-ratelimit-limit-tokens", std::to_string(std::llround(this->limit))},
        {"x-ratelimit-remaining-tokens", std::to_string(std::llround(this->remaining))},
        {"Content-Type", std::string(content_type)}};
}

std::string caller_answer::whole() const
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
        {"usage", this->counted}};
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace agateseam

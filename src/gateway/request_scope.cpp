#include <gateway/request_scope.hpp>

#include <cstdio>

namespace agateseam
{

bool request_scope::is_model() const
{
    const service_properties* terms = this->routing->service(this->service);
    return terms != nullptr && terms->engine && this->facts.declares_tokens &&
           this->route->rule == repeat_rule::stream;
}

bool request_scope::key_holds() const
{
    if (this->workspace == nullptr)
    {
        return true;
    }
    const workspace_limits* owner =
        this->state->routing->workspace_for_key(this->facts.key);
    return owner != nullptr && owner->name == this->workspace->name;
}

void request_scope::refund()
{
    if (this->workspace != nullptr && this->tokens > 0)
    {
        this->state->ledger.refund_tokens(this->workspace->name, this->tokens,
                                          boot_now());
        this->tokens = 0;
    }
}

task<void> answer_with(request_scope& scope, own_answer made)
{
    scope.outcome = made.reason;
    if (made.word == run_word::not_run)
    {
        scope.refund();
    }
    caller_answer_head head;
    head.status = made.status;
    head.fields.push_back({"Content-Type", "application/json"});
    if (made.retry_after > duration::zero())
    {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f",
                      std::chrono::duration<double>(made.retry_after).count());
        head.fields.push_back({"Retry-After", seconds});
    }
    std::string body = R"({"error":{"code":")";
    body += made.reason;
    body += R"(","run":")";
    body += made.word == run_word::not_run ? "not_run" : "unknown";
    body += "\"}}";
    co_await scope.exchange->answer(std::move(head), std::move(body));
}

std::chrono::milliseconds time_left(const request_scope& scope)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(scope.until -
                                                                 boot_now()) -
           way_back;
}

void note_sign(entry_state& state, const std::string& server, server_observation sign,
               duration took)
{
    state.judge.begin(server);
    state.judge.end(server, sign, took, boot_now());
}

void log_step(const request_scope& scope, std::string_view event, std::string_view server,
              std::string_view reason)
{
    log_line(log_level::info, event,
             {{"request", scope.facts.id}, {"server", server}, {"reason", reason}});
}

caller_answer_head relayed_head(const message_head& head)
{
    caller_answer_head relayed;
    relayed.status = head.status;
    const std::string_view connection = head.field("Connection");
    for (const header_field& field : head.fields)
    {
        if (!only_for_connection(field.name, connection) &&
            !equals_ignoring_case(field.name, "Content-Length"))
        {
            relayed.fields.push_back(field);
        }
    }
    return relayed;
}

task<void> relay_answer(request_scope& scope, const message_head& head, std::string body)
{
    co_await scope.exchange->answer(relayed_head(head), std::move(body));
}

} // namespace agateseam

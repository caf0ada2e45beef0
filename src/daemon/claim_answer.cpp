#include <daemon/claim_answer.hpp>

#include <daemon/api_error.hpp>
#include <daemon/messages.hpp>

namespace agateseam
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr std::chrono::milliseconds running_retry_after{1'000};

void respond_recorded(http_exchange& exchange, const call_outcome& outcome)
{
    std::vector<http_header> head{
        {std::string(headers::run), std::string(to_string(outcome.run))},
        {"Idempotent-Replayed", "true"}};
    if (!outcome.content_type.empty())
    {
        head.emplace_back("Content-Type", outcome.content_type);
    }
    exchange.respond(outcome.status, std::move(head), outcome.body);
}

} // namespace

void respond_claimed(http_exchange& exchange, const claim_answer& answer)
{
    api_error refused;
    refused.status = status_conflict;
    refused.step = "claim";
    refused.run = run_state::unknown;
    switch (answer.status)
    {
    case claim_status::recorded:
        respond_recorded(exchange, answer.outcome);
        return;
    case claim_status::running:
        refused.code = "in_progress";
        refused.message = "a call with this idempotency key is under way";
        refused.retry_after = running_retry_after;
        break;
    case claim_status::mismatch:
        refused.status = status_unprocessable;
        refused.code = "idempotency_key_reused";
        refused.run = run_state::not_run;
        refused.message = "this idempotency key came with another call before";
        break;
    default:
        refused.code = "outcome_unknown";
        refused.message = "a call with this idempotency key was handed over; whether it "
                          "ran is not known";
    }
    respond(exchange, refused);
}

} // namespace agateseam

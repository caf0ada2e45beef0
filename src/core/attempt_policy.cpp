#include <agateseam/attempt_policy.hpp>

namespace agateseam
{

namespace
{

retry_decision report_failure(const retry_state& state) noexcept
{
    if (state.possible_runs == 0)
    {
        return retry_decision::report_not_run;
    }
    return state.end == attempt_outcome::timed_out ? retry_decision::report_timeout
                                                   : retry_decision::report_unknown;
}

} // namespace

std::string_view to_string(attempt_outcome end) noexcept
{
    switch (end)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::lost:
        return "lost";
    case attempt_outcome::timed_out:
        break;
    }
    return "timed_out";
}

retry_decision decide_retry(const service_route& route, const retry_state& state) noexcept
{
    const bool may_run_again =
        route.repeatable() && state.possible_runs < route.max_attempts;
    switch (state.end)
    {
    case attempt_outcome::answered:
        return retry_decision::relay;
    case attempt_outcome::failed:
        return may_run_again && state.has_time_left && state.has_budget_left
                   ? retry_decision::try_another
                   : retry_decision::relay;
    case attempt_outcome::refused:
    case attempt_outcome::not_sent:
    {
        const bool costs_no_retry = state.end == attempt_outcome::not_sent;
        const bool may_send_again = state.possible_runs == 0 || may_run_again;
        return may_send_again && state.has_time_left &&
                       (costs_no_retry || state.has_budget_left) &&
                       state.refusals <= max_refusals
                   ? retry_decision::try_another
                   : report_failure(state);
    }
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
        break;
    }
    return may_run_again && state.has_time_left && state.has_budget_left
               ? retry_decision::try_another
               : report_failure(state);
}

} // namespace agateseam

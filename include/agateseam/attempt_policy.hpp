/// Decides what follows an attempt: the answer is relayed, another attempt is made, or
/// the request ends with an error status.
#pragma once

#include <cstdint>
#include <string_view>

#include <agateseam/routing_table.hpp>

namespace agateseam
{

/// How an attempt ended, as far as the entry knows.
enum class attempt_outcome : std::uint8_t
{
    answered, ///< A whole, signed answer that doesn't report a server failure.
    failed,   ///< A whole, signed answer that reports a server failure.
    refused,  ///< The server says that it did not run the request.
    not_sent, ///< No byte of the request reached the server.
    lost,     ///< Sent, but no whole answer came: the server may have run the request.
    timed_out ///< Sent, but no answer came in time: the server may have run the request.
};

/// \brief Returns the outcome's name for logs.
[[nodiscard]] std::string_view to_string(attempt_outcome end) noexcept;

/// What to do with a request after an attempt.
enum class retry_decision : std::uint8_t
{
    relay,          ///< Pass the server's answer on to the caller.
    try_another,    ///< Send the request to another server.
    report_not_run, ///< 503 with `Retry-After`: the request has not run and never will.
    report_unknown, ///< 502: the request may have run.
    report_timeout  ///< 504: no answer came in time.
};

/// \brief State of a request after an attempt, from which the next step is decided.
struct retry_state
{
    attempt_outcome end = attempt_outcome::answered; ///< How the newest attempt ended.
    std::uint32_t possible_runs =
        0;                       ///< Servers that may have run it, the newest included.
    std::uint32_t refusals = 0;  ///< Servers that refused it or weren't reached.
    bool has_time_left = true;   ///< Enough for another attempt.
    bool has_budget_left = true; ///< The fleet's retry budget allows another attempt.
};

/// Most refusals after which a request is still sent to another server. The limit exists
/// because each further attempt may use up one retry of the budget.
inline constexpr std::uint32_t max_refusals = 3;

/// \brief Decides what follows an attempt.
///
/// A request that may have run is sent again only if its route is repeatable. The caller
/// is told "not run" only when no attempt may have run the request.
[[nodiscard]] retry_decision decide_retry(const service_route& route,
                                          const retry_state& state) noexcept;

} // namespace agateseam

/// Types that describe requests, attempts and load in messages between entries and
/// agents.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include <agateseam/forward_declarations.hpp>

namespace agateseam
{

/// \brief Whether a refused or failed request has run.
enum class run_state : std::uint8_t
{
    not_run, ///< It certainly has not begun; a repeat is safe.
    unknown, ///< It was handed over, but the outcome is unknown.
    ran      ///< It ran to its end or in part.
};

/// \brief Returns "not_run", "unknown" or "ran".
[[nodiscard]] std::string_view to_string(run_state state) noexcept;

/// \brief The kind of work that a backend server does.
enum class backend_kind : std::uint8_t
{
    prefill, ///< A model engine of a prefill pool.
    decode,  ///< A model engine of a decode pool.
    service  ///< A plain service.
};

/// \brief Returns "prefill", "decode" or "service".
[[nodiscard]] std::string_view to_string(backend_kind kind) noexcept;

/// \brief Identifies one attempt of one request.
struct attempt_id
{
    std::string request;       ///< The request's id, unique over the fleet.
    std::uint32_t attempt = 0; ///< Counts from 1 within the request.

    friend bool operator==(const attempt_id&, const attempt_id&) = default;

    /// \brief Orders by request, then by attempt.
    friend bool operator<(const attempt_id& left, const attempt_id& right) noexcept
    {
        return std::tie(left.request, left.attempt) <
               std::tie(right.request, right.attempt);
    }
};

/// \brief An agent's state, as carried by its answers and its heartbeats.
struct load_report
{
    std::string vm;                ///< The agent's VM.
    std::uint64_t sequence = 0;    ///< Rises with each report of one incarnation.
    std::uint64_t incarnation = 0; ///< Start time of the agent process, in Unix
                                   ///< milliseconds.
    backend_kind kind = backend_kind::service;
    std::string pool;                ///< The pool that the backend server belongs to.
    std::string failure_domain;      ///< Where the agent runs.
    std::uint32_t slots = 0;         ///< Requests that the backend server can hold.
    std::uint32_t used = 0;          ///< Slots in use.
    std::uint32_t queued = 0;        ///< Waiting requests.
    std::uint64_t queued_tokens = 0; ///< Prompt tokens that wait or are being prefilled.
    double tokens_per_second = 0;    ///< Prefill rate, or decode rate of one stream.
    bool leaving = false;            ///< The agent takes no new work.
};

} // namespace agateseam

/// What entries and agents say to each other, and its form as JSON.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// Names of the headers that pass between the system's own processes.
namespace headers
{
inline constexpr std::string_view fleet = "x-agateseam-fleet";     ///< The fleet secret.
inline constexpr std::string_view attempt = "x-agateseam-attempt"; ///< attempt_order.
inline constexpr std::string_view load = "x-agateseam-load";       ///< load_report.
inline constexpr std::string_view stamp = "x-agateseam-stamp";     ///< hybrid_time.
inline constexpr std::string_view engine_time =
    "x-agateseam-engine-us"; ///< Engine time of a prefill, microseconds.
inline constexpr std::string_view run = "x-agateseam-run"; ///< run_state.
inline constexpr std::string_view answer =
    "x-agateseam-answer"; ///< attempt_id that a stream answers.
} // namespace headers

/// \brief Returns "REQUEST.ATTEMPT".
[[nodiscard]] std::string to_text(const attempt_id& id);
[[nodiscard]] result<attempt_id> parse_attempt_id(std::string_view text);

/// \brief An entry's word on the leases of its attempts at one agent.
struct lease_order
{
    std::vector<attempt_id> renew;
    std::vector<attempt_id> end; ///< Whose outcome is no longer wanted.
};

[[nodiscard]] std::string to_text(const lease_order& order);
[[nodiscard]] result<lease_order> parse_lease_order(std::string_view text);

/// \brief Returns the agent's answer: those of the renewed that it does not run.
[[nodiscard]] std::string lease_reply_text(const std::vector<attempt_id>& unknown);
[[nodiscard]] result<std::vector<attempt_id>> parse_lease_reply(std::string_view text);

/// \brief An entry's order to an agent; the caller's body goes beside it unchanged.
struct attempt_order
{
    attempt_id id;
    std::string workspace;
    double weight = 1;
    std::string method = "POST";
    std::string path; ///< The caller's path, with its query.
    std::string idempotency_key;
    bool repeatable = true;
    std::string prefill_vm;
    std::string prefill_address; ///< "IP:port" of the prefill agent.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint32_t resume_from = 0;         ///< Output tokens that the caller already has.
    std::chrono::milliseconds deadline{0}; ///< Left for the first token.
};

[[nodiscard]] std::string to_text(const attempt_order& order);
[[nodiscard]] result<attempt_order> parse_attempt_order(std::string_view text);

[[nodiscard]] std::string to_text(const load_report& report);
[[nodiscard]] result<load_report> parse_load_report(std::string_view text);

/// \brief Why an attempt failed, as an event at the end of its stream.
struct attempt_failure
{
    run_state run = run_state::unknown;
    error fault;
};

[[nodiscard]] std::string to_text(const attempt_failure& failure);
[[nodiscard]] attempt_failure parse_attempt_failure(std::string_view text);

} // namespace agateseam

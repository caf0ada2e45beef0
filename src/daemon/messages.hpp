/// The messages between entries and agents, and their JSON form.
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

/// Names of the headers in calls between agateseam processes.
namespace headers
{
inline constexpr std::string_view fleet = "x-agateseam-fleet"; ///< The fleet secret.
inline constexpr std::string_view attempt =
    "x-agateseam-attempt";                                     ///< An `attempt_order`.
inline constexpr std::string_view load = "x-agateseam-load";   ///< A `load_report`.
inline constexpr std::string_view stamp = "x-agateseam-stamp"; ///< A `hybrid_time`.
inline constexpr std::string_view engine_time =
    "x-agateseam-engine-us"; ///< Engine time of a prefill, in microseconds.
inline constexpr std::string_view run = "x-agateseam-run"; ///< A `run_state`.
inline constexpr std::string_view answer =
    "x-agateseam-answer"; ///< The `attempt_id` that a stream answers.
} // namespace headers

/// \brief Returns "REQUEST.ATTEMPT".
[[nodiscard]] std::string to_text(const attempt_id& id);
[[nodiscard]] result<attempt_id> parse_attempt_id(std::string_view text);

/// \brief Tells an agent which leases of an entry's attempts to renew and which to end.
struct lease_order
{
    std::vector<attempt_id> renew;
    std::vector<attempt_id> end; ///< Attempts whose outcome is no longer needed.
};

[[nodiscard]] std::string to_text(const lease_order& order);
[[nodiscard]] result<lease_order> parse_lease_order(std::string_view text);

/// \brief Returns the agent's answer: the attempts to renew that it does not run.
[[nodiscard]] std::string lease_reply_text(const std::vector<attempt_id>& unknown);
[[nodiscard]] result<std::vector<attempt_id>> parse_lease_reply(std::string_view text);

/// \brief An entry's order to an agent; sent as a header beside the caller's unchanged
/// body.
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
    std::chrono::milliseconds deadline{0}; ///< Time left for the first token.
};

[[nodiscard]] std::string to_text(const attempt_order& order);
[[nodiscard]] result<attempt_order> parse_attempt_order(std::string_view text);

[[nodiscard]] std::string to_text(const load_report& report);
[[nodiscard]] result<load_report> parse_load_report(std::string_view text);

/// \brief Why an attempt failed; sent as an event at the end of its stream.
struct attempt_failure
{
    run_state run = run_state::unknown;
    error fault;
};

[[nodiscard]] std::string to_text(const attempt_failure& failure);
[[nodiscard]] attempt_failure parse_attempt_failure(std::string_view text);

} // namespace agateseam

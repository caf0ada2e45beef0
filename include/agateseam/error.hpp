/// The error type, which names the failed step and the peer, and the result type of all
/// functions that can fail.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <agateseam/forward_declarations.hpp>

namespace agateseam
{

/// The kinds of error that a caller may want to handle differently.
enum class error_code : std::uint8_t
{
    invalid,      ///< The input breaks a rule; the same call would fail again.
    not_found,    ///< What the call names does not exist.
    conflict,     ///< A version, a generation or a claim does not match.
    unauthorized, ///< The credentials are missing, wrong or revoked.
    exhausted,    ///< An allowance, a queue or a pool is used up.
    unavailable,  ///< The peer refused the call or is unreachable; it had no effect.
    timeout,      ///< No answer came in time; the effect is unknown.
    broken,       ///< The connection ended before the answer; the effect is unknown.
    cancelled,    ///< The caller cancelled the call.
    internal      ///< A defect in this program.
};

/// \brief Returns the name of a code as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(error_code code) noexcept;

/// \brief An error: its code, the step that failed, the peer and a description.
struct error
{
    error_code code = error_code::internal;
    std::string step;        ///< The step that failed, such as "admit" or "prefill".
    std::string peer;        ///< The other end's name or address; empty when local.
    std::string description; ///< One sentence for a human reader.

    /// \brief Returns "step at peer: description (code)".
    [[nodiscard]] std::string to_string() const;
};

/// \brief Holds a value on success, and otherwise an error; converts to true on success.
template <typename T>
using result = tl::expected<T, error>;

/// \brief Makes the error of a failed result.
///
/// \code
/// return fail(error_code::invalid, "settings", "", "port is missing");
/// \endcode
[[nodiscard]] tl::unexpected<error> fail(error_code code, std::string_view step,
                                         std::string_view peer,
                                         std::string_view description);

} // namespace agateseam

/// Errors with the step and the peer at which they arose, and the one result type.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <agateseam/forward_declarations.hpp>

namespace agateseam
{

/// What went wrong, in terms on which a caller can decide.
enum class error_code : std::uint8_t
{
    invalid,      ///< The input breaks a rule; a repeat fails in the same way.
    not_found,    ///< The thing named does not exist.
    conflict,     ///< A version, a generation or a claim does not match.
    unauthorized, ///< The credentials are missing, wrong or withdrawn.
    exhausted,    ///< An allowance, a queue or a pool is used up.
    unavailable,  ///< The peer refused or could not be reached; nothing took effect.
    timeout,      ///< No answer in time; the effect is unknown.
    broken,       ///< The connection ended before the answer did; the effect is unknown.
    cancelled,    ///< The caller gave up.
    internal      ///< A fault of this program.
};

/// \brief Returns the name of a code as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(error_code code) noexcept;

/// \brief An error: what, at which step, at which peer.
struct error
{
    error_code code = error_code::internal;
    std::string step;        ///< The step of the work, such as "admit" or "prefill".
    std::string peer;        ///< The other end's name or address; empty when local.
    std::string description; ///< One sentence for people.

    /// \brief Returns "step at peer: description (code)".
    [[nodiscard]] std::string to_string() const;
};

/// \brief A value, or the error that kept it from being made; true on success.
template <typename T>
using result = tl::expected<T, error>;

/// \brief Makes the failed side of a result.
///
/// \code
/// return fail(error_code::invalid, "settings", "", "port is missing");
/// \endcode
[[nodiscard]] tl::unexpected<error> fail(error_code code, std::string_view step,
                                         std::string_view peer,
                                         std::string_view description);

} // namespace agateseam

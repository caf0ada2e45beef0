/// The parts of HTTP's grammar that agateseam checks beside its libraries.
#pragma once

#include <string_view>

namespace agateseam
{

/// \brief Tells whether a server may answer with a status code: one of HTTP's classes,
/// 100 to 599, but 101, since no other protocol is ever asked for.
[[nodiscard]] constexpr bool is_answer_status(int status) noexcept
{
    constexpr int min_status = 100;
    constexpr int max_status = 599;
    constexpr int switching_protocols = 101;
    return status >= min_status && status <= max_status && status != switching_protocols;
}

/// \brief Tells whether a text may be the name of a header field (a token of RFC 9110).
[[nodiscard]] bool is_field_name(std::string_view text) noexcept;

/// \brief Tells whether a text may be the value of a header field: no control characters
/// but tabs.
[[nodiscard]] bool is_field_value(std::string_view text) noexcept;

} // namespace agateseam

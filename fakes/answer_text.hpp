/// Generates the answer text of the engine stand-in. The text depends only on the prompt,
/// so a client can detect an answer that is truncated or belongs to another prompt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace agateseam::fakes
{

/// \brief Returns the first sixteen hexadecimal digits of the prompt's SHA-256 digest.
[[nodiscard]] std::string prompt_seed(std::string_view prompt);

/// \brief Returns the text of the output token at a zero-based index.
[[nodiscard]] std::string token_text(std::string_view seed, std::uint32_t index);

/// \brief Returns the length of the answer in tokens when `max_tokens` does not limit it.
[[nodiscard]] std::uint32_t natural_length(std::string_view seed);

/// \brief Returns the token count of a text: one token for each four bytes, rounded up.
[[nodiscard]] std::uint32_t count_tokens(std::string_view text) noexcept;

} // namespace agateseam::fakes

/// The text that the engine stand-in generates: a pure function of the prompt, so that
/// any client can tell a whole answer from a cut or a crossed one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace agateseam::fakes
{

/// \brief Returns the sixteen hexadecimal digits that stand for a prompt.
[[nodiscard]] std::string prompt_seed(std::string_view prompt);

/// \brief Returns the text of the output token at an index, counted from 0.
[[nodiscard]] std::string token_text(std::string_view seed, std::uint32_t index);

/// \brief Returns how many tokens the answer has when nothing limits it.
[[nodiscard]] std::uint32_t natural_length(std::string_view seed);

/// \brief Returns how many tokens the stand-in counts in a text.
[[nodiscard]] std::uint32_t count_tokens(std::string_view text) noexcept;

} // namespace agateseam::fakes

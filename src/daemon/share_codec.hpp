/// Converts the share messages to and from JSON text.
#pragma once

#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/share_messages.hpp>

namespace agateseam
{

[[nodiscard]] std::string to_text(const share_report& report);
[[nodiscard]] result<share_report> parse_share_report(std::string_view text);

[[nodiscard]] std::string to_text(const share_answer& answer);
[[nodiscard]] result<share_answer> parse_share_answer(std::string_view text);

[[nodiscard]] std::string to_text(const share_census& census);
[[nodiscard]] result<share_census> parse_share_census(std::string_view text);

[[nodiscard]] std::string to_text(const share_census_answer& answer);
[[nodiscard]] result<share_census_answer>
parse_share_census_answer(std::string_view text);

} // namespace agateseam

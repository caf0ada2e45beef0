/// Writes and reads events of the time line as JSON lines.
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include <agateseam/event.hpp>

namespace agateseam
{

/// \brief Returns an event as the JSON object that /events prints on one line.
[[nodiscard]] nlohmann::json to_json(const event& item);

/// \brief Parses the output of to_json.
/// \returns `invalid` when the line is malformed.
[[nodiscard]] result<event> parse_event(std::string_view line);

} // namespace agateseam

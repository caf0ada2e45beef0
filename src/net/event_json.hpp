/// Events of the time line as JSON lines.
#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include <agateseam/event.hpp>

namespace agateseam
{

/// \brief Returns an event as a JSON object, as /events shows it on a line.
[[nodiscard]] nlohmann::json to_json(const event& item);

/// \brief Reads what to_json made; `invalid` when it is malformed.
[[nodiscard]] result<event> parse_event(std::string_view line);

} // namespace agateseam

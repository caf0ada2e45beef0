/// Usage rows as JSON: an array each, to keep records small.
#pragma once

#include <nlohmann/json.hpp>

#include <agateseam/usage.hpp>

namespace agateseam::impl
{

/// \brief Returns [[workspace, pool, counters...], ...].
[[nodiscard]] nlohmann::json rows_to_json(const usage_table& rows);

/// \brief Reads what rows_to_json wrote.
/// \throws nlohmann::json::exception when the shape is another.
[[nodiscard]] usage_table rows_from_json(const nlohmann::json& source);

} // namespace agateseam::impl

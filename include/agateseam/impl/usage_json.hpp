/// Usage rows as JSON: one array per row, without field names, to keep records small.
#pragma once

#include <nlohmann/json.hpp>

#include <agateseam/usage.hpp>

namespace agateseam::impl
{

/// \brief Returns [[workspace, pool, counters...], ...], with the counters in the order
/// of `usage_fields`.
[[nodiscard]] nlohmann::json rows_to_json(const usage_table& rows);

/// \brief Parses the output of rows_to_json.
/// \throws nlohmann::json::exception if `source` has another structure.
[[nodiscard]] usage_table rows_from_json(const nlohmann::json& source);

} // namespace agateseam::impl

/// Changes members of a JSON object in its text. The other members are neither parsed nor
/// kept as values, which would take many times the memory of the text.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace agateseam
{

/// \brief Tells whether a text is one JSON object.
[[nodiscard]] bool is_json_object(std::string_view text);

/// \brief Returns an object without some members and with others added.
/// \param object one JSON object.
/// \param removed names of members; those that are added needn't be listed.
/// \param added an object.
[[nodiscard]] std::string replace_members(std::string_view object,
                                          std::span<const std::string_view> removed,
                                          const nlohmann::json& added);

} // namespace agateseam

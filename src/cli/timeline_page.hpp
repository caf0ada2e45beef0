/// The time line as one HTML page that needs nothing else.
#pragma once

#include <span>
#include <string>

#include <agateseam/event.hpp>

namespace agateseam
{

/// \brief Draws a lane for each process and a mark for each event.
/// \param events in causal order.
[[nodiscard]] std::string timeline_page(std::span<const event> events);

} // namespace agateseam

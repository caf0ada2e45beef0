/// Renders the timeline as a self-contained HTML page.
#pragma once

#include <span>
#include <string>

#include <agateseam/event.hpp>

namespace agateseam
{

/// \brief Renders an HTML page with a lane for each process and a mark for each event.
/// \param events the events in causal order.
[[nodiscard]] std::string render_timeline_page(std::span<const event> events);

} // namespace agateseam

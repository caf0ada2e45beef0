/// The operators' reports at an entry: usage, the list of processes and their pages.
#pragma once

#include <memory>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Answers GET /operator/usage, /operator/processes and
/// /operator/process/VM/{events,status,metrics}.
/// \param exchange from an operator whose token was checked.
/// \returns whether the path was one of these.
[[nodiscard]] bool serve_report(entry_context& context,
                                const std::shared_ptr<http_exchange>& exchange);

} // namespace agateseam

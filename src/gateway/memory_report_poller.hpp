/// Asks decode servers for their memory in use, to find streams that no entry claims.
#pragma once

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief Polls the servers for as long as the process runs. Each server is polled by one
/// entry, which tells the others.
task<void> poll_memory_reports(entry_state& state);

} // namespace agateseam

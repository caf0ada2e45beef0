/// Counts usage and writes it to the platform's store, with few calls.
#pragma once

#include <gateway/entry_state.hpp>
#include <gateway/platform_link.hpp>

namespace agateseam
{

struct request_scope;

/// \brief Adds a finished request to the entry's usage account.
void add_request_usage(const request_scope& scope);

/// \brief Writes the account's changed hours, with one call for each hour. More than one
/// hour has changed only just after an hour's end. A failure is logged, and the rows stay
/// for the next write.
task<void> write_usage(entry_state& state, platform_link& link);

/// \brief Writes usage every `usage_flush` of the settings, for as long as the process
/// runs. A killed process loses what it counted since the last write.
task<void> write_usage_periodically(entry_state& state, platform_link& link);

} // namespace agateseam

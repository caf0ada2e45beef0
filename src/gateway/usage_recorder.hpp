/// Counts usage and writes it to the platform's store, with few calls.
#pragma once

#include <gateway/entry_state.hpp>
#include <gateway/platform_link.hpp>

namespace agateseam
{

struct request_scope;

/// \brief Adds a finished request to the entry's usage if it was answered, in whole or in
/// part.
void add_request_usage(const request_scope& scope);

/// \brief Writes the usage of each hour that has changed since the last write, with one
/// call for each hour. More than one hour has changed just after an hour's end, or
/// after failed writes. A failure is logged, and the rows stay for the next write.
task<void> write_usage(entry_state& state, platform_link& link);

/// \brief Writes usage every `usage_flush` of the settings until the entry drains; a
/// drain ends with a write if the store is reachable. A killed process loses what it
/// counted since the last write.
task<void> write_usage_periodically(entry_state& state, platform_link& link);

} // namespace agateseam

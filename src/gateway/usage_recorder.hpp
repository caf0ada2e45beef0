/// Writes what an entry counted to the platform's store, few calls at a time.
#pragma once

#include <gateway/entry_state.hpp>
#include <gateway/platform_link.hpp>

namespace agateseam
{

struct request_scope;

/// \brief Counts a request that ended in the entry's account.
void count_usage(const request_scope& scope);

/// \brief Writes the account's changed hours, a call each: one, but just after an hour's
/// end. What fails is logged and stays for the next time.
task<void> write_usage(entry_state& state, platform_link& link);

/// \brief Writes them every `usage_flush` of the settings, for the process's life. A
/// process that is killed loses what it counted since.
task<void> record_usage(entry_state& state, platform_link& link);

} // namespace agateseam

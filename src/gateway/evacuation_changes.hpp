/// Puts evacuations of failure domains into force in an entry.
#pragma once

#include <string_view>

#include <agateseam/evacuations.hpp>
#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief Publishes the servers that remain, tells the other entries, and logs and counts
/// what changed.
/// \param was_known whether the evacuations were known before the change.
/// \param source "store", the address of a relay or the name of an entry.
void apply_evacuation_changes(entry_state& state, const evacuation_changes& changes,
                              bool was_known, std::string_view source);

/// \brief Logs the evacuated failure domains that neither the settings nor the servers
/// name. Does nothing before the servers are known.
void log_unknown_evacuations(const entry_state& state, const evacuation_changes& changes);

} // namespace agateseam

/// Chooses the agents that an entry tracks when there are too many to track all.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include <agateseam/object_store.hpp>

namespace agateseam
{

/// \brief Chooses a bounded subset of the agents by rendezvous hashing.
///
/// Half of the subset comes from the entry's own failure domain, and the other half in
/// equal parts from the other domains. Where a domain has too few agents, agents of the
/// other domains fill the subset. An agent that is added or removed changes at most one
/// choice in its domain.
/// \param vms the platform's list of VMs, of which only agents are chosen.
/// \param limit the size of the subset; all agents are chosen when there are no more.
/// \returns indexes into `vms` in ascending order.
[[nodiscard]] std::vector<std::size_t> select_members(std::span<const vm_record> vms,
                                                      std::string_view own_vm,
                                                      std::string_view own_domain,
                                                      std::size_t limit);

} // namespace agateseam

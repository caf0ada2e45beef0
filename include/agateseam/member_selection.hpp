/// Chooses the agents that an entry keeps in touch with when there are too many for all.
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
/// Half of the places go to the own failure domain, the others to the other domains in
/// equal parts; places that a domain cannot fill go to the rest. An agent that comes or
/// goes changes at most one choice in its domain.
/// \param vms the platform's list; only agents are chosen.
/// \param limit size of the subset; with no more agents than this all are chosen.
/// \returns indexes into `vms`, in rising order.
[[nodiscard]] std::vector<std::size_t> select_members(std::span<const vm_record> vms,
                                                      std::string_view own_vm,
                                                      std::string_view own_domain,
                                                      std::size_t limit);

} // namespace agateseam

/// Decides which entries watch the platform's store and which learn from those.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agateseam
{

/// \brief An entry as a possible watcher of the store.
struct watch_candidate
{
    std::string name;
    bool reaches_store = false; ///< By its own latest report.
    double link_mbps = 0;       ///< Of its VM; 0 if it isn't known.
};

/// \brief Where an entry learns of changes in the store.
struct store_watch_plan
{
    bool watches_store = true;
    std::vector<std::string> relays; ///< Entries to ask instead, the best one first.
};

/// \brief Returns how many entries of a fleet watch the store.
///
/// In a small fleet all do, as a relay may fail unnoticed for some seconds. Above that,
/// a few: one for each `entries_per_watcher`, since each of them answers that many others
/// at each change.
[[nodiscard]] std::size_t watcher_count(std::size_t entries) noexcept;

/// \brief Plans how an entry follows the store.
///
/// Load pattern: each change of one server ends the watch of every watcher, and each
/// watch is a call with a price. With all of hundreds of entries watching, servers that
/// are replaced one after the other cost hundreds of calls each. So a few entries chosen
/// by rendezvous hashing watch, and the rest ask them. Entries that reach each other
/// choose the same ones without communication; where they disagree for a moment, some
/// watch needlessly. An entry that the store turns away doesn't watch while others do.
///
/// A watcher reads each changed document whole and sends it to its followers, so entries
/// with faster links watch first: a large configuration fills a link of 10 Mbit/s for a
/// second, in which its callers wait.
///
/// \param own this entry.
/// \param others the entries that it hears.
[[nodiscard]] store_watch_plan plan_store_watch(const watch_candidate& own,
                                                std::span<const watch_candidate> others);

} // namespace agateseam

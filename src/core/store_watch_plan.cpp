#include <agateseam/store_watch_plan.hpp>

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace agateseam
{

namespace
{

/// Up to this many entries all of them watch the store.
constexpr std::size_t max_fleet_without_relays = 8;
constexpr std::size_t entries_per_watcher = 25;
/// Watchers of a fleet with relays: some of them may be lost at the same moment.
constexpr std::size_t min_watchers = 4;

std::uint64_t hash_weight(std::string_view name, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

void sort_by_weight(std::vector<const watch_candidate*>& entries, std::uint64_t seed)
{
    std::sort(entries.begin(), entries.end(),
              [seed](const watch_candidate* left, const watch_candidate* right)
              { return hash_weight(left->name, seed) > hash_weight(right->name, seed); });
}

/// Returns the power of two of a link's speed, so that links of about the same speed
/// count as equal.
unsigned link_class(const watch_candidate& entry) noexcept
{
    constexpr double max_link_mbps = 1e9;
    const double speed = std::clamp(entry.link_mbps, 0.0, max_link_mbps);
    return static_cast<unsigned>(std::bit_width(static_cast<std::uint64_t>(speed)));
}

} // namespace

std::size_t watcher_count(std::size_t entries) noexcept
{
    if (entries <= max_fleet_without_relays)
    {
        return entries;
    }
    return std::max(min_watchers,
                    (entries + entries_per_watcher - 1) / entries_per_watcher);
}

store_watch_plan plan_store_watch(const watch_candidate& own,
                                  std::span<const watch_candidate> others)
{
    if (others.empty())
    {
        return {};
    }
    std::vector<const watch_candidate*> candidates;
    const auto add = [&candidates](const watch_candidate& entry)
    {
        if (entry.reaches_store)
        {
            candidates.push_back(&entry);
        }
    };
    add(own);
    std::for_each(others.begin(), others.end(), add);
    if (candidates.empty())
    {
        // The store may be away for all; a few entries keep trying to reach it.
        candidates.push_back(&own);
        for (const watch_candidate& other : others)
        {
            candidates.push_back(&other);
        }
    }
    sort_by_weight(candidates, 0);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const watch_candidate* left, const watch_candidate* right)
                     { return link_class(*left) > link_class(*right); });
    candidates.resize(std::min(candidates.size(), watcher_count(others.size() + 1)));
    if (std::find(candidates.begin(), candidates.end(), &own) != candidates.end())
    {
        return {};
    }
    // Seeded with its own name, so that the entries spread over the watchers.
    sort_by_weight(candidates, hash_weight(own.name, 0));
    store_watch_plan plan;
    plan.watches_store = false;
    for (const watch_candidate* watcher : candidates)
    {
        plan.relays.push_back(watcher->name);
    }
    return plan;
}

} // namespace agateseam

#include <agateseam/usage_meter.hpp>

#include <xxhash.h>

namespace agateseam
{

void usage_meter::add(std::string_view workspace, std::string_view pool,
                      const usage_counters& counters)
{
    std::uint64_t hash = XXH3_64bits(workspace.data(), workspace.size());
    hash = XXH3_64bits_withSeed(pool.data(), pool.size(), hash);
    stripe& target = this->stripes[hash % stripe_count];
    const std::scoped_lock lock(target.mutex);
    auto found = target.rows.find(hash);
    // On a hash collision the row is stored under the next free number.
    while (found != target.rows.end() && (found->second.first.workspace != workspace ||
                                          found->second.first.pool != pool))
    {
        found = target.rows.find(++hash);
    }
    if (found == target.rows.end())
    {
        usage_key key{std::string(workspace), std::string(pool)};
        found =
            target.rows.emplace(hash, std::pair{std::move(key), usage_counters{}}).first;
    }
    found->second.second += counters;
}

usage_table usage_meter::take()
{
    usage_table taken;
    for (stripe& source : this->stripes)
    {
        const std::scoped_lock lock(source.mutex);
        for (auto& [hash, row] : source.rows)
        {
            taken[std::move(row.first)] += row.second;
        }
        source.rows.clear();
    }
    return taken;
}

} // namespace agateseam

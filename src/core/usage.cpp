#include <agateseam/usage.hpp>

#include <xxhash.h>

namespace agateseam
{

usage_counters& usage_counters::operator+=(const usage_counters& other) noexcept
{
    for (const usage_field& field : usage_fields)
    {
        this->*field.member += other.*field.member;
    }
    return *this;
}

void add(usage_table& total, const usage_table& added)
{
    for (const auto& [key, counters] : added)
    {
        total[key] += counters;
    }
}

std::uint32_t usage_shard_of(std::string_view workspace) noexcept
{
    return static_cast<std::uint32_t>(XXH3_64bits(workspace.data(), workspace.size()) %
                                      usage_shard_count);
}

} // namespace agateseam

/// Usage counters of a workspace, including waste that is never billed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace agateseam
{

/// \brief Usage of one workspace in one pool; counters only grow.
struct usage_counters
{
    std::uint64_t requests = 0; ///< Requests that were answered completely or partly.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0; ///< The part of `prompt_tokens` found in a cache.
    std::uint64_t output_tokens = 0; ///< Tokens sent to callers.
    std::uint64_t prefill_microseconds = 0;
    std::uint64_t decode_microseconds = 0;
    std::uint64_t link_bytes = 0; ///< KV cache bytes transferred to decode engines.
    std::uint64_t wasted_prompt_tokens = 0; ///< Prefilled for answers nobody received.
    std::uint64_t wasted_output_tokens = 0; ///< Output tokens that nobody received.
    std::uint64_t wasted_microseconds = 0;  ///< Engine time spent on the wasted tokens.

    usage_counters& operator+=(const usage_counters& other) noexcept;

    friend bool operator==(const usage_counters&, const usage_counters&) = default;
};

/// \brief A counter and its name in reports.
struct usage_field
{
    std::string_view name;
    std::uint64_t usage_counters::*member;
};

/// Every counter, in the order of the columns in stored records.
inline constexpr std::array<usage_field, 10> usage_fields{{
    {"requests", &usage_counters::requests},
    {"prompt_tokens", &usage_counters::prompt_tokens},
    {"cached_tokens", &usage_counters::cached_tokens},
    {"output_tokens", &usage_counters::output_tokens},
    {"prefill_microseconds", &usage_counters::prefill_microseconds},
    {"decode_microseconds", &usage_counters::decode_microseconds},
    {"link_bytes", &usage_counters::link_bytes},
    {"wasted_prompt_tokens", &usage_counters::wasted_prompt_tokens},
    {"wasted_output_tokens", &usage_counters::wasted_output_tokens},
    {"wasted_microseconds", &usage_counters::wasted_microseconds},
}};

/// \brief The workspace and the pool that usage is counted for.
struct usage_key
{
    std::string workspace;
    std::string pool;

    friend bool operator==(const usage_key&, const usage_key&) = default;

    /// \brief Orders by workspace, then by pool.
    friend bool operator<(const usage_key& left, const usage_key& right) noexcept
    {
        return std::tie(left.workspace, left.pool) <
               std::tie(right.workspace, right.pool);
    }
};

/// Usage by workspace and pool.
using usage_table = std::map<usage_key, usage_counters>;

/// \brief Adds every row of `added` to `total`.
void add(usage_table& total, const usage_table& added);

/// Hours since 1970-01-01 00:00 UTC.
using usage_hour_number = std::uint64_t;

inline constexpr usage_hour_number hours_per_day = 24;

/// The number of shards that usage records are split into by workspace, so that a record
/// stays below the store's size limit of one megabyte.
inline constexpr std::uint32_t usage_shard_count = 64;

/// \brief Returns the shard of a workspace.
[[nodiscard]] std::uint32_t usage_shard_of(std::string_view workspace) noexcept;

} // namespace agateseam

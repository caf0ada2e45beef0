/// Assigns workspaces to shards and shards to home entries, and decides when another
/// entry may become a shard's home.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>

namespace agateseam
{

/// The number of shards; it is fixed for the life of a fleet.
inline constexpr std::uint32_t share_shard_count = 4'096;

/// \brief Returns a workspace's shard, below `share_shard_count`.
[[nodiscard]] std::uint32_t share_shard_of(std::string_view workspace) noexcept;

/// \brief The record of a shard's home, as the store holds it.
///
/// \remarks It is written only when the home changes, always on the condition that the
/// stored record has not changed since it was read. It does not expire, so no entry has
/// to renew it.
struct shard_home_record
{
    std::string home;              ///< The home entry's VM.
    std::uint64_t incarnation = 0; ///< The incarnation of the home's process.
    std::uint64_t epoch = 0;       ///< Rises by one with each new home.

    friend bool operator==(const shard_home_record&, const shard_home_record&) = default;
};

/// \brief Returns the store's key of a shard's record.
[[nodiscard]] std::string shard_home_record_key(std::uint32_t shard);

[[nodiscard]] std::string to_text(const shard_home_record& record);
[[nodiscard]] result<shard_home_record> parse_shard_home_record(std::string_view text);

/// \brief Returns the entry that should be a shard's home, by rendezvous hashing.
/// \returns empty when there are no entries.
[[nodiscard]] std::string_view preferred_home(std::uint32_t shard,
                                              std::span<const std::string> entries);

/// \brief Tells whether an entry may make itself the home in a shard's record.
///
/// It may when the record is empty, when the platform's list no longer names the home,
/// or when the home was an earlier process on the entry's own VM. A home that merely does
/// not answer keeps its shard: it may be paused, or this entry may be cut off.
///
/// \param listed the VMs of the platform's list, read after the record.
[[nodiscard]] bool may_take_over(const shard_home_record& record, std::string_view vm,
                                 std::uint64_t incarnation,
                                 std::span<const std::string> listed);

} // namespace agateseam

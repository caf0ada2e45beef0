/// Which shard a workspace belongs to, which entry should be a shard's home, and when
/// another may take it over.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>

namespace agateseam
{

/// The number of shards; fixed for the life of a fleet.
inline constexpr std::uint32_t share_shards = 4'096;

/// \brief Returns a workspace's shard, below `share_shards`.
[[nodiscard]] std::uint32_t share_shard(std::string_view workspace) noexcept;

/// \brief The record of a shard's home, as the store holds it.
///
/// \remarks It is written only when the home changes, always on the condition that it is
/// as it was read; there is nothing to renew.
struct share_record
{
    std::string home;              ///< The entry's VM.
    std::uint64_t incarnation = 0; ///< Of its process.
    std::uint64_t epoch = 0;       ///< Rises by one with each home.

    friend bool operator==(const share_record&, const share_record&) = default;
};

/// \brief Returns the store's key of a shard's record.
[[nodiscard]] std::string share_record_key(std::uint32_t shard);

[[nodiscard]] std::string to_text(const share_record& record);
[[nodiscard]] result<share_record> parse_share_record(std::string_view text);

/// \brief Returns the entry that should be a shard's home, by rendezvous hashing.
/// \returns empty when there are no entries.
[[nodiscard]] std::string_view preferred_home(std::uint32_t shard,
                                              std::span<const std::string> entries);

/// \brief Tells whether an entry may write itself into a record.
///
/// It may when the record is empty, when the platform's list no longer names the home,
/// or when the home was an earlier process on the entry's own VM. A home that is only
/// silent keeps its shard: it may be paused, or this entry may be cut off.
///
/// \param listed the VMs of the platform's list, read after the record.
[[nodiscard]] bool may_take_over(const share_record& record, std::string_view vm,
                                 std::uint64_t incarnation,
                                 std::span<const std::string> listed);

} // namespace agateseam

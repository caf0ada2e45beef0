/// Usage in the platform's store: written in batches, compacted by day, read as a
/// history.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/object_store.hpp>
#include <agateseam/usage.hpp>
#include <agateseam/usage_batch.hpp>

namespace agateseam
{

/// \brief The stored usage of one shard and one hour.
///
/// The record also holds the highest sequence number applied from each sender, so that a
/// batch that is repeated or arrives after a later one is ignored.
class hourly_usage_record
{
  public:
    /// \brief Parses a record; `invalid` if it is malformed.
    [[nodiscard]] static result<hourly_usage_record> parse(std::string_view text);

    /// \brief Serialises the record as JSON.
    [[nodiscard]] std::string to_text() const;

    /// \brief Adds a batch unless it was applied before.
    /// \returns whether the batch was added.
    bool apply(const usage_batch& batch);

    /// \brief Returns the hour's sums by workspace and pool.
    [[nodiscard]] const usage_table& rows() const noexcept { return this->sums; }

  private:
    usage_table sums;
    std::map<std::string, std::uint64_t> applied; ///< Last sequence number by sender.
};

/// \brief The result of writing batches; positions are indices into the span of batches.
struct usage_write_result
{
    std::vector<usage_receipt> stored; ///< Receipts of the batches at `stored_positions`.
    std::vector<std::size_t> stored_positions;  ///< Batches that are in the store.
    std::vector<std::size_t> refused_positions; ///< Batches that are too old.
    std::optional<error> failure; ///< Why the remaining batches are not stored.
};

/// Usage by hour.
using usage_history = std::map<usage_hour_number, usage_table>;

/// \brief Writes and reads usage. Any process may write: conditional updates prevent lost
/// updates.
class usage_ledger
{
  public:
    /// The maximum age of a batch in hours; older records may be compacted.
    static constexpr usage_hour_number max_batch_age_hours = 72;

    /// \param platform_store must outlive the ledger.
    explicit usage_ledger(object_store& platform_store) noexcept
        : store(&platform_store)
    {
    }

    /// \brief Writes batches, with one update for all batches of the same shard and hour.
    /// \param now the current hour; batches older than `max_batch_age_hours` are refused.
    [[nodiscard]] usage_write_result apply(std::span<const usage_batch> batches,
                                           usage_hour_number now);

    /// \brief Returns a shard's usage by hour, from `from` up to but not including `to`.
    [[nodiscard]] result<usage_history> read(std::uint32_t shard, usage_hour_number from,
                                             usage_hour_number to);

    /// \brief Moves a shard's hourly records of a day into one record of that day, except
    /// those that still accept batches. Repeating the call changes nothing.
    /// \returns how many hours were moved.
    [[nodiscard]] result<std::uint32_t>
    compact_day(std::uint32_t shard, std::uint64_t day, usage_hour_number now);

  private:
    [[nodiscard]] result<void> apply_group(std::string_view key,
                                           std::span<const usage_batch* const> group);

    object_store* store;
};

} // namespace agateseam

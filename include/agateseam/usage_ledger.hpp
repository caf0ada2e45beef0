/// Usage in the platform's store: written in batches, folded by day, read as a history.
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

/// \brief The store's record of one shard and one hour.
///
/// Beside the sums it keeps the highest batch number of each process that is in them, so
/// that a batch counts once however often and in whatever order it arrives.
class usage_hour
{
  public:
    /// \brief Reads a record; `invalid` when it is malformed.
    [[nodiscard]] static result<usage_hour> parse(std::string_view text);

    [[nodiscard]] std::string to_text() const;

    /// \brief Adds a batch unless it is in already.
    /// \returns whether the sums changed.
    bool apply(const usage_batch& batch);

    [[nodiscard]] const usage_table& rows() const noexcept { return this->sums; }

  private:
    usage_table sums;
    std::map<std::string, std::uint64_t> applied;
};

/// \brief What became of some batches.
struct usage_outcome
{
    std::vector<usage_receipt> stored;  ///< Of those at `positions`, in the same order.
    std::vector<std::size_t> positions; ///< Places in the span that are stored.
    std::vector<std::size_t> refused;   ///< Places whose hour is closed for good.
    std::optional<error> fault;         ///< Why the others are not stored.
};

/// Tables by hour.
using usage_history = std::map<usage_hour_number, usage_table>;

/// \brief Writes and reads usage; any process may, conditional updates keep it right.
class usage_ledger
{
  public:
    /// Hours for which a batch may arrive late; its record is folded after that.
    static constexpr usage_hour_number open_hours = 72;

    /// \param store must outlive the ledger.
    explicit usage_ledger(object_store& platform) noexcept
        : store(&platform)
    {
    }

    /// \brief Writes batches, those of one shard and hour together.
    /// \param now the current hour; batches older than `open_hours` are refused.
    [[nodiscard]] usage_outcome apply(std::span<const usage_batch> batches,
                                      usage_hour_number now);

    /// \brief Reads a shard's hours, from the first to before the last.
    [[nodiscard]] result<usage_history> read(std::uint32_t shard, usage_hour_number from,
                                             usage_hour_number to);

    /// \brief Moves a shard's closed hours of a day into the record of that day.
    /// \returns how many hours were moved; repeating it changes nothing.
    [[nodiscard]] result<std::uint32_t> fold(std::uint32_t shard, std::uint64_t day,
                                             usage_hour_number now);

  private:
    [[nodiscard]] result<void> apply_group(std::string_view key,
                                           std::span<const usage_batch* const> group);

    object_store* store;
};

} // namespace agateseam

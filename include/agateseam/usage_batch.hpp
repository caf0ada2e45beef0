/// Usage of a process in numbered batches that are resent until the store has them.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Usage of one shard and one hour; immutable once it has a sequence number.
struct usage_batch
{
    std::string process;           ///< The name of the process's VM.
    std::uint64_t incarnation = 0; ///< The process's start in wall-clock milliseconds.
    std::uint64_t sequence = 0;    ///< Increases with each batch of one incarnation.
    std::uint32_t shard = 0;
    usage_hour_number hour = 0;
    usage_table rows;

    /// \brief Returns the name that identifies the sending process and incarnation in
    /// stored records.
    [[nodiscard]] std::string sender_id() const;
};

/// \brief Confirms that a batch is in the store.
struct usage_receipt
{
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0;
};

/// \brief Serialises batches as JSON.
[[nodiscard]] std::string to_text(std::span<const usage_batch> batches);

/// \brief Parses the JSON of batches; `invalid` if it is malformed.
[[nodiscard]] result<std::vector<usage_batch>> parse_usage_batches(std::string_view text);

/// \brief Serialises receipts as JSON.
[[nodiscard]] std::string to_text(std::span<const usage_receipt> receipts);

/// \brief Parses the JSON of receipts; `invalid` if it is malformed.
[[nodiscard]] result<std::vector<usage_receipt>>
parse_usage_receipts(std::string_view text);

/// \brief Keeps a process's usage until the store has it. Thread-safe.
///
/// At most one batch of each shard is in flight. Usage that is added meanwhile is summed
/// by workspace, pool and hour, so memory use during an outage depends on the number of
/// these sums, not on the number of requests.
class usage_outbox
{
  public:
    /// \param process the name of the process's VM.
    /// \param incarnation the process's start time in wall-clock milliseconds.
    usage_outbox(std::string process, std::uint64_t incarnation);

    /// \brief Adds the usage of an hour.
    void collect(const usage_table& rows, usage_hour_number hour);

    /// \brief Returns the batches to send: the unacknowledged batches, unchanged, and for
    /// each other shard a new batch with the usage of its oldest hour.
    [[nodiscard]] std::vector<usage_batch> seal_batches();

    /// \brief Removes a batch that is in the store.
    void acknowledge(const usage_receipt& receipt);

    /// \brief Removes a batch that the ledger refused because it is too old.
    /// \returns the batch's rows; empty if the batch is not in flight.
    [[nodiscard]] usage_table discard(const usage_receipt& receipt);

    /// \brief Returns whether all usage is in the store.
    [[nodiscard]] bool empty() const;

    /// \brief Returns how many rows are waiting or in flight.
    [[nodiscard]] std::size_t rows() const;

  private:
    struct shard_state
    {
        std::optional<usage_batch> in_flight;             ///< Sent, not acknowledged yet.
        std::map<usage_hour_number, usage_table> waiting; ///< Not in a batch yet.
    };

    std::string process;
    std::uint64_t incarnation;
    mutable std::mutex mutex;
    std::uint64_t last_sequence = 0;
    std::map<std::uint32_t, shard_state> shards;
};

} // namespace agateseam

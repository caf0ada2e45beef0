/// A process's usage on its way to the store: sealed, numbered, sent until acknowledged.
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

/// \brief Rows of one shard and one hour; never changes once it has a number.
struct usage_batch
{
    std::string process;           ///< The VM's name.
    std::uint64_t incarnation = 0; ///< The process's start, in wall milliseconds.
    std::uint64_t sequence = 0;    ///< Rises within one incarnation.
    std::uint32_t shard = 0;
    usage_hour_number hour = 0;
    usage_table rows;

    /// \brief Returns the name under which records remember the process's batches.
    [[nodiscard]] std::string source() const;
};

/// \brief Says that a batch is in the store.
struct usage_receipt
{
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0;
};

[[nodiscard]] std::string to_text(std::span<const usage_batch> batches);
[[nodiscard]] result<std::vector<usage_batch>> parse_usage_batches(std::string_view text);

[[nodiscard]] std::string to_text(std::span<const usage_receipt> receipts);
[[nodiscard]] result<std::vector<usage_receipt>>
parse_usage_receipts(std::string_view text);

/// \brief Holds a process's usage until the store has it; safe from any thread.
///
/// Of each shard one batch is under way at a time; what comes meanwhile waits and is
/// added up, so an outage costs memory by workspaces and hours, not by time.
class usage_outbox
{
  public:
    /// \param process the VM's name.
    /// \param incarnation the process's start, in wall milliseconds.
    usage_outbox(std::string process, std::uint64_t incarnation);

    /// \brief Adds what was used in an hour.
    void collect(const usage_table& rows, usage_hour_number hour);

    /// \brief Returns the batches to send: those sent before without a receipt,
    /// unchanged, and for each other shard what waits of its oldest hour.
    [[nodiscard]] std::vector<usage_batch> seal();

    /// \brief Forgets a batch that the store has.
    void acknowledge(const usage_receipt& receipt);

    /// \brief Gives up a batch that the records refuse for its age.
    /// \returns its rows.
    [[nodiscard]] usage_table give_up(const usage_receipt& receipt);

    /// \brief Tells whether everything has arrived.
    [[nodiscard]] bool empty() const;

    /// \brief Returns how many rows wait or are under way.
    [[nodiscard]] std::size_t rows() const;

  private:
    struct shard_state
    {
        std::optional<usage_batch> sealed;
        std::map<usage_hour_number, usage_table> waiting;
    };

    std::string process;
    std::uint64_t incarnation;
    mutable std::mutex mutex;
    std::uint64_t sequence = 0;
    std::map<std::uint32_t, shard_state> shards;
};

} // namespace agateseam

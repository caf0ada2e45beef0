/// Keeps the blocks of crashing prompt parts in the platform's store, and claims their
/// trials there.
#pragma once

#include <gateway/entry_state.hpp>
#include <gateway/platform_link.hpp>

namespace agateseam
{

/// \brief Saves new blocks, reads those that other entries have saved, and logs all
/// changes.
///
/// Entries tell each other of blocks by digests. The store is read once at the start,
/// after it was restored, and regularly while some entries can't be reached; of the
/// entries that reach each other, one writes and reads for all.
class quarantine_keeper
{
  public:
    quarantine_keeper(entry_state& entry, platform_link& entry_link);

    /// \brief Runs for as long as the process.
    task<void> run();

    /// \brief Records that the store may have lost all blocks.
    void on_store_restored();

  private:
    task<bool> claim_trial(part_block block);
    task<bool> claim(part_block next);
    task<void> read_blocks();
    task<void> save_blocks();
    void apply(std::vector<part_block> blocks);
    void log_changes();
    /// Tells whether this entry reads and writes for the reachable ones.
    [[nodiscard]] bool acts_for_others() const;

    entry_state* state;
    platform_link* link;
    bool is_read = false; ///< Whether the blocks were read in this era of the store.
    bool is_busy = false; ///< Whether a call is under way.
    time_point read_at{};
};

} // namespace agateseam

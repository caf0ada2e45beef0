/// The blocks that one engine's cache holds, as far as its events tell.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_set>

#include <agateseam/cache_digest.hpp>

namespace agateseam
{

/// \brief What an engine's cache event says about a block.
enum class cache_event_kind : std::uint8_t
{
    stored,
    removed
};

/// \brief Tracks the blocks in an engine's cache by its events, which come late and with
/// gaps.
///
/// After a gap the index holds no block until an event or its use shows that it is
/// cached. A block wrongly believed to be cached makes the estimate of a prefill wrong; a
/// cached block that is not known only loses a saving.
///
/// \remarks Not thread-safe.
class cache_index
{
  public:
    /// \brief Applies an event.
    /// \param sequence Rises by one with each event of the engine.
    /// \returns false if events before this one are missing; the index is then cleared
    /// before the event is applied. Old and repeated events change nothing.
    bool apply(std::uint64_t sequence, cache_event_kind kind, std::uint64_t block);

    /// \brief Records that the engine has just used a chain of blocks, so it holds them
    /// all.
    ///
    /// Blocks that stay in use cause no events, so that after a gap only their use shows
    /// that they are cached.
    void confirm(std::span<const std::uint64_t> chain);

    /// \brief Clears the index, as needed after a restart of the engine.
    void reset() noexcept;

    [[nodiscard]] bool contains(std::uint64_t block) const noexcept
    {
        return this->blocks.contains(block);
    }
    [[nodiscard]] std::size_t size() const noexcept { return this->blocks.size(); }
    [[nodiscard]] std::uint64_t gaps() const noexcept { return this->gap_count; }

    /// \brief Makes the digest that entries hold.
    [[nodiscard]] cache_digest digest() const;

  private:
    std::unordered_set<std::uint64_t> blocks;
    std::uint64_t last_sequence = 0;
    std::uint64_t gap_count = 0;
};

} // namespace agateseam

/// The blocks that one engine's cache holds, as far as its events tell.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_set>

#include <agateseam/cache_digest.hpp>

namespace agateseam
{

/// \brief What an engine's cache event says.
enum class cache_event_kind : std::uint8_t
{
    stored,
    removed
};

/// \brief Follows an engine's cache events, which come late and with gaps.
///
/// After a gap it claims nothing until blocks are seen again or confirmed by use: a block
/// thought to be there that is not costs a prefill's estimate, a missed one only a
/// saving.
///
/// \remarks Not safe from several threads.
class cache_index
{
  public:
    /// \brief Takes an event.
    /// \param sequence Rises by one with each event of the engine.
    /// \returns whether it followed the one before; after a gap the index is empty but
    /// for this event. Old and repeated events change nothing.
    bool apply(std::uint64_t sequence, cache_event_kind kind, std::uint64_t block);

    /// \brief Notes that the engine has just used a chain, so holds all of it.
    ///
    /// Blocks that stay in use cause no events, so after a gap only this shows them.
    void confirm(std::span<const std::uint64_t> chain);

    /// \brief Starts anew, as when the engine was restarted.
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
    std::uint64_t last = 0;
    std::uint64_t gap_count = 0;
};

} // namespace agateseam

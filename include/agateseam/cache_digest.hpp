/// A compact, approximate set of the KV cache blocks that an engine holds.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace agateseam
{

/// \brief Hashes a prompt into a chain of block hashes, salted by its workspace.
///
/// A block's hash covers all blocks before it, so that equal hashes mean equal prefixes,
/// and the salt keeps one workspace's blocks from ever matching another's.
///
/// \param block_bytes Bytes of one block, above 0; an incomplete last block is left out.
[[nodiscard]] std::vector<std::uint64_t>
hash_blocks(std::string_view workspace, std::string_view prompt, std::size_t block_bytes);

/// \brief A Bloom filter of block hashes; immutable once made.
///
/// \remarks It may report a block that isn't in the set (about one in a hundred), but
/// never misses one that is.
class cache_digest
{
  public:
    cache_digest() = default;

    /// \brief Makes the digest of a set of blocks.
    explicit cache_digest(std::span<const std::uint64_t> blocks);

    /// \brief Tells whether a block is probably in the set.
    [[nodiscard]] bool contains(std::uint64_t block) const noexcept;

    /// \brief Returns how many leading blocks of a chain are probably in the set.
    [[nodiscard]] std::size_t
    matching_prefix_length(std::span<const std::uint64_t> chain) const noexcept;

    /// \brief Returns the size of the filter in bytes.
    [[nodiscard]] std::size_t size_bytes() const noexcept
    {
        return this->words.size() * sizeof(std::uint64_t);
    }

  private:
    std::vector<std::uint64_t> words; ///< Empty, or a power of two of words.
};

} // namespace agateseam

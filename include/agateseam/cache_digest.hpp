/// A compact answer to "does this engine's cache hold that block?".
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
/// \param block_bytes Bytes of one block, above 0; a rest shorter than that is left out.
[[nodiscard]] std::vector<std::uint64_t>
hash_blocks(std::string_view workspace, std::string_view prompt, std::size_t block_bytes);

/// \brief A Bloom filter of block hashes; immutable once made.
///
/// \remarks May claim a block that is not there (about one in a hundred), never the
/// reverse.
class cache_digest
{
  public:
    cache_digest() = default;

    /// \brief Makes the digest of a set of blocks.
    explicit cache_digest(std::span<const std::uint64_t> blocks);

    /// \brief Tells whether a block is probably there.
    [[nodiscard]] bool contains(std::uint64_t block) const noexcept;

    /// \brief Returns how many leading blocks of a chain are probably there.
    [[nodiscard]] std::size_t
    matching_prefix(std::span<const std::uint64_t> chain) const noexcept;

    /// \brief Returns its size in bytes.
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return this->words.size() * sizeof(std::uint64_t);
    }

  private:
    std::vector<std::uint64_t> words; ///< A power of two of them, or none.
};

} // namespace agateseam

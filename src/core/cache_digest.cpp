#include <agateseam/cache_digest.hpp>

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace agateseam
{

namespace
{

constexpr std::size_t bits_per_block = 10;
constexpr int bits_set_per_block = 5;
constexpr std::size_t word_bits = 64;

/// Calls `call` with the word index and mask of each bit of a block until it returns
/// false.
template <typename Call>
bool for_each_bit(std::uint64_t block, std::size_t words, Call call)
{
    const std::uint64_t mask = words * word_bits - 1;
    const std::uint64_t stride = (block >> 32U) | 1U;
    std::uint64_t hash = block;
    for (int step = 0; step < bits_set_per_block; ++step)
    {
        const std::uint64_t bit = hash & mask;
        if (!call(bit / word_bits, std::uint64_t{1} << (bit % word_bits)))
        {
            return false;
        }
        hash += stride;
    }
    return true;
}

} // namespace

std::vector<std::uint64_t> hash_blocks(std::string_view workspace,
                                       std::string_view prompt, std::size_t block_bytes)
{
    std::vector<std::uint64_t> chain;
    chain.reserve(prompt.size() / block_bytes);
    std::uint64_t hash = XXH3_64bits(workspace.data(), workspace.size());
    for (std::size_t begin = 0; begin + block_bytes <= prompt.size();
         begin += block_bytes)
    {
        hash = XXH3_64bits_withSeed(prompt.data() + begin, block_bytes, hash);
        chain.push_back(hash);
    }
    return chain;
}

cache_digest::cache_digest(std::span<const std::uint64_t> blocks)
{
    if (blocks.empty())
    {
        return;
    }
    const std::size_t bits = std::max(word_bits, blocks.size() * bits_per_block);
    this->words.resize(std::bit_ceil(bits) / word_bits);
    for (const std::uint64_t block : blocks)
    {
        for_each_bit(block, this->words.size(),
                     [this](std::size_t word, std::uint64_t bit)
                     {
                         this->words[word] |= bit;
                         return true;
                     });
    }
}

bool cache_digest::contains(std::uint64_t block) const noexcept
{
    return !this->words.empty() &&
           for_each_bit(block, this->words.size(),
                        [this](std::size_t word, std::uint64_t bit)
                        { return (this->words[word] & bit) != 0; });
}

std::size_t
cache_digest::matching_prefix_length(std::span<const std::uint64_t> chain) const noexcept
{
    const auto missing =
        std::find_if_not(chain.begin(), chain.end(),
                         [this](std::uint64_t block) { return this->contains(block); });
    return static_cast<std::size_t>(missing - chain.begin());
}

} // namespace agateseam

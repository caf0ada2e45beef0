#include <agateseam/cache_index.hpp>

#include <vector>

namespace agateseam
{

bool cache_index::apply(std::uint64_t sequence, cache_event_kind kind,
                        std::uint64_t block)
{
    if (sequence <= this->last_sequence)
    {
        return true;
    }
    const bool follows = sequence == this->last_sequence + 1;
    if (!follows)
    {
        this->blocks.clear();
        ++this->gap_count;
    }
    this->last_sequence = sequence;
    if (kind == cache_event_kind::stored)
    {
        this->blocks.insert(block);
    }
    else
    {
        this->blocks.erase(block);
    }
    return follows;
}

void cache_index::confirm(std::span<const std::uint64_t> chain)
{
    this->blocks.insert(chain.begin(), chain.end());
}

void cache_index::reset() noexcept
{
    this->blocks.clear();
    this->last_sequence = 0;
}

cache_digest cache_index::digest() const
{
    const std::vector<std::uint64_t> held_blocks(this->blocks.begin(),
                                                 this->blocks.end());
    return cache_digest(held_blocks);
}

} // namespace agateseam

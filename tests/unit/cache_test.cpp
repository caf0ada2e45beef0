#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <set>
#include <string>

#include <agateseam/cache_digest.hpp>
#include <agateseam/cache_index.hpp>

using namespace agateseam;

TEST_CASE("hash chains are equal up to the first different block and differ by workspace")
{
    const std::string left = std::string(40, 'a') + std::string(20, 'b');
    const std::string right = std::string(40, 'a') + std::string(20, 'c');
    const auto left_chain = hash_blocks("oshana", left, 20);
    const auto right_chain = hash_blocks("oshana", right, 20);
    REQUIRE(left_chain.size() == 3);
    CHECK(left_chain[0] == right_chain[0]);
    CHECK(left_chain[1] == right_chain[1]);
    CHECK(left_chain[2] != right_chain[2]);
    CHECK(left_chain[0] != left_chain[1]);
    CHECK(hash_blocks("swakop", left, 20)[0] != left_chain[0]);
    CHECK(hash_blocks("oshana", left.substr(0, 19), 20).empty());
}

TEST_CASE("a digest finds all its blocks and reports few others")
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        blocks.push_back(hash_blocks("w", std::to_string(number + 1'000), 4)[0]);
    }
    const cache_digest digest(blocks);
    CHECK(digest.matching_prefix_length(blocks) == blocks.size());
    int false_positives = 0;
    for (int number = 0; number < 10'000; ++number)
    {
        false_positives +=
            digest.contains(hash_blocks("x", std::to_string(number + 1'000), 4)[0]);
    }
    CHECK(false_positives < 300);
    CHECK(digest.size_bytes() <= 512);
    CHECK_FALSE(cache_digest().contains(blocks[0]));
}

TEST_CASE("after a gap the index holds only blocks that are stored or confirmed again")
{
    cache_index index;
    CHECK(index.apply(1, cache_event_kind::stored, 10));
    CHECK(index.apply(2, cache_event_kind::stored, 11));
    CHECK(index.apply(2, cache_event_kind::removed, 11));
    CHECK(index.contains(11));
    CHECK_FALSE(index.apply(4, cache_event_kind::stored, 12));
    CHECK_FALSE(index.contains(10));
    CHECK(index.contains(12));
    CHECK(index.gaps() == 1);
    const std::vector<std::uint64_t> used_blocks{10, 12};
    index.confirm(used_blocks);
    CHECK(index.contains(10));
    CHECK(index.apply(5, cache_event_kind::removed, 10));
    CHECK_FALSE(index.contains(10));
    index.reset();
    CHECK(index.size() == 0);
}

TEST_CASE("with lost and old events the index holds no block that was removed")
{
    const bool passed = rc::check(
        []
        {
            cache_index index;
            std::set<std::uint64_t> cached;
            std::uint64_t sequence = 0;
            bool event_lost = false;
            const auto step_count = *rc::gen::inRange(0, 200);
            for (int step = 0; step < step_count; ++step)
            {
                const std::uint64_t block = *rc::gen::inRange<std::uint64_t>(0, 20);
                const bool stored = *rc::gen::inRange(0, 2) == 0;
                const auto kind =
                    stored ? cache_event_kind::stored : cache_event_kind::removed;
                stored ? (void)cached.insert(block) : (void)cached.erase(block);
                ++sequence;
                event_lost = *rc::gen::inRange(0, 8) == 0;
                if (event_lost)
                {
                    continue;
                }
                index.apply(sequence, kind, block);
                index.apply(*rc::gen::inRange<std::uint64_t>(0, sequence),
                            cache_event_kind::stored, block + 100);
                for (std::uint64_t candidate = 0; candidate < 200; ++candidate)
                {
                    RC_ASSERT(!index.contains(candidate) || cached.contains(candidate));
                }
            }
        });
    CHECK(passed);
}

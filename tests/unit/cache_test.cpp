#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <set>
#include <string>

#include <agateseam/cache_digest.hpp>
#include <agateseam/cache_index.hpp>

using namespace agateseam;

TEST_CASE(
    "a chain is shared up to the first block that differs, and by no other workspace")
{
    const std::string left = std::string(40, 'a') + std::string(20, 'b');
    const std::string right = std::string(40, 'a') + std::string(20, 'c');
    const auto one = hash_blocks("oshana", left, 20);
    const auto two = hash_blocks("oshana", right, 20);
    REQUIRE(one.size() == 3);
    CHECK(one[0] == two[0]);
    CHECK(one[1] == two[1]);
    CHECK(one[2] != two[2]);
    CHECK(one[0] != one[1]);
    CHECK(hash_blocks("swakop", left, 20)[0] != one[0]);
    CHECK(hash_blocks("oshana", left.substr(0, 19), 20).empty());
}

TEST_CASE("a digest never misses a block, and claims few that are not there")
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        blocks.push_back(hash_blocks("w", std::to_string(number + 1'000), 4)[0]);
    }
    const cache_digest digest(blocks);
    CHECK(digest.matching_prefix(blocks) == blocks.size());
    int wrong = 0;
    for (int number = 0; number < 10'000; ++number)
    {
        wrong += digest.contains(hash_blocks("x", std::to_string(number + 1'000), 4)[0]);
    }
    CHECK(wrong < 300);
    CHECK(digest.bytes() <= 512);
    CHECK_FALSE(cache_digest().contains(blocks[0]));
}

TEST_CASE("after a gap only what is seen again counts")
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
    const std::vector<std::uint64_t> used{10, 12};
    index.confirm(used);
    CHECK(index.contains(10));
    CHECK(index.apply(5, cache_event_kind::removed, 10));
    CHECK_FALSE(index.contains(10));
    index.reset();
    CHECK(index.size() == 0);
}

TEST_CASE("with lost, late and repeated events the index claims nothing that is gone")
{
    const bool held = rc::check(
        []
        {
            cache_index index;
            std::set<std::uint64_t> truth;
            std::uint64_t sequence = 0;
            bool behind = false;
            const auto steps = *rc::gen::inRange(0, 200);
            for (int step = 0; step < steps; ++step)
            {
                const std::uint64_t block = *rc::gen::inRange<std::uint64_t>(0, 20);
                const bool stored = *rc::gen::inRange(0, 2) == 0;
                const auto kind =
                    stored ? cache_event_kind::stored : cache_event_kind::removed;
                stored ? (void)truth.insert(block) : (void)truth.erase(block);
                ++sequence;
                behind = *rc::gen::inRange(0, 8) == 0;
                if (behind)
                {
                    continue;
                }
                index.apply(sequence, kind, block);
                index.apply(*rc::gen::inRange<std::uint64_t>(0, sequence),
                            cache_event_kind::stored, block + 100);
                for (std::uint64_t known = 0; known < 200; ++known)
                {
                    RC_ASSERT(!index.contains(known) || truth.contains(known));
                }
            }
        });
    CHECK(held);
}

#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include <agateseam/hybrid_clock.hpp>

using namespace agateseam;

TEST_CASE("timestamps of one process increase even while the wall clock does not")
{
    manual_clock time;
    hybrid_clock clock(time);
    const hybrid_time first = clock.tick();
    const hybrid_time second = clock.tick();
    CHECK(first < second);
    time.advance(std::chrono::seconds(1));
    CHECK(clock.tick().milliseconds() == 1'000);
}

TEST_CASE(
    "a message's receipt gets a later timestamp than its sending despite clock skew")
{
    manual_clock fast_time;
    fast_time.advance(std::chrono::seconds(5));
    manual_clock slow_time;
    hybrid_clock sender(fast_time);
    hybrid_clock receiver(slow_time);
    const hybrid_time sent = sender.tick();
    CHECK(receiver.merge(sent));
    CHECK(sent < receiver.tick());
}

TEST_CASE("a received timestamp too far ahead of the wall clock is rejected")
{
    manual_clock wrong_time;
    wrong_time.advance(hybrid_clock::max_lead + std::chrono::seconds(1));
    manual_clock correct_time;
    hybrid_clock sender(wrong_time);
    hybrid_clock receiver(correct_time);
    CHECK_FALSE(receiver.merge(sender.tick()));
    CHECK(receiver.tick().milliseconds() == 0);
}

TEST_CASE("concurrent threads never get the same timestamp")
{
    manual_clock time;
    hybrid_clock clock(time);
    constexpr int timestamps_per_thread = 2'000;
    std::vector<std::vector<hybrid_time>> timestamps_by_thread(4);
    std::vector<std::thread> threads;
    for (auto& timestamps : timestamps_by_thread)
    {
        threads.emplace_back(
            [&]
            {
                for (int count = 0; count < timestamps_per_thread; ++count)
                {
                    timestamps.push_back(clock.tick());
                }
            });
    }
    std::vector<hybrid_time> all_timestamps;
    for (std::size_t index = 0; index < threads.size(); ++index)
    {
        threads[index].join();
        all_timestamps.insert(all_timestamps.end(), timestamps_by_thread[index].begin(),
                              timestamps_by_thread[index].end());
    }
    std::sort(all_timestamps.begin(), all_timestamps.end());
    CHECK(std::adjacent_find(all_timestamps.begin(), all_timestamps.end()) ==
          all_timestamps.end());
}

TEST_CASE("a timestamp round-trips through its text, and invalid text is rejected")
{
    const hybrid_time timestamp{123'456'789};
    CHECK(parse_hybrid_time(to_text(timestamp)).value() == timestamp);
    CHECK_FALSE(parse_hybrid_time("12x"));
    CHECK_FALSE(parse_hybrid_time(""));
}

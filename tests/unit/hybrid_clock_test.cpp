#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include <agateseam/hybrid_clock.hpp>

using namespace agateseam;

TEST_CASE("stamps rise on one process also when its calendar stands still")
{
    manual_clock time;
    hybrid_clock clock(time);
    const hybrid_time first = clock.tick();
    const hybrid_time second = clock.tick();
    CHECK(first < second);
    time.advance(std::chrono::seconds(1));
    CHECK(clock.tick().milliseconds() == 1'000);
}

TEST_CASE("a message's receipt is stamped after its sending, whatever the calendars say")
{
    manual_clock ahead;
    ahead.advance(std::chrono::seconds(5));
    manual_clock behind;
    hybrid_clock sender(ahead);
    hybrid_clock receiver(behind);
    const hybrid_time sent = sender.tick();
    CHECK(receiver.merge(sent));
    CHECK(sent < receiver.tick());
}

TEST_CASE("a stamp far ahead of the calendar is not taken over")
{
    manual_clock wrong;
    wrong.advance(hybrid_clock::largest_lead + std::chrono::seconds(1));
    manual_clock right;
    hybrid_clock sender(wrong);
    hybrid_clock receiver(right);
    CHECK_FALSE(receiver.merge(sender.tick()));
    CHECK(receiver.tick().milliseconds() == 0);
}

TEST_CASE("threads never get the same stamp")
{
    manual_clock time;
    hybrid_clock clock(time);
    constexpr int per_thread = 2'000;
    std::vector<std::vector<hybrid_time>> seen(4);
    std::vector<std::thread> threads;
    for (auto& own : seen)
    {
        threads.emplace_back(
            [&]
            {
                for (int count = 0; count < per_thread; ++count)
                {
                    own.push_back(clock.tick());
                }
            });
    }
    std::vector<hybrid_time> all;
    for (std::size_t index = 0; index < threads.size(); ++index)
    {
        threads[index].join();
        all.insert(all.end(), seen[index].begin(), seen[index].end());
    }
    std::sort(all.begin(), all.end());
    CHECK(std::adjacent_find(all.begin(), all.end()) == all.end());
}

TEST_CASE("a stamp survives its header, and nonsense does not pass for one")
{
    const hybrid_time stamp{123'456'789};
    CHECK(parse_hybrid_time(to_text(stamp)).value() == stamp);
    CHECK_FALSE(parse_hybrid_time("12x"));
    CHECK_FALSE(parse_hybrid_time(""));
}

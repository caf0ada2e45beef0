#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include <agateseam/event_log.hpp>

using namespace agateseam;

TEST_CASE(
    "the event log keeps the newest events and returns those after a sequence number")
{
    manual_clock time_source;
    hybrid_clock clock(time_source);
    event_log log("entry-1", clock, 4);
    for (int value = 1; value <= 6; ++value)
    {
        log.add({event_kind::admitted, "r", 0, "dune", "", value});
    }
    const auto kept = log.after(0);
    REQUIRE(kept.size() == 4);
    CHECK(kept.front().value == 3);
    CHECK(kept.back().value == 6);
    CHECK(kept.back().process == "entry-1");
    CHECK(log.after(5).size() == 1);
    CHECK(log.after(6).empty());
}

TEST_CASE("long texts are truncated and kinds have distinct names")
{
    manual_clock time_source;
    hybrid_clock clock(time_source);
    event_log log("entry-1", clock);
    log.add({event_kind::sent, std::string(100, 'r'), 2, std::string(100, 'w')});
    const auto kept = log.after(0);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].request.size() == event_log::max_request_id_length);
    CHECK(kept[0].workspace.size() == event_log::max_text_length);
    for (int kind = 0; kind <= static_cast<int>(event_kind::last); ++kind)
    {
        const auto value = static_cast<event_kind>(kind);
        CHECK(parse_event_kind(to_string(value)).value() == value);
    }
}

TEST_CASE(
    "concurrent writers and a reader lose no events except those counted as dropped")
{
    manual_clock time_source;
    hybrid_clock clock(time_source);
    event_log log("entry-1", clock, 1 << 14);
    std::vector<std::thread> writers;
    for (int thread = 0; thread < 3; ++thread)
    {
        writers.emplace_back(
            [&]
            {
                for (int count = 0; count < 4'000; ++count)
                {
                    log.add({event_kind::sent, "request", 1, "dune", "decode-1", count});
                }
            });
    }
    for (int round = 0; round < 50; ++round)
    {
        for (const event& logged : log.after(0))
        {
            REQUIRE(logged.request == "request");
        }
    }
    for (std::thread& writer : writers)
    {
        writer.join();
    }
    CHECK(log.after(0).size() + log.dropped() == log.added());
}

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <daemon/server_sent_events.hpp>

using namespace agateseam;

TEST_CASE("an event is complete only after its empty line")
{
    event_splitter events;
    events.feed("event: usage\nid: 2.7\ndata: {}\n");
    CHECK(!events.next());
    CHECK(events.partial());
    events.feed("\n:\n\ndata: x\n\n");
    auto event = events.next();
    REQUIRE(event);
    CHECK(event->name == "usage");
    CHECK(event->id == "2.7");
    CHECK(event->data == "{}");
    do
    {
        event = events.next();
        REQUIRE(event);
    } while (event->data.empty());
    CHECK(event->data == "x");
    CHECK(!events.next());
    CHECK(!events.partial());
}

TEST_CASE("events are parsed whatever the sizes of the received pieces")
{
    CHECK(rc::check(
        [](const std::vector<std::uint32_t>& numbers, std::uint8_t size_seed)
        {
            std::string bytes;
            for (const std::uint32_t number : numbers)
            {
                bytes += to_text({"", "1." + std::to_string(number), "d"});
                bytes += stream_heartbeat;
            }
            event_splitter events;
            std::vector<std::string> ids;
            const std::size_t size = std::size_t{size_seed} % 17 + 1;
            for (std::size_t at = 0; at < bytes.size(); at += size)
            {
                events.feed(std::string_view(bytes).substr(at, size));
                while (const auto event = events.next())
                {
                    if (!event->id.empty())
                    {
                        ids.emplace_back(event->id);
                    }
                }
            }
            RC_ASSERT(ids.size() == numbers.size());
            for (std::size_t index = 0; index < ids.size(); ++index)
            {
                RC_ASSERT(ids[index] == "1." + std::to_string(numbers[index]));
            }
            RC_ASSERT(!events.partial());
        }));
}

TEST_CASE("an event without an end becomes oversize")
{
    event_splitter events;
    events.feed("data: a\n\ndata: ");
    REQUIRE(events.next());
    CHECK(!events.is_oversize());
    for (int part = 0; part < 3; ++part)
    {
        events.feed(std::string(512 << 10, 'x'));
        CHECK(!events.next());
        CHECK(events.is_oversize() == (part > 0));
    }
}

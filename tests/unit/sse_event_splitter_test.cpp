#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <gateway/sse_event_splitter.hpp>

using namespace agateseam;

TEST_CASE("only whole events are returned, and the last event's number is kept")
{
    sse_event_splitter events;
    CHECK(events.extract_complete_events("id: 1\ndata: a\n\nid: 2\nda") ==
          "id: 1\ndata: a\n\n");
    CHECK(events.last_event_number() == 1);
    CHECK(!events.is_at_event_boundary());
    CHECK(events.extract_complete_events("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.last_event_number() == 2);
    CHECK(events.is_at_event_boundary());
    CHECK(events.extract_complete_events("id: 3\r\ndata: c\r\n\r\n") ==
          "id: 3\r\ndata: c\r\n\r\n");
    CHECK(events.last_event_number() == 3);
    CHECK(events.extract_complete_events("id: 4\ndata") == "");
    events.resume();
    CHECK(events.is_at_event_boundary());
    CHECK(events.last_event_number() == 3);
}

TEST_CASE("events that a server repeats after a resumption are skipped")
{
    sse_event_splitter events;
    CHECK(events.extract_complete_events("id: 1\n\nid: 2\n\nid: 3\nda") ==
          "id: 1\n\nid: 2\n\n");
    events.resume();
    CHECK(events.extract_complete_events("id: 1\n\nid: 2\n\nid: 3\n\n: note\n\n") ==
          "id: 3\n\n: note\n\n");
    CHECK(events.last_event_number() == 3);
}

TEST_CASE("the events of a stream don't depend on how its bytes are split into reads")
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& read_sizes)
        {
            std::string full_stream;
            for (int number = 1; number <= 5; ++number)
            {
                full_stream += "id: " + std::to_string(number) + "\ndata: x\n\n";
            }
            sse_event_splitter events;
            std::string returned;
            std::string_view remaining = full_stream;
            for (const std::uint8_t read_size : read_sizes)
            {
                const std::size_t size =
                    std::min<std::size_t>(read_size % 17, remaining.size());
                returned += events.extract_complete_events(remaining.substr(0, size));
                remaining.remove_prefix(size);
            }
            returned += events.extract_complete_events(remaining);
            RC_ASSERT(returned == full_stream);
            RC_ASSERT(events.last_event_number() == 5);
        }));
}

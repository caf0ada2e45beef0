#include <doctest/doctest.h>

#include <agateseam/backend_directory.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

backend_server make_server(std::string id, bool leaving = false)
{
    backend_server server;
    server.id = std::move(id);
    server.service = "plain";
    server.address = "127.0.0.1:1";
    server.leaving = leaving;
    return server;
}

std::size_t usable_count(const backend_directory& directory)
{
    const auto list = directory.usable();
    const auto found = list->find("plain");
    return found == list->end() ? 0 : found->second.size();
}

} // namespace

TEST_CASE("a server that is leaving is known but not usable")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.put(make_server("b", true));
    CHECK(usable_count(directory) == 1);
    CHECK(directory.size() == 2);
    directory.remove("a", false, start);
    CHECK(usable_count(directory) == 0);
}

TEST_CASE(
    "a server missing from a list is dropped at once if the list was in reach before")
{
    backend_directory directory;
    directory.replace({make_server("a"), make_server("b")}, false, start);
    directory.replace({make_server("b")}, false, start + 1s);
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("after an outage a missing server is kept for the grace period")
{
    backend_directory directory;
    directory.replace({make_server("a"), make_server("b")}, false, start);
    directory.replace({make_server("b")}, true, start + 1s);
    CHECK(usable_count(directory) == 2);
    // A second list that misses the server doesn't extend the grace period.
    directory.replace({make_server("b")}, true, start + 2s);
    CHECK(!directory.expire(start + 1s + backend_directory::outage_grace - 1ms));
    CHECK(directory.expire(start + 1s + backend_directory::outage_grace));
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("the next expiry is that of the first server kept or withheld")
{
    backend_directory directory;
    directory.replace({make_server("a"), make_server("b")}, false, start);
    CHECK(directory.next_expiry() == time_point::max());
    directory.remove("a", true, start + 1s);
    directory.remove("b", true, start + 2s);
    CHECK(directory.next_expiry() == start + 1s + backend_directory::outage_grace);
    CHECK(directory.expire(directory.next_expiry()));
    CHECK(directory.next_expiry() == start + 2s + backend_directory::outage_grace);
    directory.put(make_server("b"));
    CHECK(directory.next_expiry() == time_point::max());
    directory.remove("b", false, start + 3s);
    directory.replace({make_server("b")}, true, start + 4s);
    CHECK(directory.next_expiry() == start + 4s + backend_directory::outage_grace);
}

TEST_CASE("a server that came back within the grace period is not dropped later")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.remove("a", true, start);
    directory.put(make_server("a"));
    CHECK(!directory.expire(start + 1h));
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("a leaving server that is missing after an outage is dropped at once")
{
    backend_directory directory;
    directory.put(make_server("a", true));
    directory.remove("a", true, start);
    CHECK(directory.size() == 0);
}

TEST_CASE("a server that said it leaves isn't used again, whatever the list says")
{
    backend_directory directory;
    const backend_server server = make_server("a");
    directory.replace({server, make_server("b")}, false, start);
    CHECK(directory.record_leaving(server, start));
    CHECK(!directory.record_leaving(server, start + 1s));
    CHECK(directory.said_leaving(server));
    CHECK(usable_count(directory) == 1);
    directory.put(make_server("a"));
    CHECK(usable_count(directory) == 1);
    directory.remove("a", false, start + 2s);
    directory.replace({make_server("a"), make_server("b")}, false, start + 3s);
    CHECK(usable_count(directory) == 1);
    CHECK(!directory.said_leaving(make_server("b")));
}

TEST_CASE("a later incarnation under the id of one that said it leaves is used")
{
    backend_directory directory;
    backend_server server = make_server("a");
    server.born_ms = 1'000;
    directory.put(server);
    CHECK(directory.record_leaving(server, start));
    backend_server earlier = server;
    earlier.born_ms = 900;
    directory.put(earlier);
    CHECK(usable_count(directory) == 0);
    backend_server later = server;
    later.born_ms = 2'000;
    directory.put(later);
    CHECK(usable_count(directory) == 1);
    CHECK(directory.record_leaving(later, start + 1s));
    CHECK(usable_count(directory) == 0);
}

TEST_CASE("a server that said it leaves isn't kept after an outage of the list")
{
    backend_directory directory;
    const backend_server server = make_server("a");
    directory.replace({server}, false, start);
    CHECK(directory.record_leaving(server, start));
    directory.replace({}, true, start + 1s);
    CHECK(directory.size() == 0);
}

TEST_CASE(
    "the word of a server that left is forgotten some time after it was last listed")
{
    backend_directory directory;
    const backend_server server = make_server("a");
    directory.put(server);
    CHECK(directory.record_leaving(server, start));
    const time_point removed = start + 2 * backend_directory::leaving_memory;
    directory.expire(removed);
    directory.remove("a", false, removed);
    directory.expire(removed + backend_directory::leaving_memory - 1ms);
    CHECK(directory.said_leaving(server));
    directory.expire(removed + backend_directory::leaving_memory);
    CHECK(!directory.said_leaving(server));
}

TEST_CASE("a list from a copy doesn't bring back a server that was leaving")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.put(make_server("a", true));
    directory.replace({make_server("a")}, true, start);
    CHECK(usable_count(directory) == 0);
    CHECK(!directory.expire(start + 10s));
    CHECK(usable_count(directory) == 0);
    // What the server says itself after the list counts.
    directory.put(make_server("a"));
    CHECK(usable_count(directory) == 1);
}

TEST_CASE(
    "a server that was gone and that a copy still has is withheld for the grace period")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.remove("a", false, start);
    directory.replace({make_server("a")}, true, start + 1s);
    CHECK(usable_count(directory) == 0);
    // Another list doesn't release it.
    directory.replace({make_server("a")}, true, start + 1500ms);
    CHECK(usable_count(directory) == 0);
    CHECK(!directory.expire(start + 1s + backend_directory::outage_grace - 1ms));
    CHECK(directory.expire(start + 1s + backend_directory::outage_grace));
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("a server that is gone again while it is withheld is dropped")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.remove("a", false, start);
    directory.replace({make_server("a")}, true, start + 1s);
    directory.remove("a", true, start + 2s);
    CHECK(directory.size() == 0);
    CHECK(!directory.expire(start + 5s));
}

TEST_CASE("a copy from before a server's restart doesn't replace the new incarnation")
{
    backend_directory directory;
    backend_server first = make_server("a");
    first.born_ms = 100;
    backend_server second = make_server("a");
    second.born_ms = 200;
    second.address = "10.0.0.9:80";
    directory.put(first);
    directory.put(second);
    directory.replace({first}, true, start);
    REQUIRE(directory.all().size() == 1);
    CHECK(directory.all().front().born_ms == 200);
    // A later incarnation than the one that left is new.
    directory.remove("a", false, start);
    directory.replace({second}, true, start + 1s);
    CHECK(usable_count(directory) == 0);
    backend_server third = second;
    third.born_ms = 300;
    directory.replace({third}, true, start + 2s);
    CHECK(usable_count(directory) == 1);
}

TEST_CASE("a server that left long ago is listed as any other")
{
    backend_directory directory;
    directory.put(make_server("a"));
    directory.remove("a", false, start);
    CHECK(!directory.expire(start + backend_directory::departure_memory));
    directory.replace({make_server("a")}, true, start + 70s);
    CHECK(usable_count(directory) == 1);
}

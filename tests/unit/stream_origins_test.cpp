#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include <agateseam/stream_origins.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

const name_key first_version = "service\nv1";
const name_key second_version = "service\nv2";

std::vector<std::string> entry_names(std::size_t count, std::string_view left_out = {})
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
    {
        const std::string name = "entry-" + std::to_string(number);
        if (name != left_out)
        {
            names.push_back(name);
        }
    }
    return names;
}

/// Tells whether one of the entries that `asking` asks first was told by `telling`.
bool finds_a_holder(name_key stream, std::size_t entries, const std::string& telling,
                    const std::string& asking, const std::set<std::string>& killed)
{
    const auto told = rank_stream_holders(stream, entry_names(entries, telling),
                                          stream_origins::holders);
    const auto asked = rank_stream_holders(stream, entry_names(entries, asking),
                                           3 * stream_origins::holders);
    return std::any_of(told.begin(), told.end(),
                       [&](const std::string& holder)
                       {
                           return holder == asking ||
                                  (!killed.contains(holder) &&
                                   std::find(asked.begin(), asked.end(), holder) !=
                                       asked.end());
                       });
}

} // namespace

TEST_CASE("any entry finds what began a stream after the kill of half of the entries")
{
    for (const std::size_t entries : {5, 30, 100})
    {
        std::size_t found = 0;
        constexpr std::size_t streams = 400;
        for (std::size_t number = 0; number < streams; ++number)
        {
            const name_key stream = "stream-" + std::to_string(number);
            const std::string telling = "entry-" + std::to_string(number % entries);
            std::set<std::string> killed{telling};
            for (std::size_t step = 1; step < entries / 2; ++step)
            {
                killed.insert("entry-" + std::to_string((number + 2 * step) % entries));
            }
            std::string asking;
            for (const std::string& name : entry_names(entries))
            {
                asking = killed.contains(name) ? asking : name;
            }
            found += finds_a_holder(stream, entries, telling, asking, killed) ? 1 : 0;
        }
        CHECK(found >= streams * 3 / 4);
    }
}

TEST_CASE("an entry that doesn't know of a tenth of the others asks one that was told")
{
    std::size_t found = 0;
    for (std::size_t number = 0; number < 400; ++number)
    {
        const name_key stream = "stream-" + std::to_string(number);
        auto known = entry_names(100);
        std::erase_if(known, [number](const std::string& name)
                      { return name_key(name).hash() % 10 == number % 10; });
        const auto told =
            rank_stream_holders(stream, entry_names(100), stream_origins::holders);
        const auto asked =
            rank_stream_holders(stream, known, 3 * stream_origins::holders);
        const bool is_found = std::any_of(
            told.begin(), told.end(),
            [&asked](const std::string& holder)
            { return std::find(asked.begin(), asked.end(), holder) != asked.end(); });
        found += is_found ? 1 : 0;
    }
    CHECK(found >= 399);
}

TEST_CASE("what began a stream is kept while it is announced, and never changes")
{
    stream_origins origins;
    time_point now{1h};
    origins.record("stream", first_version, now);
    origins.record("stream", second_version, now + 1s);
    CHECK(origins.find("stream", now + 1s) == first_version);
    now += stream_origins::memory - 1s;
    origins.record("stream", first_version, now);
    CHECK(origins.find("stream", now + 30s) == first_version);
    CHECK(!origins.find("stream", now + stream_origins::memory));
    CHECK(!origins.find("another", now));
    for (std::size_t number = 0; number < 3 * stream_origins::max_streams; ++number)
    {
        origins.record("stream-" + std::to_string(number), first_version,
                       now + 1us * number);
    }
    CHECK(origins.size() <= stream_origins::max_streams);
    CHECK(origins.find("stream-" + std::to_string(3 * stream_origins::max_streams - 1),
                       now + 1s) == first_version);
}

TEST_CASE("a version is the only one after it was for as long as streams last")
{
    version_history history;
    time_point now{1h};
    history.set_listed("service", {first_version}, now);
    CHECK(!history.only_version("service", 60s, now + 59s));
    CHECK(history.only_version("service", 60s, now + 60s) == first_version);
    CHECK(!history.only_version("another", 60s, now + 60s));
    now += 100s;
    history.set_listed("service", {first_version, second_version}, now);
    CHECK(!history.only_version("service", 60s, now + 100s));
    history.set_listed("service", {second_version}, now + 100s);
    CHECK(!history.only_version("service", 60s, now + 159s));
    CHECK(history.only_version("service", 60s, now + 160s) == second_version);
    history.interrupt(now + 170s);
    CHECK(!history.only_version("service", 60s, now + 229s));
    CHECK(history.only_version("service", 60s, now + 230s) == second_version);
    history.set_listed("service", {name_key{}}, now + 300s);
    CHECK(!history.only_version("service", 60s, now + 400s));
}

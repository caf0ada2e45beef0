#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include <agateseam/entry_digest.hpp>
#include <agateseam/fleet_ledger.hpp>
#include <agateseam/store_watch_plan.hpp>

using namespace agateseam;

namespace
{

std::vector<watch_candidate> make_fleet(std::size_t size)
{
    std::vector<watch_candidate> fleet;
    for (std::size_t entry = 0; entry < size; ++entry)
    {
        fleet.push_back({"front-" + std::to_string(entry), true});
    }
    return fleet;
}

/// The plan of one entry of a fleet whose entries all hear each other.
store_watch_plan plan_of(const std::vector<watch_candidate>& fleet, std::size_t entry)
{
    std::vector<watch_candidate> others = fleet;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(entry));
    return plan_store_watch(fleet[entry], others);
}

std::set<std::string> watchers_of(const std::vector<watch_candidate>& fleet)
{
    std::set<std::string> watchers;
    for (std::size_t entry = 0; entry < fleet.size(); ++entry)
    {
        if (plan_of(fleet, entry).watches_store)
        {
            watchers.insert(fleet[entry].name);
        }
    }
    return watchers;
}

} // namespace

TEST_CASE("a small fleet watches the store itself")
{
    CHECK(watchers_of(make_fleet(1)).size() == 1);
    CHECK(watchers_of(make_fleet(6)).size() == 6);
}

TEST_CASE("a few entries of a large fleet watch, and the others agree on them")
{
    for (const std::size_t size : {30U, 100U, 300U, 1'000U})
    {
        CAPTURE(size);
        const auto fleet = make_fleet(size);
        const auto watchers = watchers_of(fleet);
        CHECK(watchers.size() == watcher_count(size));
        CHECK(watchers.size() <= 4 + size / 25);
        std::map<std::string, std::size_t> followers;
        for (std::size_t entry = 0; entry < size; ++entry)
        {
            const auto plan = plan_of(fleet, entry);
            if (plan.watches_store)
            {
                continue;
            }
            CHECK(std::set<std::string>(plan.relays.begin(), plan.relays.end()) ==
                  watchers);
            ++followers[plan.relays.front()];
        }
        std::size_t busiest = 0;
        for (const auto& [watcher, count] : followers)
        {
            busiest = std::max(busiest, count);
        }
        MESSAGE(size << " entries: " << watchers.size() << " watch, the busiest answers "
                     << busiest);
        CHECK(busiest <= 60);
    }
}

TEST_CASE("an entry that the store turns away asks those that reach it")
{
    for (const std::size_t size : {2U, 3U, 8U, 30U})
    {
        CAPTURE(size);
        auto fleet = make_fleet(size);
        fleet.front().reaches_store = false;
        const auto plan = plan_of(fleet, 0);
        CHECK(!plan.watches_store);
        CHECK(!plan.relays.empty());
        CHECK(!watchers_of(fleet).contains(fleet.front().name));
    }
}

TEST_CASE("entries with fast links watch before those with slow ones")
{
    for (const std::size_t size : {22U, 100U, 300U})
    {
        CAPTURE(size);
        auto fleet = make_fleet(size);
        std::set<std::string> fast;
        for (std::size_t entry = 0; entry < size; ++entry)
        {
            // Two thirds have 10 Mbit/s, and some of the others aren't known.
            const bool is_fast = entry % 3 == 0 && entry % 4 != 0;
            fleet[entry].link_mbps = is_fast ? 190 + entry % 20 : entry % 3 == 0 ? 0 : 10;
            if (is_fast)
            {
                fast.insert(fleet[entry].name);
            }
        }
        const auto watchers = watchers_of(fleet);
        CHECK(watchers.size() == watcher_count(size));
        CHECK(std::includes(fast.begin(), fast.end(), watchers.begin(), watchers.end()));

        // The fast ones are lost, and slower ones take their place.
        std::erase_if(fleet, [&](const watch_candidate& entry)
                      { return fast.contains(entry.name); });
        CHECK(watchers_of(fleet).size() == watcher_count(fleet.size()));
    }
}

TEST_CASE("an entry that hears no digest for a second still follows the others")
{
    const time_point start{};
    fleet_ledger ledger("front-0", 1, {}, start);
    entry_digest digest;
    digest.entry = "front-1";
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.reaches_store = true;
    REQUIRE(ledger.apply(digest, start));
    CHECK(ledger.watch_candidates(start + std::chrono::seconds(1)).size() == 1);
    CHECK(ledger.watch_candidates(start + fleet_ledger::watch_candidate_timeout).empty());
}

TEST_CASE("watchers that are lost are replaced by others")
{
    auto fleet = make_fleet(100);
    const auto before = watchers_of(fleet);
    std::erase_if(fleet, [&](const watch_candidate& entry)
                  { return before.contains(entry.name); });
    CHECK(watchers_of(fleet).size() == watcher_count(fleet.size()));
}

TEST_CASE("while nobody reaches the store, a few entries keep trying")
{
    auto fleet = make_fleet(100);
    for (watch_candidate& entry : fleet)
    {
        entry.reaches_store = false;
    }
    CHECK(watchers_of(fleet).size() == watcher_count(100));
}

TEST_CASE("an entry that hears nobody watches the store itself")
{
    CHECK(plan_store_watch({"front-0", false}, {}).watches_store);
}

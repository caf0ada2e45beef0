#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <agateseam/config_relay.hpp>

using namespace agateseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point start{seconds(1'000)};

std::vector<peer_record> make_fleet(std::size_t size, std::size_t domains)
{
    std::vector<peer_record> fleet;
    for (std::size_t index = 0; index < size; ++index)
    {
        fleet.push_back({"entry-" + std::to_string(index), "127.0.0.1:1",
                         "domain-" + std::to_string(index % domains)});
    }
    return fleet;
}

std::unique_ptr<config_relay> make_relay(const std::vector<peer_record>& fleet,
                                         std::size_t own_index)
{
    auto relay = std::move(*config_relay::create(fleet[own_index], {}));
    relay->set_peers(fleet);
    return relay;
}

} // namespace

TEST_CASE(
    "each domain has few watchers, and every other entry reaches one through its parents")
{
    const auto fleet = make_fleet(3'200, 22);
    std::map<std::string, std::size_t> index_by_vm;
    std::vector<std::unique_ptr<config_relay>> relays;
    std::map<std::string, int> child_counts;
    std::size_t watcher_count = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        index_by_vm[fleet[index].vm] = index;
        relays.push_back(make_relay(fleet, index));
        watcher_count += relays.back()->watches_store() ? 1 : 0;
    }
    CHECK(watcher_count == 44);
    std::size_t max_depth = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        std::size_t depth = 0;
        std::size_t current = index;
        for (config_source source = relays[current]->next_source(start);
             !source.from_store; source = relays[current]->next_source(start))
        {
            CHECK(source.peer.failure_domain == fleet[index].failure_domain);
            child_counts[source.peer.vm] += current == index ? 1 : 0;
            current = index_by_vm[source.peer.vm];
            REQUIRE(++depth < 10);
        }
        max_depth = std::max(max_depth, depth);
    }
    CHECK(max_depth <= 3);
    for (const auto& [vm, count] : child_counts)
    {
        CHECK(count <= 8);
    }
}

TEST_CASE("an entry whose parents fail tries the others and then the store")
{
    const auto fleet = make_fleet(5, 1);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        const auto relay = make_relay(fleet, index);
        if (relay->watches_store())
        {
            continue;
        }
        std::size_t failed_parents = 0;
        for (config_source source = relay->next_source(start); !source.from_store;
             source = relay->next_source(start))
        {
            relay->record_peer_failure(source.peer.vm, start);
            REQUIRE(++failed_parents < 5);
        }
        CHECK(failed_parents >= 2);
        CHECK_FALSE(relay->next_source(start + seconds(3)).from_store);
    }
}

TEST_CASE("an entry without contact to the store and all peers stops admitting")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = make_relay(fleet, 0);
    relay->record_number_in_force(7);
    relay->record_store_number(start, 7);
    CHECK(relay->may_admit(start + seconds(4)));
    for (int round = 0; round < 40; ++round)
    {
        const time_point now = start + milliseconds(250) * round;
        if (const auto peer = relay->next_probe(now))
        {
            relay->record_peer_failure(peer->vm, now);
        }
    }
    CHECK_FALSE(relay->may_admit(start + seconds(10)));
    relay->record_peer_status(fleet[1].vm, start + seconds(11), {7, seconds(1)});
    CHECK(relay->may_admit(start + seconds(11)));
}

TEST_CASE(
    "while the store is down an entry admits unless a peer has a newer configuration")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = make_relay(fleet, 0);
    relay->record_number_in_force(7);
    relay->record_store_number(start, 7);
    time_point now = start;
    for (int round = 0; round < 80; ++round)
    {
        now = start + milliseconds(250) * round;
        if (const auto peer = relay->next_probe(now))
        {
            relay->record_peer_status(peer->vm, now, {7, now - start});
        }
        CHECK(relay->may_admit(now));
    }
    relay->record_peer_status(fleet[1].vm, now, {8, now - start});
    CHECK_FALSE(relay->may_admit(now));
    relay->record_number_in_force(8);
    CHECK(relay->may_admit(now));
}

TEST_CASE("a new entry admits only once it has the configuration of its peers")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = make_relay(fleet, 0);
    CHECK_FALSE(relay->may_admit(start));
    relay->record_peer_status(fleet[1].vm, start, {9, seconds(0)});
    relay->record_number_in_force(8);
    CHECK_FALSE(relay->may_admit(start));
    relay->record_number_in_force(9);
    relay->record_peer_status(fleet[1].vm, start, {9, seconds(0)});
    CHECK(relay->may_admit(start));
    relay->record_number_in_force(3);
    CHECK(relay->may_admit(start));
}

TEST_CASE("an entry that no peer answers for max_unconfirmed_age stops admitting")
{
    const bool passed =
        rc::check("an isolated entry does not admit",
                  [](const std::vector<bool>& answers)
                  {
                      const auto fleet = make_fleet(6, 2);
                      const auto relay = make_relay(fleet, 2);
                      relay->record_number_in_force(1);
                      relay->record_store_number(start, 1);
                      time_point now = start;
                      time_point last_answer = start;
                      for (const bool answered : answers)
                      {
                          now += milliseconds(500);
                          const auto peer = relay->next_probe(now);
                          if (peer && answered)
                          {
                              relay->record_peer_status(peer->vm, now, {1, now - start});
                              last_answer = now;
                          }
                          const bool isolated = now - last_answer >= seconds(5);
                          RC_ASSERT(!isolated || !relay->may_admit(now));
                      }
                  });
    CHECK(passed);
}

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

std::unique_ptr<config_relay> relay_of(const std::vector<peer_record>& fleet,
                                       std::size_t own)
{
    auto relay = std::move(*config_relay::create(fleet[own], {}));
    relay->set_peers(fleet);
    return relay;
}

} // namespace

TEST_CASE("few entries of a domain watch, and every other one leads to a watcher")
{
    const auto fleet = make_fleet(3'200, 22);
    std::map<std::string, std::size_t> place;
    std::vector<std::unique_ptr<config_relay>> relays;
    std::map<std::string, int> children;
    std::size_t watchers = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        place[fleet[index].vm] = index;
        relays.push_back(relay_of(fleet, index));
        watchers += relays.back()->watches() ? 1 : 0;
    }
    CHECK(watchers == 44);
    std::size_t deepest = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        std::size_t depth = 0;
        std::size_t at = index;
        for (config_step step = relays[at]->next_step(start); !step.at_store;
             step = relays[at]->next_step(start))
        {
            CHECK(step.peer.failure_domain == fleet[index].failure_domain);
            children[step.peer.vm] += at == index ? 1 : 0;
            at = place[step.peer.vm];
            REQUIRE(++depth < 10);
        }
        deepest = std::max(deepest, depth);
    }
    CHECK(deepest <= 3);
    for (const auto& [vm, count] : children)
    {
        CHECK(count <= 8);
    }
}

TEST_CASE("an entry whose parents fail asks others, then the store")
{
    const auto fleet = make_fleet(5, 1);
    for (std::size_t index = 0; index < fleet.size(); ++index)
    {
        const auto relay = relay_of(fleet, index);
        if (relay->watches())
        {
            continue;
        }
        std::size_t tried = 0;
        for (config_step step = relay->next_step(start); !step.at_store;
             step = relay->next_step(start))
        {
            relay->peer_failed(step.peer.vm, start);
            REQUIRE(++tried < 5);
        }
        CHECK(tried >= 2);
        CHECK_FALSE(relay->next_step(start + seconds(3)).at_store);
    }
}

TEST_CASE("cut off from the store and all peers it stops admitting")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = relay_of(fleet, 0);
    relay->in_force(7);
    relay->heard_store(start, 7);
    CHECK(relay->may_admit(start + seconds(4)));
    for (int round = 0; round < 40; ++round)
    {
        const time_point now = start + milliseconds(250) * round;
        if (const auto peer = relay->next_probe(now))
        {
            relay->peer_failed(peer->vm, now);
        }
    }
    CHECK_FALSE(relay->may_admit(start + seconds(10)));
    relay->heard_peer(fleet[1].vm, start + seconds(11), {7, seconds(1)});
    CHECK(relay->may_admit(start + seconds(11)));
}

TEST_CASE("with the store down for all it carries on, but not behind a peer")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = relay_of(fleet, 0);
    relay->in_force(7);
    relay->heard_store(start, 7);
    time_point now = start;
    for (int round = 0; round < 80; ++round)
    {
        now = start + milliseconds(250) * round;
        if (const auto peer = relay->next_probe(now))
        {
            relay->heard_peer(peer->vm, now, {7, now - start});
        }
        CHECK(relay->may_admit(now));
    }
    relay->heard_peer(fleet[1].vm, now, {8, now - start});
    CHECK_FALSE(relay->may_admit(now));
    relay->in_force(8);
    CHECK(relay->may_admit(now));
}

TEST_CASE("a new entry is behind until it has what its peers have")
{
    const auto fleet = make_fleet(4, 4);
    const auto relay = relay_of(fleet, 0);
    CHECK_FALSE(relay->may_admit(start));
    relay->heard_peer(fleet[1].vm, start, {9, seconds(0)});
    relay->in_force(8);
    CHECK_FALSE(relay->may_admit(start));
    relay->in_force(9);
    relay->heard_peer(fleet[1].vm, start, {9, seconds(0)});
    CHECK(relay->may_admit(start));
    relay->in_force(3);
    CHECK(relay->may_admit(start));
}

TEST_CASE(
    "it admits only on word that is younger than the cutoff, or with half its peers")
{
    const bool held =
        rc::check("no admission in isolation",
                  [](const std::vector<bool>& answers)
                  {
                      const auto fleet = make_fleet(6, 2);
                      const auto relay = relay_of(fleet, 2);
                      relay->in_force(1);
                      relay->heard_store(start, 1);
                      time_point now = start;
                      time_point last_answer = start;
                      for (const bool answered : answers)
                      {
                          now += milliseconds(500);
                          const auto peer = relay->next_probe(now);
                          if (peer && answered)
                          {
                              relay->heard_peer(peer->vm, now, {1, now - start});
                              last_answer = now;
                          }
                          const bool isolated = now - last_answer >= seconds(5);
                          RC_ASSERT(!isolated || !relay->may_admit(now));
                      }
                  });
    CHECK(held);
}

#include <doctest/doctest.h>

#include <map>
#include <rapidcheck.h>
#include <set>

#include <agateseam/agent_scheduler.hpp>

using namespace agateseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point epoch{seconds(1'000)};

agent_scheduler make_scheduler(std::uint32_t slots, duration kv_lifetime = duration{0})
{
    scheduler_options options;
    options.slots = slots;
    options.kv_lifetime = kv_lifetime;
    return *agent_scheduler::create(options);
}

slot_request make_request(const std::string& name, const std::string& workspace = "w")
{
    slot_request request;
    request.id = {name, 1};
    request.workspace = workspace;
    request.tokens = 100;
    request.expected = seconds(2);
    request.longest = seconds(2);
    request.lead = milliseconds(100);
    request.deadline = epoch + seconds(60);
    return request;
}

bool has(const std::vector<slot_event>& events, slot_event_kind kind,
         const std::string& name)
{
    return std::any_of(events.begin(), events.end(),
                       [&](const slot_event& event)
                       { return event.kind == kind && event.id.request == name; });
}

void run_at_once(agent_scheduler& scheduler, const std::string& name, time_point now)
{
    REQUIRE(scheduler.submit(make_request(name), now));
    REQUIRE(has(scheduler.advance(now), slot_event_kind::granted, name));
    REQUIRE(scheduler.start({name, 1}, now));
    REQUIRE(has(scheduler.advance(now), slot_event_kind::started, name));
}

} // namespace

TEST_CASE("a scheduler needs slots and a lease lifetime")
{
    scheduler_options options;
    options.slots = 0;
    CHECK_FALSE(agent_scheduler::create(options));
    options.slots = 1;
    options.lease_lifetime = duration{0};
    CHECK_FALSE(agent_scheduler::create(options));
}

TEST_CASE("a slot in use is promised only so early that lead and slot meet")
{
    auto scheduler = make_scheduler(1);
    run_at_once(scheduler, "a", epoch);
    REQUIRE(scheduler.submit(make_request("b"), epoch));
    CHECK(scheduler.advance(epoch).empty());
    CHECK(scheduler.next_wake(epoch) == epoch + milliseconds(1'900));
    CHECK(scheduler.advance(epoch + milliseconds(1'899)).empty());
    const auto events = scheduler.advance(epoch + milliseconds(1'900));
    REQUIRE(has(events, slot_event_kind::granted, "b"));
    CHECK(events[0].ready == epoch + seconds(2));
}

TEST_CASE("a use that overruns keeps the next one waiting and the slot single")
{
    auto scheduler = make_scheduler(1);
    run_at_once(scheduler, "a", epoch);
    REQUIRE(scheduler.submit(make_request("b"), epoch));
    const time_point late = epoch + milliseconds(1'950);
    REQUIRE(has(scheduler.advance(late), slot_event_kind::granted, "b"));
    REQUIRE(scheduler.start({"b", 1}, late));
    scheduler.renew({"a", 1}, late);
    CHECK(scheduler.advance(epoch + milliseconds(2'100)).empty());
    scheduler.release({"a", 1}, 100);
    CHECK(has(scheduler.advance(epoch + milliseconds(2'200)), slot_event_kind::started,
              "b"));
}

TEST_CASE("a deadline that cannot be met is refused at once, with a time to come back")
{
    auto scheduler = make_scheduler(1);
    run_at_once(scheduler, "a", epoch);
    slot_request request = make_request("b");
    request.deadline = epoch + milliseconds(500);
    const auto refused = scheduler.submit(request, epoch);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == error_code::exhausted);
    CHECK(scheduler.retry_after(epoch) == seconds(2));
    CHECK(scheduler.load().queued == 0);
}

TEST_CASE("one that loses its place in time to a poorer workspace is refused at once")
{
    auto scheduler = make_scheduler(1);
    run_at_once(scheduler, "a", epoch);
    slot_request rich = make_request("rich");
    rich.deadline = epoch + milliseconds(2'500);
    REQUIRE(scheduler.submit(rich, epoch));
    REQUIRE(scheduler.submit(make_request("poor", "other"), epoch));
    const auto events = scheduler.advance(epoch);
    CHECK(has(events, slot_event_kind::refused, "rich"));
    CHECK(scheduler.load().queued == 1);
}

TEST_CASE("a lease that nobody renews lapses, a renewed one stays")
{
    auto scheduler = make_scheduler(2);
    run_at_once(scheduler, "a", epoch);
    run_at_once(scheduler, "b", epoch);
    CHECK(scheduler.renew({"b", 1}, epoch + seconds(2)));
    const auto events = scheduler.advance(epoch + milliseconds(3'001));
    CHECK(has(events, slot_event_kind::lapsed, "a"));
    CHECK_FALSE(has(events, slot_event_kind::lapsed, "b"));
    CHECK(scheduler.load().used == 1);
    CHECK_FALSE(scheduler.renew({"a", 1}, epoch + milliseconds(3'001)));
}

TEST_CASE("an attempt is taken once")
{
    auto scheduler = make_scheduler(2);
    REQUIRE(scheduler.submit(make_request("a"), epoch));
    const auto again = scheduler.submit(make_request("a"), epoch);
    REQUIRE_FALSE(again);
    CHECK(again.error().code == error_code::conflict);
}

TEST_CASE("draining refuses what waits and keeps what runs")
{
    auto scheduler = make_scheduler(1);
    run_at_once(scheduler, "a", epoch);
    REQUIRE(scheduler.submit(make_request("b"), epoch));
    scheduler.drain();
    const auto events = scheduler.advance(epoch);
    REQUIRE(has(events, slot_event_kind::refused, "b"));
    CHECK(events[0].reason == error_code::unavailable);
    CHECK(scheduler.load().running == 1);
    CHECK(scheduler.submit(make_request("c"), epoch).error().code ==
          error_code::unavailable);
}

TEST_CASE("a prefill waits until the link can carry its result within the lifetime")
{
    auto scheduler = make_scheduler(4, milliseconds(900));
    slot_request request = make_request("a");
    request.lead = duration{0};
    request.expected = milliseconds(100);
    request.transfer = seconds(2);
    REQUIRE(scheduler.submit(request, epoch));
    CHECK(has(scheduler.advance(epoch), slot_event_kind::granted, "a"));
    request.id.request = "b";
    REQUIRE(scheduler.submit(request, epoch));
    CHECK(scheduler.advance(epoch).empty());
    // The link is free at 2.1 s; half a lifetime and the prefill come off that.
    CHECK(scheduler.next_wake(epoch) == epoch + milliseconds(1'550));
    CHECK(has(scheduler.advance(epoch + milliseconds(1'550)), slot_event_kind::granted,
              "b"));
}

TEST_CASE("no interleaving overbooks a slot, and every lease ends")
{
    const bool held = rc::check(
        []
        {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
            auto scheduler = make_scheduler(slots);
            time_point now = epoch;
            std::set<std::string> granted;
            std::set<std::string> running;
            std::set<std::string> open;
            const auto apply = [&](const std::vector<slot_event>& events)
            {
                for (const slot_event& event : events)
                {
                    const std::string& name = event.id.request;
                    switch (event.kind)
                    {
                    case slot_event_kind::granted:
                        RC_ASSERT(open.contains(name) && granted.insert(name).second);
                        break;
                    case slot_event_kind::started:
                        RC_ASSERT(granted.erase(name) == 1);
                        RC_ASSERT(running.insert(name).second);
                        break;
                    case slot_event_kind::refused:
                        RC_ASSERT(!granted.contains(name) && !running.contains(name));
                        RC_ASSERT(event.retry_after > duration{0});
                        open.erase(name);
                        break;
                    case slot_event_kind::lapsed:
                        RC_ASSERT(granted.erase(name) + running.erase(name) == 1);
                        open.erase(name);
                        break;
                    }
                }
                RC_ASSERT(running.size() <= slots);
                RC_ASSERT(scheduler.load().running == running.size());
            };
            const auto steps = *rc::gen::inRange(0, 150);
            for (int step = 0; step < steps; ++step)
            {
                // A small range of names makes duplicates and late calls common.
                const std::string name = std::to_string(*rc::gen::inRange(0, 12));
                const attempt_id id{name, 1};
                switch (*rc::gen::inRange(0, 10))
                {
                case 0:
                case 1:
                case 2:
                {
                    slot_request request =
                        make_request(name, "w" + std::to_string(step % 3));
                    request.expected = milliseconds(*rc::gen::inRange(1, 3'000));
                    request.longest = request.expected;
                    request.deadline = now + milliseconds(*rc::gen::inRange(100, 10'000));
                    if (scheduler.submit(request, now))
                    {
                        RC_ASSERT(open.insert(name).second);
                    }
                    break;
                }
                case 3:
                    RC_ASSERT(!scheduler.start(id, now) || granted.contains(name));
                    break;
                case 4:
                case 5:
                    if (!granted.empty())
                    {
                        scheduler.start({*granted.begin(), 1}, now);
                    }
                    break;
                case 6:
                    for (const std::string& alive : open)
                    {
                        scheduler.renew({alive, 1}, now);
                    }
                    break;
                case 7:
                    scheduler.release(id, *rc::gen::inRange(0, 200));
                    granted.erase(name);
                    running.erase(name);
                    open.erase(name);
                    break;
                case 8:
                    scheduler.progress(id, milliseconds(*rc::gen::inRange(0, 2'000)),
                                       milliseconds(2'000), now);
                    break;
                default: // A pause of the agent, short or long.
                    now += milliseconds(*rc::gen::inRange(0, 3'500));
                    break;
                }
                apply(scheduler.advance(now));
            }
            // Nobody renews any more: all leases and all waiting end.
            for (int round = 0; round < 200; ++round)
            {
                now += milliseconds(500);
                apply(scheduler.advance(now));
            }
            RC_ASSERT(open.empty());
            RC_ASSERT(scheduler.load().used == 0 && scheduler.load().queued == 0);
        });
    CHECK(held);
}

namespace
{

/// All eight slots in use by "rich"; each is thought to end within half a second.
agent_scheduler make_busy(double risk)
{
    scheduler_options options;
    options.slots = 8;
    options.kv_lifetime = milliseconds(900);
    options.promise_risk = risk;
    auto scheduler = *agent_scheduler::create(options);
    for (int number = 0; number < 8; ++number)
    {
        slot_request request = make_request("rich" + std::to_string(number), "rich");
        request.expected = milliseconds(400);
        request.longest = seconds(9);
        REQUIRE(scheduler.submit(request, epoch));
        (void)scheduler.advance(epoch);
        REQUIRE(scheduler.start(request.id, epoch));
        (void)scheduler.advance(epoch);
    }
    REQUIRE(scheduler.load().running == 8);
    return scheduler;
}

} // namespace

TEST_CASE("a slot in use is promised when it is likely to be free in time")
{
    auto eager = make_busy(0.1);
    REQUIRE(eager.submit(make_request("small", "small"), epoch));
    CHECK(has(eager.advance(epoch), slot_event_kind::granted, "small"));
    auto careful = make_busy(0);
    REQUIRE(careful.submit(make_request("small", "small"), epoch));
    CHECK(careful.advance(epoch).empty());
}

TEST_CASE("a workspace that holds its share or more is promised nothing")
{
    auto scheduler = make_busy(0.1);
    REQUIRE(scheduler.submit(make_request("more", "rich"), epoch));
    CHECK(scheduler.advance(epoch).empty());
    scheduler.release({"rich0", 1}, 100);
    CHECK(has(scheduler.advance(epoch), slot_event_kind::granted, "more"));
}

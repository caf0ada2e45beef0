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

const time_point start_time{seconds(1'000)};

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
    request.expected_use = seconds(2);
    request.max_use = seconds(2);
    request.lead_time = milliseconds(100);
    request.deadline = start_time + seconds(60);
    return request;
}

bool contains_event(const std::vector<slot_event>& events, slot_event_kind kind,
                    const std::string& name)
{
    return std::any_of(events.begin(), events.end(),
                       [&](const slot_event& event)
                       { return event.kind == kind && event.id.request == name; });
}

void submit_and_start(agent_scheduler& scheduler, const std::string& name, time_point now)
{
    REQUIRE(scheduler.submit(make_request(name), now));
    REQUIRE(contains_event(scheduler.advance(now), slot_event_kind::granted, name));
    REQUIRE(scheduler.request_start({name, 1}, now));
    REQUIRE(contains_event(scheduler.advance(now), slot_event_kind::started, name));
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

TEST_CASE("a slot in use is granted one lead time before it is certain to become free")
{
    auto scheduler = make_scheduler(1);
    submit_and_start(scheduler, "a", start_time);
    REQUIRE(scheduler.submit(make_request("b"), start_time));
    CHECK(scheduler.advance(start_time).empty());
    CHECK(scheduler.next_wake_time(start_time) == start_time + milliseconds(1'900));
    CHECK(scheduler.advance(start_time + milliseconds(1'899)).empty());
    const auto events = scheduler.advance(start_time + milliseconds(1'900));
    REQUIRE(contains_event(events, slot_event_kind::granted, "b"));
    CHECK(events[0].ready_at == start_time + seconds(2));
}

TEST_CASE("an attempt that overruns its longest use delays the next one in its slot")
{
    auto scheduler = make_scheduler(1);
    submit_and_start(scheduler, "a", start_time);
    REQUIRE(scheduler.submit(make_request("b"), start_time));
    const time_point late = start_time + milliseconds(1'950);
    REQUIRE(contains_event(scheduler.advance(late), slot_event_kind::granted, "b"));
    REQUIRE(scheduler.request_start({"b", 1}, late));
    scheduler.renew({"a", 1}, late);
    CHECK(scheduler.advance(start_time + milliseconds(2'100)).empty());
    scheduler.release({"a", 1}, 100);
    CHECK(contains_event(scheduler.advance(start_time + milliseconds(2'200)),
                         slot_event_kind::started, "b"));
}

TEST_CASE("an attempt whose deadline cannot be met is refused with a retry time")
{
    auto scheduler = make_scheduler(1);
    submit_and_start(scheduler, "a", start_time);
    slot_request request = make_request("b");
    request.deadline = start_time + milliseconds(500);
    const auto refusal = scheduler.submit(request, start_time);
    REQUIRE_FALSE(refusal);
    CHECK(refusal.error().code == error_code::exhausted);
    CHECK(scheduler.retry_after(start_time) == seconds(2));
    CHECK(scheduler.load().queued == 0);
}

TEST_CASE("an attempt is refused once a less served workspace takes its place in time")
{
    auto scheduler = make_scheduler(1);
    submit_and_start(scheduler, "a", start_time);
    slot_request first_request = make_request("rich");
    first_request.deadline = start_time + milliseconds(2'500);
    REQUIRE(scheduler.submit(first_request, start_time));
    REQUIRE(scheduler.submit(make_request("poor", "other"), start_time));
    const auto events = scheduler.advance(start_time);
    CHECK(contains_event(events, slot_event_kind::refused, "rich"));
    CHECK(scheduler.load().queued == 1);
}

TEST_CASE("a lease expires unless it is renewed")
{
    auto scheduler = make_scheduler(2);
    submit_and_start(scheduler, "a", start_time);
    submit_and_start(scheduler, "b", start_time);
    CHECK(scheduler.renew({"b", 1}, start_time + seconds(2)));
    const auto events = scheduler.advance(start_time + milliseconds(3'001));
    CHECK(contains_event(events, slot_event_kind::lease_expired, "a"));
    CHECK_FALSE(contains_event(events, slot_event_kind::lease_expired, "b"));
    CHECK(scheduler.load().used == 1);
    CHECK_FALSE(scheduler.renew({"a", 1}, start_time + milliseconds(3'001)));
}

TEST_CASE("an attempt that is already known is refused")
{
    auto scheduler = make_scheduler(2);
    REQUIRE(scheduler.submit(make_request("a"), start_time));
    const auto second_submit = scheduler.submit(make_request("a"), start_time);
    REQUIRE_FALSE(second_submit);
    CHECK(second_submit.error().code == error_code::conflict);
}

TEST_CASE("draining refuses waiting attempts and keeps running ones")
{
    auto scheduler = make_scheduler(1);
    submit_and_start(scheduler, "a", start_time);
    REQUIRE(scheduler.submit(make_request("b"), start_time));
    scheduler.drain();
    const auto events = scheduler.advance(start_time);
    REQUIRE(contains_event(events, slot_event_kind::refused, "b"));
    CHECK(events[0].reason == error_code::unavailable);
    CHECK(scheduler.load().running == 1);
    CHECK(scheduler.submit(make_request("c"), start_time).error().code ==
          error_code::unavailable);
}

TEST_CASE(
    "a prefill is granted only when the link can carry its result within the KV lifetime")
{
    auto scheduler = make_scheduler(4, milliseconds(900));
    slot_request request = make_request("a");
    request.lead_time = duration{0};
    request.expected_use = milliseconds(100);
    request.transfer_time = seconds(2);
    REQUIRE(scheduler.submit(request, start_time));
    CHECK(contains_event(scheduler.advance(start_time), slot_event_kind::granted, "a"));
    request.id.request = "b";
    REQUIRE(scheduler.submit(request, start_time));
    CHECK(scheduler.advance(start_time).empty());
    // The link is free at 2.1 s; 0.45 s of KV lifetime and 0.1 s of prefill precede that.
    CHECK(scheduler.next_wake_time(start_time) == start_time + milliseconds(1'550));
    CHECK(contains_event(scheduler.advance(start_time + milliseconds(1'550)),
                         slot_event_kind::granted, "b"));
}

TEST_CASE("no sequence of calls exceeds the slots, and every lease ends")
{
    const bool property_holds = rc::check(
        []
        {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
            auto scheduler = make_scheduler(slots);
            time_point now = start_time;
            std::set<std::string> granted;
            std::set<std::string> running;
            std::set<std::string> submitted;
            const auto check_events = [&](const std::vector<slot_event>& events)
            {
                for (const slot_event& event : events)
                {
                    const std::string& name = event.id.request;
                    switch (event.kind)
                    {
                    case slot_event_kind::granted:
                        RC_ASSERT(submitted.contains(name) &&
                                  granted.insert(name).second);
                        break;
                    case slot_event_kind::started:
                        RC_ASSERT(granted.erase(name) == 1);
                        RC_ASSERT(running.insert(name).second);
                        break;
                    case slot_event_kind::refused:
                        RC_ASSERT(!granted.contains(name) && !running.contains(name));
                        RC_ASSERT(event.retry_after > duration{0});
                        submitted.erase(name);
                        break;
                    case slot_event_kind::lease_expired:
                        RC_ASSERT(granted.erase(name) + running.erase(name) == 1);
                        submitted.erase(name);
                        break;
                    }
                }
                RC_ASSERT(running.size() <= slots);
                RC_ASSERT(scheduler.load().running == running.size());
            };
            const auto steps = *rc::gen::inRange(0, 150);
            for (int step = 0; step < steps; ++step)
            {
                // A small range of names makes duplicate and late calls frequent.
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
                    request.expected_use = milliseconds(*rc::gen::inRange(1, 3'000));
                    request.max_use = request.expected_use;
                    request.deadline = now + milliseconds(*rc::gen::inRange(100, 10'000));
                    if (scheduler.submit(request, now))
                    {
                        RC_ASSERT(submitted.insert(name).second);
                    }
                    break;
                }
                case 3:
                    RC_ASSERT(!scheduler.request_start(id, now) ||
                              granted.contains(name));
                    break;
                case 4:
                case 5:
                    if (!granted.empty())
                    {
                        scheduler.request_start({*granted.begin(), 1}, now);
                    }
                    break;
                case 6:
                    for (const std::string& renewed : submitted)
                    {
                        scheduler.renew({renewed, 1}, now);
                    }
                    break;
                case 7:
                    scheduler.release(id, *rc::gen::inRange(0, 200));
                    granted.erase(name);
                    running.erase(name);
                    submitted.erase(name);
                    break;
                case 8:
                    scheduler.set_remaining_use(id,
                                                milliseconds(*rc::gen::inRange(0, 2'000)),
                                                milliseconds(2'000), now);
                    break;
                default: // Time passes without a call of `advance`.
                    now += milliseconds(*rc::gen::inRange(0, 3'500));
                    break;
                }
                check_events(scheduler.advance(now));
            }
            // Without renewals all leases expire, and no attempt waits forever.
            for (int round = 0; round < 200; ++round)
            {
                now += milliseconds(500);
                check_events(scheduler.advance(now));
            }
            RC_ASSERT(submitted.empty());
            RC_ASSERT(scheduler.load().used == 0 && scheduler.load().queued == 0);
        });
    CHECK(property_holds);
}

namespace
{

/// Returns a scheduler whose eight slots are all used by workspace "rich". Each use is
/// expected to end after 0.4 s but may last for 9 s.
agent_scheduler make_busy_scheduler(double max_late_probability)
{
    scheduler_options options;
    options.slots = 8;
    options.kv_lifetime = milliseconds(900);
    options.max_late_probability = max_late_probability;
    auto scheduler = *agent_scheduler::create(options);
    for (int number = 0; number < 8; ++number)
    {
        slot_request request = make_request("rich" + std::to_string(number), "rich");
        request.expected_use = milliseconds(400);
        request.max_use = seconds(9);
        REQUIRE(scheduler.submit(request, start_time));
        (void)scheduler.advance(start_time);
        REQUIRE(scheduler.request_start(request.id, start_time));
        (void)scheduler.advance(start_time);
    }
    REQUIRE(scheduler.load().running == 8);
    return scheduler;
}

} // namespace

TEST_CASE("a slot in use is granted when it is likely to become free in time")
{
    auto likely_scheduler = make_busy_scheduler(0.1);
    REQUIRE(likely_scheduler.submit(make_request("small", "small"), start_time));
    CHECK(contains_event(likely_scheduler.advance(start_time), slot_event_kind::granted,
                         "small"));
    auto certain_scheduler = make_busy_scheduler(0);
    REQUIRE(certain_scheduler.submit(make_request("small", "small"), start_time));
    CHECK(certain_scheduler.advance(start_time).empty());
}

TEST_CASE("a workspace at or above its share is granted no slot in use")
{
    auto scheduler = make_busy_scheduler(0.1);
    REQUIRE(scheduler.submit(make_request("more", "rich"), start_time));
    CHECK(scheduler.advance(start_time).empty());
    scheduler.release({"rich0", 1}, 100);
    CHECK(
        contains_event(scheduler.advance(start_time), slot_event_kind::granted, "more"));
}

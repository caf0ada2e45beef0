#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agateseam/attempt_policy.hpp>
#include <agateseam/model_latency_estimator.hpp>
#include <agateseam/server_health_tracker.hpp>
#include <agateseam/waiting_queue.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

service_route make_route(repeat_rule rule, std::uint32_t attempts)
{
    service_route route;
    route.rule = rule;
    route.max_attempts = attempts;
    return route;
}

} // namespace

TEST_CASE("an unreachable server is ejected, probed by one request and readmitted")
{
    server_health_tracker tracker;
    CHECK(tracker.allowed("a", start));
    for (std::uint32_t attempt = 0; attempt < server_health_tracker::ejection_threshold;
         ++attempt)
    {
        tracker.begin("a");
        tracker.end("a", server_observation::unreachable, 1s, start);
    }
    CHECK(!tracker.allowed("a", start));
    const time_point later = start + server_health_tracker::min_ejection;
    CHECK(tracker.allowed("a", later));
    tracker.begin("a");
    CHECK(!tracker.allowed("a", later));
    tracker.end("a", server_observation::unreachable, 1s, later);
    CHECK(!tracker.allowed("a", later + server_health_tracker::min_ejection));
    CHECK(tracker.allowed("a", later + 2 * server_health_tracker::min_ejection));
    tracker.begin("a");
    tracker.end("a", server_observation::good, 1ms, later + 2s);
    CHECK(tracker.allowed("a", later + 2s));
}

TEST_CASE("a server that is only slow is not ejected")
{
    // Load: a burst; some attempts time out while others are answered.
    server_health_tracker tracker;
    for (int number = 0; number < 10; ++number)
    {
        const time_point now = start + number * 100ms;
        tracker.begin("slow");
        tracker.end("slow", server_observation::good, 90ms, now - 10ms);
        tracker.begin("slow");
        tracker.end("slow", server_observation::unreachable, 180ms, now);
    }
    CHECK(tracker.allowed("slow", start + 1s));
    CHECK(tracker.rank("slow") > 1);
    CHECK(tracker.typical_latency("slow") == 90ms);
}

TEST_CASE("the backoff from a full server grows until the server accepts a request")
{
    server_health_tracker tracker;
    CHECK(tracker.refusal_backoff_left("a", start) == duration::zero());
    duration previous{};
    for (int refusal = 0; refusal < 6; ++refusal)
    {
        tracker.begin("a");
        tracker.end("a", server_observation::refused, 3ms, start);
        CHECK(tracker.refusal_backoff_left("a", start) >= previous);
        previous = tracker.refusal_backoff_left("a", start);
    }
    CHECK(previous == server_health_tracker::max_refusal_backoff);
    CHECK(tracker.refusal_backoff_left("a", start + previous) == duration::zero());
    tracker.begin("a");
    tracker.end("a", server_observation::good, 60ms, start + 1s);
    tracker.begin("a");
    tracker.end("a", server_observation::refused, 3ms, start + 1s);
    CHECK(tracker.refusal_backoff_left("a", start + 1s) ==
          server_health_tracker::min_refusal_backoff);
}

TEST_CASE("a server that fails a larger part of its requests ranks worse")
{
    server_health_tracker tracker;
    for (int number = 0; number < 40; ++number)
    {
        tracker.begin("grey");
        tracker.end("grey",
                    number % 5 < 2 ? server_observation::failed
                                   : server_observation::good,
                    60ms, start);
        tracker.begin("sound");
        tracker.end("sound",
                    number % 7 == 0 ? server_observation::failed
                                    : server_observation::good,
                    60ms, start);
    }
    CHECK(tracker.allowed("grey", start));
    CHECK(tracker.rank("grey") > tracker.rank("sound") + 1);
}

TEST_CASE("the caller is told 'not run' only when no attempt may have run")
{
    CHECK(rc::check(
        [](bool time_left, bool budget_left)
        {
            const auto rule = *rc::gen::element(repeat_rule::safe, repeat_rule::once,
                                                repeat_rule::stream);
            const service_route route = make_route(rule, *rc::gen::inRange(1, 4));
            retry_state state;
            state.end =
                *rc::gen::element(attempt_outcome::failed, attempt_outcome::refused,
                                  attempt_outcome::not_sent, attempt_outcome::lost,
                                  attempt_outcome::timed_out);
            const bool may_have_run = state.end != attempt_outcome::refused &&
                                      state.end != attempt_outcome::not_sent;
            state.possible_runs = *rc::gen::inRange(0, 4) + (may_have_run ? 1 : 0);
            state.refusals = *rc::gen::inRange(0, 6);
            state.has_time_left = time_left;
            state.has_budget_left = budget_left;
            const retry_decision decision = decide_retry(route, state);
            if (decision == retry_decision::report_not_run)
            {
                RC_ASSERT(state.possible_runs == 0);
            }
            if (decision == retry_decision::try_another && state.possible_runs > 0)
            {
                RC_ASSERT(route.repeatable());
                RC_ASSERT(state.possible_runs < route.max_attempts);
            }
            if (decision == retry_decision::try_another)
            {
                RC_ASSERT(time_left);
            }
        }));
}

TEST_CASE("a request of a non-repeatable route is not sent again once it may have run")
{
    retry_state state;
    state.possible_runs = 1;
    for (const attempt_outcome end :
         {attempt_outcome::lost, attempt_outcome::timed_out, attempt_outcome::failed})
    {
        state.end = end;
        CHECK(decide_retry(make_route(repeat_rule::once, 3), state) !=
              retry_decision::try_another);
    }
    state.end = attempt_outcome::refused;
    state.possible_runs = 0;
    CHECK(decide_retry(make_route(repeat_rule::once, 1), state) ==
          retry_decision::try_another);
    state.has_budget_left = false;
    CHECK(decide_retry(make_route(repeat_rule::once, 1), state) ==
          retry_decision::report_not_run);
}

TEST_CASE("requests that can be in time go first, in order of their arrival")
{
    waiting_queue queue;
    const auto late = queue.enqueue({1, start, start + 500ms});
    const auto first = queue.enqueue({1, start + 400ms, start + 900ms});
    const auto second = queue.enqueue({1, start + 450ms, start + 950ms});
    CHECK(queue.front(start + 100ms) == late);
    CHECK(queue.front(start + 600ms) == first);
    const auto urgent = queue.enqueue({0, start + 500ms, start + 550ms});
    CHECK(queue.front(start + 600ms) == urgent);
    queue.remove(urgent);
    queue.remove(first);
    queue.remove(second);
    CHECK(queue.front(start + 600ms) == late);
    queue.remove(late);
    CHECK(!queue.front(start + 600ms));
}

TEST_CASE("in a burst of twice the places all served requests are in time")
{
    // A place every 20 ms and a request every 10 ms, for three seconds; the target is 700
    // ms. In order of arrival all later requests would be late.
    waiting_queue queue;
    std::map<waiting_queue::ticket, time_point> arrivals;
    int in_time = 0;
    int served = 0;
    for (int step = 0; step < 300; ++step)
    {
        const time_point now = start + step * 10ms;
        arrivals[queue.enqueue({1, now, now + 700ms})] = now;
        if (step % 2 == 0)
        {
            const auto front = queue.front(now);
            REQUIRE(front);
            queue.remove(*front);
            ++served;
            in_time += now - arrivals[*front] <= 700ms ? 1 : 0;
        }
    }
    CHECK(in_time == served);
}

TEST_CASE("the expected duration of a request follows that of ended streams")
{
    model_latency_estimator estimator;
    for (int number = 0; number < 100; ++number)
    {
        estimator.record_stream(100ms, 2s, 1'000);
    }
    CHECK(estimator.tokens_per_second() == doctest::Approx(500).epsilon(0.01));
    CHECK(estimator.expected_duration(1'000) > 2s);
    CHECK(estimator.expected_duration(1'000) < 4s);
}

TEST_CASE(
    "the time-out of a prefill is a multiple of the average time, within its limits")
{
    model_latency_estimator estimator;
    CHECK(estimator.prefill_timeout(5'000) ==
          model_latency_estimator::max_prefill_timeout);
    for (int number = 0; number < 100; ++number)
    {
        estimator.record_prefill(100ms, 5'000);
    }
    CHECK(estimator.prefill_timeout(5'000) > 350ms);
    CHECK(estimator.prefill_timeout(5'000) < 450ms);
    CHECK(estimator.prefill_timeout(10) == model_latency_estimator::min_prefill_timeout);
    CHECK(estimator.prefill_timeout(500'000) ==
          model_latency_estimator::max_prefill_timeout);
}

TEST_CASE("a server that rests gets nothing until its rest is over")
{
    server_health_tracker tracker;
    CHECK(tracker.record_rest("a", 2s, start));
    CHECK(!tracker.allowed("a", start));
    CHECK(tracker.rest_left("a", start + 500ms) == 1'500ms);
    CHECK(!tracker.allowed("a", start + 2s - 1ns));
    CHECK(tracker.allowed("a", start + 2s));
    CHECK(tracker.rest_left("a", start + 3s) == 0s);
    CHECK(tracker.allowed("b", start));
    CHECK(tracker.rest_left("b", start) == 0s);
    // It is full, not broken: its rank is as before.
    CHECK(tracker.rank("a") == 0);
}

TEST_CASE("a later refusal prolongs a rest and doesn't shorten it")
{
    server_health_tracker tracker;
    CHECK(tracker.record_rest("a", 2s, start));
    CHECK(!tracker.record_rest("a", 1s, start + 10ms));
    CHECK(tracker.rest_left("a", start) == 2s);
    CHECK(!tracker.record_rest("a", 2s, start + 10ms));
    CHECK(tracker.rest_left("a", start) == 2'010ms);
    CHECK(tracker.record_rest("a", 30s, start + 20ms));
    CHECK(tracker.rest_left("a", start) == 30'020ms);
    CHECK(!tracker.record_rest("b", 0s, start));
    CHECK(tracker.allowed("b", start));
}

TEST_CASE("an answer of another request doesn't end a rest")
{
    server_health_tracker tracker;
    tracker.begin("a");
    tracker.record_rest("a", 2s, start);
    tracker.end("a", server_observation::good, 10ms, start + 100ms);
    CHECK(!tracker.allowed("a", start + 1s));
}

TEST_CASE("after a rest one request comes first, and the others at shorter intervals")
{
    // Load: 400 requests wait for a server's rest to end, and look each millisecond.
    server_health_tracker tracker;
    tracker.record_rest("a", 2s, start);
    std::vector<duration> sent;
    for (duration since = 0ms; since < 3s && sent.size() < 400; since += 1ms)
    {
        while (sent.size() < 400 && tracker.allowed("a", start + since) &&
               tracker.return_delay_left("a", start + since) == 0s)
        {
            tracker.record_choice("a", start + since);
            sent.push_back(since);
        }
    }
    REQUIRE(sent.size() == 400);
    CHECK(sent[0] == 2s);
    CHECK(sent[1] == 2s + server_health_tracker::first_return_interval);
    CHECK(sent[2] - sent[1] == server_health_tracker::first_return_interval / 2);
    CHECK(sent[4] > 2s + 55ms);
    CHECK(sent[399] < 2'100ms);
}

TEST_CASE("a rest that ended long ago delays no request")
{
    server_health_tracker tracker;
    tracker.record_rest("a", 100ms, start);
    const time_point later = start + 100ms + server_health_tracker::return_window + 1ms;
    tracker.record_choice("a", later);
    CHECK(tracker.return_delay_left("a", later) == 0s);
}

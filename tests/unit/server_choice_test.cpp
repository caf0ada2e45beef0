#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agateseam/attempt_policy.hpp>
#include <agateseam/server_judge.hpp>
#include <agateseam/waiting_line.hpp>
#include <agateseam/work_pace.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

service_route route_of(repeat_rule rule, std::uint32_t attempts)
{
    service_route route;
    route.rule = rule;
    route.max_attempts = attempts;
    return route;
}

} // namespace

TEST_CASE("a dark server is left out, tried by one request, and let back in")
{
    server_judge judge;
    CHECK(judge.allowed("a", start));
    for (std::uint32_t strike = 0; strike < server_judge::strikes; ++strike)
    {
        judge.begin("a");
        judge.end("a", server_sign::unreached, 1s, start);
    }
    CHECK(!judge.allowed("a", start));
    const time_point later = start + server_judge::shortest_pause;
    CHECK(judge.allowed("a", later));
    judge.begin("a");
    CHECK(!judge.allowed("a", later));
    judge.end("a", server_sign::unreached, 1s, later);
    CHECK(!judge.allowed("a", later + server_judge::shortest_pause));
    CHECK(judge.allowed("a", later + 2 * server_judge::shortest_pause));
    judge.begin("a");
    judge.end("a", server_sign::good, 1ms, later + 2s);
    CHECK(judge.allowed("a", later + 2s));
}

TEST_CASE("a server that is only slow is not left out")
{
    // Load: a burst; attempts are given up after a while, others end meanwhile.
    server_judge judge;
    for (int number = 0; number < 10; ++number)
    {
        const time_point now = start + number * 100ms;
        judge.begin("slow");
        judge.end("slow", server_sign::good, 90ms, now - 10ms);
        judge.begin("slow");
        judge.end("slow", server_sign::unreached, 180ms, now);
    }
    CHECK(judge.allowed("slow", start + 1s));
    CHECK(judge.rank("slow") > 1);
    CHECK(judge.usual_time("slow") == 90ms);
}

TEST_CASE("a full server is left alone for a moment that grows until it takes one")
{
    server_judge judge;
    CHECK(judge.full_for("a", start) == duration::zero());
    duration before{};
    for (int refusal = 0; refusal < 6; ++refusal)
    {
        judge.begin("a");
        judge.end("a", server_sign::refused, 3ms, start);
        CHECK(judge.full_for("a", start) >= before);
        before = judge.full_for("a", start);
    }
    CHECK(before == server_judge::longest_refusal_pause);
    CHECK(judge.full_for("a", start + before) == duration::zero());
    judge.begin("a");
    judge.end("a", server_sign::good, 60ms, start + 1s);
    judge.begin("a");
    judge.end("a", server_sign::refused, 3ms, start + 1s);
    CHECK(judge.full_for("a", start + 1s) == server_judge::first_refusal_pause);
}

TEST_CASE("a server that fails part of its requests ranks behind the others")
{
    server_judge judge;
    for (int number = 0; number < 40; ++number)
    {
        judge.begin("grey");
        judge.end("grey", number % 5 < 2 ? server_sign::failed : server_sign::good, 60ms,
                  start);
        judge.begin("sound");
        judge.end("sound", number % 7 == 0 ? server_sign::failed : server_sign::good,
                  60ms, start);
    }
    CHECK(judge.allowed("grey", start));
    CHECK(judge.rank("grey") > judge.rank("sound") + 1);
}

TEST_CASE("the caller is told 'not run' only when nothing may have run")
{
    CHECK(rc::check(
        [](bool time_left, bool budget_left)
        {
            const auto rule = *rc::gen::element(repeat_rule::safe, repeat_rule::once,
                                                repeat_rule::stream);
            const service_route route = route_of(rule, *rc::gen::inRange(1, 4));
            attempt_state at;
            at.end = *rc::gen::element(attempt_end::failed, attempt_end::refused,
                                       attempt_end::not_sent, attempt_end::lost,
                                       attempt_end::timed_out);
            const bool ran =
                at.end != attempt_end::refused && at.end != attempt_end::not_sent;
            at.may_have_run = *rc::gen::inRange(0, 4) + (ran ? 1 : 0);
            at.refusals = *rc::gen::inRange(0, 6);
            at.time_left = time_left;
            at.budget_left = budget_left;
            const next_step next = after_attempt(route, at);
            if (next == next_step::say_not_run)
            {
                RC_ASSERT(at.may_have_run == 0);
            }
            if (next == next_step::try_another && at.may_have_run > 0)
            {
                RC_ASSERT(route.repeatable());
                RC_ASSERT(at.may_have_run < route.max_attempts);
            }
            if (next == next_step::try_another)
            {
                RC_ASSERT(time_left);
            }
        }));
}

TEST_CASE("what may not be repeated is never sent again after it may have run")
{
    attempt_state at;
    at.may_have_run = 1;
    for (const attempt_end end :
         {attempt_end::lost, attempt_end::timed_out, attempt_end::failed})
    {
        at.end = end;
        CHECK(after_attempt(route_of(repeat_rule::once, 3), at) !=
              next_step::try_another);
    }
    at.end = attempt_end::refused;
    at.may_have_run = 0;
    CHECK(after_attempt(route_of(repeat_rule::once, 1), at) == next_step::try_another);
    at.budget_left = false;
    CHECK(after_attempt(route_of(repeat_rule::once, 1), at) == next_step::say_not_run);
}

TEST_CASE("in a burst those that can be in time go first, the longest waiting of them")
{
    waiting_line line;
    const auto late = line.join({1, start, start + 500ms});
    const auto first = line.join({1, start + 400ms, start + 900ms});
    const auto second = line.join({1, start + 450ms, start + 950ms});
    CHECK(line.first(start + 100ms) == late);
    CHECK(line.first(start + 600ms) == first);
    const auto urgent = line.join({0, start + 500ms, start + 550ms});
    CHECK(line.first(start + 600ms) == urgent);
    line.leave(urgent);
    line.leave(first);
    line.leave(second);
    CHECK(line.first(start + 600ms) == late);
    line.leave(late);
    CHECK(!line.first(start + 600ms));
}

TEST_CASE("a burst of twice the places is served in time for most, not late for all")
{
    // A place every 20 ms, a request every 10 ms, for three seconds; target 700 ms.
    waiting_line line;
    std::map<waiting_line::ticket, time_point> arrivals;
    int in_time = 0;
    int served = 0;
    for (int at = 0; at < 300; ++at)
    {
        const time_point now = start + at * 10ms;
        arrivals[line.join({1, now, now + 700ms})] = now;
        if (at % 2 == 0)
        {
            const auto next = line.first(now);
            REQUIRE(next);
            line.leave(*next);
            ++served;
            in_time += now - arrivals[*next] <= 700ms ? 1 : 0;
        }
    }
    CHECK(in_time == served);
}

TEST_CASE("the pace of ended streams tells what still ends before a stop")
{
    work_pace pace;
    for (int number = 0; number < 100; ++number)
    {
        pace.note(100ms, 2s, 1'000);
    }
    CHECK(pace.tokens_per_second() == doctest::Approx(500).epsilon(0.01));
    CHECK(pace.expected(1'000) > 2s);
    CHECK(pace.expected(1'000) < 4s);
}

TEST_CASE("a prefill is overdue after some times its usual time")
{
    work_pace pace;
    CHECK(pace.prefill_overdue(5'000) == work_pace::longest_overdue);
    for (int number = 0; number < 100; ++number)
    {
        pace.note_prefill(100ms, 5'000);
    }
    CHECK(pace.prefill_overdue(5'000) > 350ms);
    CHECK(pace.prefill_overdue(5'000) < 450ms);
    CHECK(pace.prefill_overdue(10) == work_pace::shortest_overdue);
    CHECK(pace.prefill_overdue(500'000) == work_pace::longest_overdue);
}

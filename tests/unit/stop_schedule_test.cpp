#include <doctest/doctest.h>

#include <agateseam/stop_schedule.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};
const stop_schedule schedule(start, 7'000ms);

} // namespace

TEST_CASE("a stop takes a request whose final answer is due before its end")
{
    CHECK(schedule.accepts(start + 6'000ms, start + 7'000ms, 900ms));
    CHECK_FALSE(schedule.accepts(start + 6'000ms, start + 7'001ms, 900ms));
    CHECK_FALSE(schedule.accepts(start + 6'000ms, start + 7'000ms, 1'100ms));
}

TEST_CASE("an estimate alone takes no request after the callers were moved")
{
    const time_point limit = start + 20s;
    CHECK(schedule.accepts(start + 1'000ms, limit, 5'900ms));
    CHECK_FALSE(schedule.accepts(start + 1'000ms, limit, 6'100ms));
    CHECK_FALSE(schedule.accepts(start + 2'500ms, limit, 1ms));
}

TEST_CASE("a request that was taken is sent as long as it is expected to end in time")
{
    CHECK(schedule.may_send(start + 5'000ms, 1'900ms));
    CHECK_FALSE(schedule.may_send(start + 5'200ms, 1'900ms));
}

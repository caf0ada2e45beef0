#include <thread>

#include <doctest/doctest.h>

#include <transport/event_loop.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

TEST_CASE("a timer that was disarmed after it had expired does nothing")
{
    event_loop loop{1};
    deadline_timer first(loop);
    deadline_timer second(loop);
    bool has_run = false;
    first.arm(1ms, [&second] { second.disarm(); });
    second.arm(1'100us, [&has_run] { has_run = true; });
    std::this_thread::sleep_for(10ms);
    loop.run();
    CHECK(!has_run);
}

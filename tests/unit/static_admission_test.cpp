#include <doctest/doctest.h>

#include <agateseam/static_admission.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

configuration one_workspace(double rate, double burst)
{
    configuration made;
    made.workspaces["labs"].rate = rate;
    made.workspaces["labs"].burst = burst;
    return made;
}

} // namespace

TEST_CASE("the static split admits nothing while the number of entries is unknown")
{
    manual_clock time;
    const auto split = static_admission::create(time, 0);
    (*split)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    CHECK_FALSE((*split)->reserve("labs", 1).admitted);
    (*split)->set_entries(1);
    time.advance(1s);
    CHECK((*split)->reserve("labs", 100).admitted);
    CHECK_FALSE((*split)->reserve("labs", 1).admitted);
}

TEST_CASE("two entries of a static split admit no more than the whole together")
{
    manual_clock time;
    const auto first = static_admission::create(time, 2);
    const auto second = static_admission::create(time, 2);
    (*first)->configure(one_workspace(100, 1'000));
    (*second)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    int admitted = 0;
    for (int turn = 0; turn < 20; ++turn)
    {
        admitted += (*first)->reserve("labs", 100).admitted ? 1 : 0;
        admitted += (*second)->reserve("labs", 100).admitted ? 1 : 0;
    }
    CHECK(admitted == 10);
}

TEST_CASE("a smaller share takes the surplus level away at once")
{
    manual_clock time;
    const auto split = static_admission::create(time, 1);
    (*split)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    (*split)->set_entries(4);
    CHECK_FALSE((*split)->reserve("labs", 251).admitted);
    CHECK((*split)->reserve("labs", 250).admitted);
}

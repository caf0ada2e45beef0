#include <doctest/doctest.h>

#include <agateseam/static_admission.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

configuration one_workspace(double rate, double burst)
{
    configuration config;
    config.workspaces["labs"].rate = rate;
    config.workspaces["labs"].burst = burst;
    return config;
}

} // namespace

TEST_CASE("a static split admits nothing while the number of entries is unknown")
{
    manual_clock time;
    const auto static_split = static_admission::create(time, 0);
    (*static_split)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    CHECK_FALSE((*static_split)->reserve("labs", 1).admitted);
    (*static_split)->set_entries(1);
    time.advance(1s);
    CHECK((*static_split)->reserve("labs", 100).admitted);
    CHECK_FALSE((*static_split)->reserve("labs", 1).admitted);
}

TEST_CASE("two entries of a static split together admit no more than the allowance")
{
    manual_clock time;
    const auto first = static_admission::create(time, 2);
    const auto second = static_admission::create(time, 2);
    (*first)->configure(one_workspace(100, 1'000));
    (*second)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    int admitted = 0;
    for (int call = 0; call < 20; ++call)
    {
        admitted += (*first)->reserve("labs", 100).admitted ? 1 : 0;
        admitted += (*second)->reserve("labs", 100).admitted ? 1 : 0;
    }
    CHECK(admitted == 10);
}

TEST_CASE("with more entries, tokens beyond the smaller burst of each are lost at once")
{
    manual_clock time;
    const auto static_split = static_admission::create(time, 1);
    (*static_split)->configure(one_workspace(100, 1'000));
    time.advance(1h);
    (*static_split)->set_entries(4);
    CHECK_FALSE((*static_split)->reserve("labs", 251).admitted);
    CHECK((*static_split)->reserve("labs", 250).admitted);
}

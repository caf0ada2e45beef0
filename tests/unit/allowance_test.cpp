#include <doctest/doctest.h>

#include <array>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include <agateseam/allowance.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr double rounding = 0.01; // tokens

/// Draws from the whole range, whatever size rapidcheck has come to.
template <typename T>
T drawn(T least, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(least, end));
}

std::vector<allowance_terms> terms(double rate, double burst)
{
    return {{"labs", rate, burst}};
}

/// A clock that can show a thread an older time, as after a pause.
class lagging_clock final : public clock_source
{
  public:
    [[nodiscard]] time_point now() const noexcept override { return this->shown; }
    [[nodiscard]] wall_time wall_now() const noexcept override { return {}; }

    time_point real;
    time_point shown;
};

struct delivery
{
    time_point at;
    double tokens = 0;
    time_point reserved;
};

/// Tokens that are set aside.
struct reservation
{
    double tokens = 0;
    time_point at;
};

/// The terms that came into force at a time.
struct terms_change
{
    time_point at;
    double rate = 0;
    double burst = 0;
};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// What the terms that were in force between two times allow, with the greatest burst
/// since the oldest reservation of which something was delivered.
double allowed(const std::vector<terms_change>& changes, time_point reserved,
               time_point from, time_point to)
{
    double tokens = 0;
    double burst = 0;
    for (std::size_t at = 0; at < changes.size(); ++at)
    {
        const time_point begin = std::max(from, changes[at].at);
        const time_point end =
            at + 1 < changes.size() ? std::min(to, changes[at + 1].at) : to;
        if (begin <= end)
        {
            tokens += changes[at].rate * seconds(end - begin);
        }
        if (std::max(reserved, changes[at].at) <= end)
        {
            burst = std::max(burst, changes[at].burst);
        }
    }
    return tokens + burst;
}

/// Checks every window from one delivery to another.
void check_windows(const std::vector<delivery>& deliveries,
                   const std::vector<terms_change>& changes)
{
    for (std::size_t first = 0; first < deliveries.size(); ++first)
    {
        double sum = 0;
        time_point reserved = deliveries[first].at;
        for (std::size_t last = first; last < deliveries.size(); ++last)
        {
            sum += deliveries[last].tokens;
            reserved = std::min(reserved, deliveries[last].reserved);
            RC_ASSERT(sum <= allowed(changes, reserved, deliveries[first].at,
                                     deliveries[last].at) +
                                 rounding);
        }
    }
}

/// A charge whose tokens have gone out, and the oldest time that it may read.
struct late_charge
{
    double tokens = 0;
    time_point earliest;
};

/// Drives one bucket by drawn steps and remembers what was delivered when.
class bucket_driver
{
  public:
    bucket_driver()
    {
        this->bucket = std::move(*allowance::create(this->clock));
        this->change(100, 500);
    }

    void step()
    {
        const int kind = drawn(0, 100);
        if (kind < 45)
        {
            this->reserve();
        }
        else if (kind < 60)
        {
            this->advance();
        }
        else if (kind < 75)
        {
            this->deliver();
        }
        else if (kind < 85)
        {
            this->charge();
        }
        else if (kind < 91)
        {
            this->release();
        }
        else if (kind < 98)
        {
            this->deliver_all();
        }
        else
        {
            this->change(drawn(0, 300), drawn(0, 900));
        }
    }

    void check() const { check_windows(this->deliveries, this->changes); }

  private:
    void change(double rate, double burst)
    {
        this->changes.push_back({this->clock.real, rate, burst});
        this->bucket->configure(terms(rate, burst));
    }

    void reserve()
    {
        const double tokens = drawn(1, 400);
        if (this->bucket->reserve("labs", tokens).admitted)
        {
            this->held.push_back({tokens, this->clock.real});
        }
    }

    /// Sends a part of a reservation out; its charge may come later.
    void deliver()
    {
        if (this->held.empty())
        {
            return;
        }
        const auto at = drawn<std::size_t>(0, this->held.size());
        const double part = drawn(1, static_cast<int>(this->held[at].tokens) + 1);
        this->held[at].tokens -= part;
        const time_point reserved = this->held[at].at;
        if (this->held[at].tokens == 0)
        {
            this->held.erase(this->held.begin() + static_cast<std::ptrdiff_t>(at));
        }
        this->deliveries.push_back({this->clock.real, part, reserved});
        this->charges.push_back({part, this->clock.real});
        if (*rc::gen::arbitrary<bool>())
        {
            this->charge();
        }
    }

    /// Sends all that is reserved out in one bunch.
    void deliver_all()
    {
        for (const reservation& each : this->held)
        {
            this->deliveries.push_back({this->clock.real, each.tokens, each.at});
            this->bucket->deliver("labs", each.tokens);
        }
        this->held.clear();
    }

    /// Counts what went out, perhaps by a time that was read before a pause.
    void charge()
    {
        if (this->charges.empty())
        {
            return;
        }
        const late_charge next = this->charges.back();
        this->charges.pop_back();
        const auto lag = (this->clock.real - next.earliest).count();
        this->clock.shown = next.earliest + duration{drawn<duration::rep>(0, lag + 1)};
        this->bucket->deliver("labs", next.tokens);
        this->clock.shown = this->clock.real;
    }

    void release()
    {
        if (!this->held.empty())
        {
            this->bucket->release("labs", this->held.back().tokens);
            this->held.pop_back();
        }
    }

    void advance()
    {
        this->clock.real += std::chrono::milliseconds(drawn(1, 4'000));
        this->clock.shown = this->clock.real;
    }

    lagging_clock clock;
    std::unique_ptr<allowance> bucket;
    std::vector<reservation> held;
    std::vector<late_charge> charges;
    std::vector<delivery> deliveries;
    std::vector<terms_change> changes;
};

} // namespace

TEST_CASE("a bucket begins empty, fills at its rate and stops at its burst")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 500));
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    time.advance(1s);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
    time.advance(1h);
    CHECK((*bucket)->level("labs") == doctest::Approx(500));
    CHECK_FALSE((*bucket)->reserve("others", 1).admitted);
}

TEST_CASE("tokens reserved early and delivered late in a bunch do not add to the burst")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 500));
    time.advance(1h);
    REQUIRE((*bucket)->reserve("labs", 500).admitted);
    time.advance(1h);
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    (*bucket)->deliver("labs", 500);
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    time.advance(1s);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE("a refusal tells how long the missing tokens take")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 500));
    time.advance(1s);
    const admission_decision refused = (*bucket)->reserve("labs", 300);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retry_after == 2s);
    CHECK(refused.remaining == doctest::Approx(100));
    time.advance(refused.retry_after);
    CHECK((*bucket)->reserve("labs", 300).admitted);
}

TEST_CASE("released tokens can be reserved again")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 500));
    time.advance(1h);
    REQUIRE((*bucket)->reserve("labs", 500).admitted);
    (*bucket)->deliver("labs", 200);
    (*bucket)->release("labs", 300);
    CHECK((*bucket)->level("labs") == doctest::Approx(300));
    CHECK((*bucket)->outstanding("labs") == doctest::Approx(0));
}

TEST_CASE("a smaller burst takes the surplus away for good")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(1, 500));
    time.advance(1h);
    (*bucket)->configure(terms(1, 100));
    (*bucket)->configure(terms(1, 500));
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE("adopted tokens are outstanding and leave the level as it was")
{
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 500));
    (*bucket)->adopt("labs", 400);
    CHECK((*bucket)->level("labs") == doctest::Approx(0));
    time.advance(1h);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
    (*bucket)->deliver("labs", 400);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE("no window brings more than rate times window plus burst, whatever the order")
{
    CHECK(rc::check("every window stays inside the allowance",
                    []
                    {
                        bucket_driver driver;
                        const int steps = drawn(1, 120);
                        for (int step = 0; step < steps; ++step)
                        {
                            driver.step();
                        }
                        driver.check();
                    }));
}

TEST_CASE("threads that race for one bucket reserve no more than it holds")
{
    constexpr int threads = 4;
    constexpr int turns = 20'000;
    manual_clock time;
    const auto bucket = allowance::create(time);
    (*bucket)->configure(terms(100, 1'000));
    time.advance(1h);
    std::array<double, threads> delivered{};
    std::vector<std::thread> runners;
    for (double& sum : delivered)
    {
        runners.emplace_back(
            [&]
            {
                for (int turn = 0; turn < turns; ++turn)
                {
                    if (!(*bucket)->reserve("labs", 3).admitted)
                    {
                        continue;
                    }
                    const int out = turn % 1'000 == 0 ? 1 : 0;
                    (*bucket)->deliver("labs", out);
                    (*bucket)->release("labs", 3 - out);
                    sum += out;
                }
            });
    }
    for (std::thread& runner : runners)
    {
        runner.join();
    }
    double sum = 0;
    for (const double part : delivered)
    {
        sum += part;
    }
    CHECK(sum <= 1'000);
    CHECK((*bucket)->outstanding("labs") == 0);
    CHECK((*bucket)->level("labs") == doctest::Approx(1'000 - sum));
}

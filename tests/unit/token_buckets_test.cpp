#include <doctest/doctest.h>

#include <array>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include <agateseam/token_buckets.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr double rounding_tolerance = 0.01; // tokens

/// Draws from the whole range [min, end), whatever rapidcheck's current size is.
template <typename T>
T random_between(T min, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, end));
}

std::vector<allowance_limits> limits(double rate, double burst)
{
    return {{"labs", rate, burst}};
}

/// A clock whose reported time can lag behind the real time, as for a thread that was
/// paused after it had read the clock.
class stale_clock final : public clock_source
{
  public:
    [[nodiscard]] time_point now() const noexcept override { return this->reported; }
    [[nodiscard]] wall_time wall_now() const noexcept override { return {}; }

    time_point real;
    time_point reported;
};

struct delivery
{
    time_point at;
    double tokens = 0;
    time_point reserved_at;
};

/// Reserved tokens, and when they were reserved.
struct reservation
{
    double tokens = 0;
    time_point at;
};

/// Limits and the time from which they were in force.
struct limits_change
{
    time_point at;
    double rate = 0;
    double burst = 0;
};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Returns how many tokens the limits allow between two times, with the greatest burst
/// since the oldest reservation of which a part was delivered.
double allowed_tokens(const std::vector<limits_change>& changes, time_point reserved_at,
                      time_point from, time_point to)
{
    double tokens = 0;
    double burst = 0;
    for (std::size_t index = 0; index < changes.size(); ++index)
    {
        const time_point begin = std::max(from, changes[index].at);
        const time_point end =
            index + 1 < changes.size() ? std::min(to, changes[index + 1].at) : to;
        if (begin <= end)
        {
            tokens += changes[index].rate * seconds(end - begin);
        }
        if (std::max(reserved_at, changes[index].at) <= end)
        {
            burst = std::max(burst, changes[index].burst);
        }
    }
    return tokens + burst;
}

/// Checks every window that begins and ends with a delivery.
void check_windows(const std::vector<delivery>& deliveries,
                   const std::vector<limits_change>& changes)
{
    for (std::size_t first = 0; first < deliveries.size(); ++first)
    {
        double sum = 0;
        time_point reserved_at = deliveries[first].at;
        for (std::size_t last = first; last < deliveries.size(); ++last)
        {
            sum += deliveries[last].tokens;
            reserved_at = std::min(reserved_at, deliveries[last].reserved_at);
            RC_ASSERT(sum <= allowed_tokens(changes, reserved_at, deliveries[first].at,
                                            deliveries[last].at) +
                                 rounding_tolerance);
        }
    }
}

/// Delivered tokens that the bucket has not counted yet, and when they were delivered:
/// the oldest time that the counting call may read from the clock.
struct uncounted_delivery
{
    double tokens = 0;
    time_point sent_at;
};

/// Makes random calls to one bucket and records the deliveries.
class random_bucket_test
{
  public:
    random_bucket_test()
    {
        this->bucket = std::move(*token_buckets::create(this->clock));
        this->change_limits(100, 500);
    }

    void step()
    {
        const int kind = random_between(0, 100);
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
            this->count_delivery();
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
            this->change_limits(random_between(0, 300), random_between(0, 900));
        }
    }

    void check_all_windows() const { check_windows(this->deliveries, this->changes); }

  private:
    void change_limits(double rate, double burst)
    {
        this->changes.push_back({this->clock.real, rate, burst});
        this->bucket->configure(limits(rate, burst));
    }

    void reserve()
    {
        const double tokens = random_between(1, 400);
        if (this->bucket->reserve("labs", tokens).admitted)
        {
            this->reservations.push_back({tokens, this->clock.real});
        }
    }

    /// Delivers a part of a reservation; the bucket may count it later.
    void deliver()
    {
        if (this->reservations.empty())
        {
            return;
        }
        const auto index = random_between<std::size_t>(0, this->reservations.size());
        const double part =
            random_between(1, static_cast<int>(this->reservations[index].tokens) + 1);
        this->reservations[index].tokens -= part;
        const time_point reserved_at = this->reservations[index].at;
        if (this->reservations[index].tokens == 0)
        {
            this->reservations.erase(this->reservations.begin() +
                                     static_cast<std::ptrdiff_t>(index));
        }
        this->deliveries.push_back({this->clock.real, part, reserved_at});
        this->uncounted.push_back({part, this->clock.real});
        if (*rc::gen::arbitrary<bool>())
        {
            this->count_delivery();
        }
    }

    /// Delivers and counts all reserved tokens at once.
    void deliver_all()
    {
        for (const reservation& each : this->reservations)
        {
            this->deliveries.push_back({this->clock.real, each.tokens, each.at});
            this->bucket->deliver("labs", each.tokens);
        }
        this->reservations.clear();
    }

    /// Counts the newest uncounted delivery, perhaps by an older time that was read
    /// before a pause.
    void count_delivery()
    {
        if (this->uncounted.empty())
        {
            return;
        }
        const uncounted_delivery next = this->uncounted.back();
        this->uncounted.pop_back();
        const auto lag = (this->clock.real - next.sent_at).count();
        this->clock.reported =
            next.sent_at + duration{random_between<duration::rep>(0, lag + 1)};
        this->bucket->deliver("labs", next.tokens);
        this->clock.reported = this->clock.real;
    }

    void release()
    {
        if (!this->reservations.empty())
        {
            this->bucket->release("labs", this->reservations.back().tokens);
            this->reservations.pop_back();
        }
    }

    void advance()
    {
        this->clock.real += std::chrono::milliseconds(random_between(1, 4'000));
        this->clock.reported = this->clock.real;
    }

    stale_clock clock;
    std::unique_ptr<token_buckets> bucket;
    std::vector<reservation> reservations;
    std::vector<uncounted_delivery> uncounted;
    std::vector<delivery> deliveries;
    std::vector<limits_change> changes;
};

} // namespace

TEST_CASE("a bucket begins empty, fills at its rate and stops at its burst")
{
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 500));
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    time.advance(1s);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
    time.advance(1h);
    CHECK((*bucket)->level("labs") == doctest::Approx(500));
    CHECK_FALSE((*bucket)->reserve("others", 1).admitted);
}

TEST_CASE("tokens reserved early and delivered late at once do not add to the burst")
{
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 500));
    time.advance(1h);
    REQUIRE((*bucket)->reserve("labs", 500).admitted);
    time.advance(1h);
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    (*bucket)->deliver("labs", 500);
    CHECK_FALSE((*bucket)->reserve("labs", 1).admitted);
    time.advance(1s);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE("a refusal tells how long the missing tokens take to accrue")
{
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 500));
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
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 500));
    time.advance(1h);
    REQUIRE((*bucket)->reserve("labs", 500).admitted);
    (*bucket)->deliver("labs", 200);
    (*bucket)->release("labs", 300);
    CHECK((*bucket)->level("labs") == doctest::Approx(300));
    CHECK((*bucket)->outstanding("labs") == doctest::Approx(0));
}

TEST_CASE("tokens beyond a smaller burst stay lost when the burst rises again")
{
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(1, 500));
    time.advance(1h);
    (*bucket)->configure(limits(1, 100));
    (*bucket)->configure(limits(1, 500));
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE("added outstanding tokens leave the level as it was")
{
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 500));
    (*bucket)->add_outstanding("labs", 400);
    CHECK((*bucket)->level("labs") == doctest::Approx(0));
    time.advance(1h);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
    (*bucket)->deliver("labs", 400);
    CHECK((*bucket)->level("labs") == doctest::Approx(100));
}

TEST_CASE(
    "no window delivers more than rate * window + burst, whatever the order of calls")
{
    CHECK(rc::check("every window stays within the allowance",
                    []
                    {
                        random_bucket_test test;
                        const int steps = random_between(1, 120);
                        for (int step = 0; step < steps; ++step)
                        {
                            test.step();
                        }
                        test.check_all_windows();
                    }));
}

TEST_CASE("threads that race for one bucket reserve no more than it holds")
{
    constexpr int threads = 4;
    constexpr int calls_per_thread = 20'000;
    manual_clock time;
    const auto bucket = token_buckets::create(time);
    (*bucket)->configure(limits(100, 1'000));
    time.advance(1h);
    std::array<double, threads> delivered{};
    std::vector<std::thread> workers;
    for (double& sum : delivered)
    {
        workers.emplace_back(
            [&]
            {
                for (int call = 0; call < calls_per_thread; ++call)
                {
                    if (!(*bucket)->reserve("labs", 3).admitted)
                    {
                        continue;
                    }
                    const int delivered_tokens = call % 1'000 == 0 ? 1 : 0;
                    (*bucket)->deliver("labs", delivered_tokens);
                    (*bucket)->release("labs", 3 - delivered_tokens);
                    sum += delivered_tokens;
                }
            });
    }
    for (std::thread& worker : workers)
    {
        worker.join();
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

#include <doctest/doctest.h>

#include <bench/forecast_histories.hpp>

#include <agateseam/forecast.hpp>
#include <agateseam/price.hpp>

using namespace agateseam;

namespace
{

constexpr std::uint64_t start = 20'423; // 2025-12-01

/// The same amount at noon of each day.
std::vector<hourly_amount> flat_days(std::uint64_t days, double amount)
{
    std::vector<hourly_amount> history;
    for (std::uint64_t day = 0; day < days; ++day)
    {
        history.push_back({(start + day) * hours_per_day, amount});
    }
    return history;
}

} // namespace

TEST_CASE("months are read, counted and written")
{
    const auto february = calendar_month::parse("2028-02");
    REQUIRE(february);
    CHECK(february->days() == 29);
    CHECK(february->next().to_string() == "2028-03");
    CHECK(calendar_month::of_day(start) == calendar_month{2025, 12});
    CHECK(calendar_month{2025, 12}.first_day() == start);
    for (const char* wrong : {"2028-13", "2028-00", "28-02", "2028/02", "2028-2x", ""})
    {
        CHECK_FALSE(calendar_month::parse(wrong));
    }
}

TEST_CASE("a flat history goes on, and the allowance is a ceiling")
{
    const auto history = flat_days(31, 10);
    forecast_query query{{2026, 1}, (start + 31) * hours_per_day, 0};
    const auto free = forecast_month(history, query);
    REQUIRE(free);
    CHECK(free->amount == doctest::Approx(310).epsilon(0.01));
    CHECK(free->low < free->amount);
    CHECK(free->high > free->amount);
    CHECK(free->days_known == 31);
    CHECK_FALSE(free->limited);
    query.ceiling = 200;
    const auto bounded = forecast_month(history, query);
    REQUIRE(bounded);
    CHECK(bounded->limited);
    CHECK(bounded->amount == 200);
    CHECK(bounded->high == 200);
}

TEST_CASE("the running month adds what was spent to what is expected")
{
    const auto history = flat_days(41, 10);
    const auto made =
        forecast_month(history, {{2026, 1}, (start + 41) * hours_per_day, 0});
    REQUIRE(made);
    CHECK(made->spent == doctest::Approx(100));
    CHECK(made->amount == doctest::Approx(310).epsilon(0.01));
}

TEST_CASE("too little history and a month that is over are refused with the reason")
{
    const auto history = flat_days(least_forecast_days - 1, 10);
    const usage_hour_number now = (start + least_forecast_days - 1) * hours_per_day;
    const auto little = forecast_month(history, {{2026, 1}, now, 0});
    REQUIRE_FALSE(little);
    CHECK(little.error().description.find("6 complete days") != std::string::npos);
    CHECK_FALSE(forecast_month({}, {{2026, 1}, now, 0}));
    CHECK_FALSE(forecast_month(flat_days(31, 10), {{2025, 11}, now, 0}));
}

TEST_CASE("days after the present are not looked at")
{
    auto history = flat_days(31, 10);
    const forecast_query query{{2026, 1}, (start + 31) * hours_per_day, 0};
    const double before = forecast_month(history, query)->amount;
    history.push_back({(start + 31) * hours_per_day, 1e9});
    CHECK(forecast_month(history, query)->amount == before);
}

TEST_CASE("a step is seen: what lay before it does not count")
{
    auto history = flat_days(60, 10);
    for (std::size_t day = 40; day < history.size(); ++day)
    {
        history[day].amount = 30;
    }
    const auto made =
        forecast_month(history, {{2026, 3}, (start + 60) * hours_per_day, 0});
    REQUIRE(made);
    CHECK(made->amount == doctest::Approx(930).epsilon(0.05));
    CHECK(made->days_used == 20);
}

TEST_CASE("the first days of a new workspace, on the way up, are not its level")
{
    auto history = flat_days(15, 10);
    for (std::uint64_t day = 0; day < 4; ++day)
    {
        history[day].amount = 2.0 * static_cast<double>(day + 1);
    }
    const auto made =
        forecast_month(history, {{2026, 1}, (start + 15) * hours_per_day, 0});
    REQUIRE(made);
    CHECK(made->amount == doctest::Approx(310).epsilon(0.02));
}

TEST_CASE("on generated histories every interval holds its own amount")
{
    for (const std::string_view kind : bench::history_kinds)
    {
        for (std::uint64_t seed = 50'000; seed < 50'020; ++seed)
        {
            const auto history = bench::generate_history(kind, seed);
            const auto made =
                forecast_month(history.hours, {history.target, history.now, 0});
            REQUIRE(made);
            CHECK(made->low <= made->amount);
            CHECK(made->amount <= made->high);
            CHECK(made->low >= 0);
        }
    }
}

TEST_CASE("waste costs nothing and cached tokens cost their own price")
{
    usage_counters used;
    used.prompt_tokens = 3'000'000;
    used.cached_tokens = 1'000'000;
    used.output_tokens = 500'000;
    used.wasted_prompt_tokens = 9'000'000;
    used.wasted_output_tokens = 9'000'000;
    CHECK(price_of(used, {0.5, 0.05, 2.0}) == doctest::Approx(1.0 + 0.05 + 1.0));
}

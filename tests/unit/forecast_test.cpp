#include <doctest/doctest.h>

#include <bench/forecast_histories.hpp>

#include <agateseam/forecast.hpp>
#include <agateseam/price.hpp>

using namespace agateseam;

namespace
{

constexpr std::uint64_t first_day_of_history = 20'423; // 2025-12-01

/// Returns a history with the same amount in the first hour of each day.
std::vector<hourly_amount> flat_days(std::uint64_t days, double amount)
{
    std::vector<hourly_amount> history;
    for (std::uint64_t day = 0; day < days; ++day)
    {
        history.push_back({(first_day_of_history + day) * hours_per_day, amount});
    }
    return history;
}

} // namespace

TEST_CASE("calendar months are parsed, counted and formatted")
{
    const auto february = calendar_month::parse("2028-02");
    REQUIRE(february);
    CHECK(february->days() == 29);
    CHECK(february->next().to_string() == "2028-03");
    CHECK(calendar_month::of_day(first_day_of_history) == calendar_month{2025, 12});
    CHECK(calendar_month{2025, 12}.first_day() == first_day_of_history);
    for (const char* malformed :
         {"2028-13", "2028-00", "28-02", "2028/02", "2028-2x", ""})
    {
        CHECK_FALSE(calendar_month::parse(malformed));
    }
}

TEST_CASE("a level history is continued, up to the allowance's maximum")
{
    const auto history = flat_days(31, 10);
    forecast_query query{{2026, 1}, (first_day_of_history + 31) * hours_per_day, 0};
    const auto unlimited = forecast_month(history, query);
    REQUIRE(unlimited);
    CHECK(unlimited->amount == doctest::Approx(310).epsilon(0.01));
    CHECK(unlimited->low < unlimited->amount);
    CHECK(unlimited->high > unlimited->amount);
    CHECK(unlimited->history_days == 31);
    CHECK_FALSE(unlimited->limited);
    query.max_amount = 200;
    const auto limited_forecast = forecast_month(history, query);
    REQUIRE(limited_forecast);
    CHECK(limited_forecast->limited);
    CHECK(limited_forecast->amount == 200);
    CHECK(limited_forecast->high == 200);
}

TEST_CASE("the forecast of the current month is the amount spent plus the expected rest")
{
    const auto history = flat_days(41, 10);
    const auto forecast = forecast_month(
        history, {{2026, 1}, (first_day_of_history + 41) * hours_per_day, 0});
    REQUIRE(forecast);
    CHECK(forecast->spent == doctest::Approx(100));
    CHECK(forecast->amount == doctest::Approx(310).epsilon(0.01));
}

TEST_CASE("too short a history and a month that is over are refused with a reason")
{
    const auto history = flat_days(min_history_days - 1, 10);
    const usage_hour_number now =
        (first_day_of_history + min_history_days - 1) * hours_per_day;
    const auto short_history = forecast_month(history, {{2026, 1}, now, 0});
    REQUIRE_FALSE(short_history);
    CHECK(short_history.error().description.find("6 complete days") != std::string::npos);
    CHECK_FALSE(forecast_month({}, {{2026, 1}, now, 0}));
    CHECK_FALSE(forecast_month(flat_days(31, 10), {{2025, 11}, now, 0}));
}

TEST_CASE("history after the current hour is ignored")
{
    auto history = flat_days(31, 10);
    const forecast_query query{{2026, 1}, (first_day_of_history + 31) * hours_per_day, 0};
    const double expected_amount = forecast_month(history, query)->amount;
    history.push_back({(first_day_of_history + 31) * hours_per_day, 1e9});
    CHECK(forecast_month(history, query)->amount == expected_amount);
}

TEST_CASE("days before a step do not affect the forecast")
{
    auto history = flat_days(60, 10);
    for (std::size_t day = 40; day < history.size(); ++day)
    {
        history[day].amount = 30;
    }
    const auto forecast = forecast_month(
        history, {{2026, 3}, (first_day_of_history + 60) * hours_per_day, 0});
    REQUIRE(forecast);
    CHECK(forecast->amount == doctest::Approx(930).epsilon(0.05));
    CHECK(forecast->days_used == 20);
}

TEST_CASE("the rising first days of a new workspace do not affect the forecast")
{
    auto history = flat_days(15, 10);
    for (std::uint64_t day = 0; day < 4; ++day)
    {
        history[day].amount = 2.0 * static_cast<double>(day + 1);
    }
    const auto forecast = forecast_month(
        history, {{2026, 1}, (first_day_of_history + 15) * hours_per_day, 0});
    REQUIRE(forecast);
    CHECK(forecast->amount == doctest::Approx(310).epsilon(0.02));
}

TEST_CASE("the interval contains the forecast amount for all generated histories")
{
    for (const std::string_view kind : bench::history_kinds)
    {
        for (std::uint64_t seed = 50'000; seed < 50'020; ++seed)
        {
            const auto history = bench::generate_history(kind, seed);
            const auto forecast =
                forecast_month(history.hours, {history.target, history.now, 0});
            REQUIRE(forecast);
            CHECK(forecast->low <= forecast->amount);
            CHECK(forecast->amount <= forecast->high);
            CHECK(forecast->low >= 0);
        }
    }
}

TEST_CASE("wasted tokens are free and cached tokens have their own price")
{
    usage_counters used;
    used.prompt_tokens = 3'000'000;
    used.cached_tokens = 1'000'000;
    used.output_tokens = 500'000;
    used.wasted_prompt_tokens = 9'000'000;
    used.wasted_output_tokens = 9'000'000;
    CHECK(price_of(used, {0.5, 0.05, 2.0}) == doctest::Approx(1.0 + 0.05 + 1.0));
}

#include <agateseam/forecast.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>

#include <agateseam/impl/daily_model.hpp>

namespace agateseam
{

namespace
{

using std::chrono::sys_days;

constexpr usage_hour_number latest_first_hour = 3; // of a day that counts as complete

std::map<std::uint64_t, double> by_day(std::span<const hourly_amount> history,
                                       usage_hour_number now)
{
    std::map<std::uint64_t, double> days;
    for (const hourly_amount& item : history)
    {
        if (item.hour < now)
        {
            days[item.hour / hours_per_day] += item.amount;
        }
    }
    return days;
}

/// A first day that began late is left out.
std::uint64_t first_complete_day(std::span<const hourly_amount> history,
                                 usage_hour_number now)
{
    usage_hour_number first = now;
    for (const hourly_amount& item : history)
    {
        first = item.amount > 0 ? std::min(first, item.hour) : first;
    }
    const bool late = first % hours_per_day > latest_first_hour;
    return first / hours_per_day + (late ? 1 : 0);
}

/// Days from the first complete one on; those without use are zero.
std::vector<double> complete_days(const std::map<std::uint64_t, double>& days,
                                  std::uint64_t first, std::uint64_t today)
{
    std::vector<double> series;
    for (std::uint64_t day = first; day < today; ++day)
    {
        const auto found = days.find(day);
        series.push_back(found == days.end() ? 0.0 : found->second);
    }
    return series;
}

void limit(month_forecast& made, double ceiling)
{
    if (ceiling > 0 && made.high > ceiling)
    {
        made.limited = true;
        made.high = ceiling;
        made.amount = std::min(made.amount, ceiling);
        made.low = std::min(made.low, ceiling);
    }
}

} // namespace

result<calendar_month> calendar_month::parse(std::string_view text)
{
    calendar_month month;
    constexpr std::size_t length = 7; // "YYYY-MM"
    const auto wrong =
        fail(error_code::invalid, "read month", "", "a month is written as YYYY-MM");
    if (text.size() != length || text[4] != '-')
    {
        return wrong;
    }
    const char* end = text.data() + text.size();
    const auto [year_end, year_fault] =
        std::from_chars(text.data(), text.data() + 4, month.year);
    const auto [month_end, month_fault] =
        std::from_chars(text.data() + 5, end, month.month);
    if (year_fault != std::errc() || month_fault != std::errc() ||
        year_end != text.data() + 4 || month_end != end || month.month < 1 ||
        month.month > 12 || month.year < 1970)
    {
        return wrong;
    }
    return month;
}

calendar_month calendar_month::of_day(std::uint64_t day) noexcept
{
    const std::chrono::year_month_day date{
        sys_days{std::chrono::days{static_cast<std::int64_t>(day)}}};
    return {static_cast<int>(date.year()), static_cast<unsigned>(date.month())};
}

calendar_month calendar_month::next() const noexcept
{
    return this->month == 12 ? calendar_month{this->year + 1, 1}
                             : calendar_month{this->year, this->month + 1};
}

std::uint64_t calendar_month::first_day() const noexcept
{
    const std::chrono::year_month_day date{std::chrono::year{this->year},
                                           std::chrono::month{this->month},
                                           std::chrono::day{1}};
    return static_cast<std::uint64_t>(sys_days{date}.time_since_epoch().count());
}

std::uint64_t calendar_month::days() const noexcept
{
    return this->next().first_day() - this->first_day();
}

std::string calendar_month::to_string() const
{
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%04d-%02u", this->year, this->month);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string_view to_string(history_shape shape) noexcept
{
    switch (shape)
    {
    case history_shape::linear:
        return "linear";
    case history_shape::exponential:
        return "exponential";
    case history_shape::level:
        break;
    }
    return "level";
}

result<month_forecast> forecast_month(std::span<const hourly_amount> history,
                                      const forecast_query& query)
{
    const std::uint64_t today = query.now / hours_per_day;
    const std::uint64_t end = query.month.next().first_day();
    if (end <= today)
    {
        return fail(error_code::invalid, "forecast", "",
                    "the month " + query.month.to_string() + " is over");
    }
    const auto days = by_day(history, query.now);
    const std::uint64_t first = first_complete_day(history, query.now);
    if (first + least_forecast_days > today)
    {
        const std::uint64_t known = today > first ? today - first : 0;
        return fail(error_code::invalid, "forecast", "",
                    "too little history: " + std::to_string(known) +
                        " complete days, at least " +
                        std::to_string(least_forecast_days) + " are needed");
    }
    const impl::daily_model model(complete_days(days, first, today), first);
    month_forecast made;
    made.month = query.month;
    for (const auto& [day, amount] : days)
    {
        made.spent += day >= query.month.first_day() && day < today ? amount : 0;
    }
    const std::uint64_t from = std::max(query.month.first_day(), today);
    const impl::expectation ahead = model.expect(from, end);
    made.amount = made.spent + ahead.mean;
    made.low = made.spent + ahead.low;
    made.high = made.spent + ahead.high;
    made.days_known = today - first;
    made.days_used = made.days_known - model.likeliest().begin;
    made.shape = model.likeliest().shape;
    made.weekly = model.weekly();
    limit(made, query.ceiling);
    return made;
}

} // namespace agateseam

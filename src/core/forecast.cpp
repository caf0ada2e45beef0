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

/// A first day whose usage begins after this hour of the day is not a complete day.
constexpr usage_hour_number max_first_hour = 3;

std::map<std::uint64_t, double> amounts_by_day(std::span<const hourly_amount> history,
                                               usage_hour_number now)
{
    std::map<std::uint64_t, double> days;
    for (const hourly_amount& entry : history)
    {
        if (entry.hour < now)
        {
            days[entry.hour / hours_per_day] += entry.amount;
        }
    }
    return days;
}

/// Returns the first complete day: the day of the first usage, or the day after it if
/// that usage came late in the day.
std::uint64_t first_complete_day(std::span<const hourly_amount> history,
                                 usage_hour_number now)
{
    usage_hour_number first = now;
    for (const hourly_amount& entry : history)
    {
        first = entry.amount > 0 ? std::min(first, entry.hour) : first;
    }
    const bool started_late = first % hours_per_day > max_first_hour;
    return first / hours_per_day + (started_late ? 1 : 0);
}

/// Returns the daily amounts from day `first` up to but not including `today`; days
/// without usage are zero.
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

void apply_maximum(month_forecast& forecast, double max_amount)
{
    if (max_amount > 0 && forecast.high > max_amount)
    {
        forecast.limited = true;
        forecast.high = max_amount;
        forecast.amount = std::min(forecast.amount, max_amount);
        forecast.low = std::min(forecast.low, max_amount);
    }
}

} // namespace

result<calendar_month> calendar_month::parse(std::string_view text)
{
    calendar_month month;
    constexpr std::size_t length = 7; // "YYYY-MM"
    const auto malformed =
        fail(error_code::invalid, "read month", "", "a month is written as YYYY-MM");
    if (text.size() != length || text[4] != '-')
    {
        return malformed;
    }
    const char* end = text.data() + text.size();
    const auto [year_end, year_error] =
        std::from_chars(text.data(), text.data() + 4, month.year);
    const auto [month_end, month_error] =
        std::from_chars(text.data() + 5, end, month.month);
    if (year_error != std::errc() || month_error != std::errc() ||
        year_end != text.data() + 4 || month_end != end || month.month < 1 ||
        month.month > 12 || month.year < 1970)
    {
        return malformed;
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
    const auto days = amounts_by_day(history, query.now);
    const std::uint64_t first = first_complete_day(history, query.now);
    if (first + min_history_days > today)
    {
        const std::uint64_t complete_day_count = today > first ? today - first : 0;
        return fail(error_code::invalid, "forecast", "",
                    "too little history: " + std::to_string(complete_day_count) +
                        " complete days, at least " + std::to_string(min_history_days) +
                        " are needed");
    }
    const impl::daily_model model(complete_days(days, first, today), first);
    month_forecast forecast;
    forecast.month = query.month;
    for (const auto& [day, amount] : days)
    {
        forecast.spent += day >= query.month.first_day() && day < today ? amount : 0;
    }
    const std::uint64_t from = std::max(query.month.first_day(), today);
    const impl::sum_forecast remaining = model.forecast_sum(from, end);
    forecast.amount = forecast.spent + remaining.mean;
    forecast.low = forecast.spent + remaining.low;
    forecast.high = forecast.spent + remaining.high;
    forecast.history_days = today - first;
    forecast.days_used = forecast.history_days - model.most_probable().begin;
    forecast.shape = model.most_probable().shape;
    forecast.weekly = model.has_weekday_pattern();
    apply_maximum(forecast, query.max_amount);
    return forecast;
}

} // namespace agateseam

/// Forecasts a month's amount from an hourly history.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief A month of the calendar, UTC.
struct calendar_month
{
    int year = 1970;
    unsigned month = 1; ///< 1 to 12.

    /// \brief Reads "YYYY-MM"; `invalid` when it is not of that shape.
    [[nodiscard]] static result<calendar_month> parse(std::string_view text);

    /// \brief Returns the month that a day, counted from 1970-01-01, lies in.
    [[nodiscard]] static calendar_month of_day(std::uint64_t day) noexcept;

    [[nodiscard]] calendar_month next() const noexcept;

    /// \brief Returns the first day, counted from 1970-01-01.
    [[nodiscard]] std::uint64_t first_day() const noexcept;

    /// \brief Returns how many days it has.
    [[nodiscard]] std::uint64_t days() const noexcept;

    /// \brief Returns "YYYY-MM".
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const calendar_month&, const calendar_month&) = default;
};

/// \brief What was spent in one hour, in the configuration's currency.
struct hourly_amount
{
    usage_hour_number hour = 0;
    double amount = 0;
};

/// \brief The shape that was found in a history.
enum class history_shape : std::uint8_t
{
    level,      ///< Steady, since the start or since the last step.
    linear,     ///< Changes by about the same amount each day.
    exponential ///< Changes by about the same share each day.
};

/// \brief Returns "level", "linear" or "exponential".
[[nodiscard]] std::string_view to_string(history_shape shape) noexcept;

/// \brief What to forecast.
struct forecast_query
{
    calendar_month month;
    usage_hour_number now = 0; ///< History from this hour on is not looked at.
    double ceiling = 0;        ///< Most that the allowance lets through; 0 for none.
};

/// \brief A month's forecast and what it rests on.
struct month_forecast
{
    calendar_month month;
    double amount = 0;
    double low = 0;       ///< Of the 80% interval.
    double high = 0;      ///< Of the 80% interval.
    bool limited = false; ///< Whether the allowance cut the amount or the interval.
    double spent = 0;     ///< Of the amount, what was spent already.
    std::uint64_t days_known = 0; ///< Complete days of history.
    std::uint64_t days_used = 0;  ///< Of these, the days since the last step.
    history_shape shape = history_shape::level;
    bool weekly = false; ///< Whether a weekday pattern was found.
};

/// Complete days of history that a forecast needs.
inline constexpr std::uint64_t least_forecast_days = 7;

/// \brief Forecasts a month.
/// \param history in any order; hours without use may be left out.
/// \returns `invalid` when the month is over, or when there are fewer than
/// `least_forecast_days` complete days since the first use.
[[nodiscard]] result<month_forecast>
forecast_month(std::span<const hourly_amount> history, const forecast_query& query);

} // namespace agateseam

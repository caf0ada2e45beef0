/// Forecasts a month's cost from an hourly history.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief A calendar month in UTC.
struct calendar_month
{
    int year = 1970;
    unsigned month = 1; ///< 1 to 12.

    /// \brief Parses "YYYY-MM"; `invalid` if the text has another form.
    [[nodiscard]] static result<calendar_month> parse(std::string_view text);

    /// \brief Returns the month that contains a day.
    /// \param day days since 1970-01-01.
    [[nodiscard]] static calendar_month of_day(std::uint64_t day) noexcept;

    /// \brief Returns the following month.
    [[nodiscard]] calendar_month next() const noexcept;

    /// \brief Returns the month's first day, as days since 1970-01-01.
    [[nodiscard]] std::uint64_t first_day() const noexcept;

    /// \brief Returns the number of days in the month.
    [[nodiscard]] std::uint64_t days() const noexcept;

    /// \brief Returns "YYYY-MM".
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const calendar_month&, const calendar_month&) = default;
};

/// \brief The cost of one hour's usage, in the configuration's currency.
struct hourly_amount
{
    usage_hour_number hour = 0;
    double amount = 0;
};

/// \brief The shape of a history since its last step.
enum class history_shape : std::uint8_t
{
    level,      ///< The amount per day is constant.
    linear,     ///< The amount per day changes by a constant difference.
    exponential ///< The amount per day changes by a constant factor.
};

/// \brief Returns "level", "linear" or "exponential".
[[nodiscard]] std::string_view to_string(history_shape shape) noexcept;

/// \brief The month to forecast and the limits of the forecast.
struct forecast_query
{
    calendar_month month;
    usage_hour_number now = 0; ///< The current hour; later history is ignored.
    double max_amount = 0;     ///< The most that the allowance permits; 0 for no limit.
};

/// \brief A month's forecast and the history it is based on.
struct month_forecast
{
    calendar_month month;
    double amount = 0;    ///< The expected cost of the whole month.
    double low = 0;       ///< The lower end of the 80% interval.
    double high = 0;      ///< The upper end of the 80% interval.
    bool limited = false; ///< Whether the allowance's maximum lowered the interval.
    double spent = 0;     ///< The part of `amount` that was spent before today.
    std::uint64_t history_days = 0; ///< Complete days in the history.
    std::uint64_t days_used = 0;    ///< The days of these since the last step.
    history_shape shape = history_shape::level;
    bool weekly = false; ///< Whether a weekday pattern was found.
};

/// The minimum number of complete days of history for a forecast.
inline constexpr std::uint64_t min_history_days = 7;

/// \brief Forecasts a month.
/// \param history in any order; hours without usage may be omitted.
/// \returns `invalid` if the month is over, or if there are fewer than
/// `min_history_days` complete days since the first usage.
[[nodiscard]] result<month_forecast>
forecast_month(std::span<const hourly_amount> history, const forecast_query& query);

} // namespace agateseam

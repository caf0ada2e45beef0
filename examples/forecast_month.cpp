/// Forecasts the cost of January from seven weeks of daily amounts, without a server or a
/// store.
#include <cmath>
#include <cstdio>
#include <vector>

#include <agateseam/forecast.hpp>

int main()
{
    using namespace agateseam;
    const calendar_month january{2027, 1};
    const std::uint64_t first_day = january.first_day();
    std::vector<hourly_amount> history;
    for (std::uint64_t day = first_day - 49; day < first_day; ++day)
    {
        const double weekday_factor = day % 7 < 2 ? 0.3 : 1.0;
        const double variation = 1 + 0.1 * std::sin(static_cast<double>(day));
        history.push_back({day * hours_per_day, 40 * weekday_factor * variation});
    }
    // Forecasts at the month's first hour; the 0 stands for an unlimited allowance.
    const auto forecast =
        forecast_month(history, {january, first_day * hours_per_day, 0});
    if (!forecast)
    {
        std::printf("%s\n", forecast.error().to_string().c_str());
        return 1;
    }
    std::printf("%s: %.2f, 80%% interval %.2f to %.2f, from %llu days of history\n",
                forecast->month.to_string().c_str(), forecast->amount, forecast->low,
                forecast->high, static_cast<unsigned long long>(forecast->history_days));
    return forecast->low <= forecast->amount && forecast->amount <= forecast->high ? 0
                                                                                   : 1;
}

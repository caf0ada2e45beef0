/// Forecasts January from seven weeks of daily spending, with no server and no store.
#include <cmath>
#include <cstdio>
#include <vector>

#include <agateseam/forecast.hpp>

int main()
{
    using namespace agateseam;
    const calendar_month january{2027, 1};
    const std::uint64_t today = january.first_day();
    std::vector<hourly_amount> history;
    for (std::uint64_t day = today - 49; day < today; ++day)
    {
        const double weekend = day % 7 < 2 ? 0.3 : 1.0;
        const double wave = 1 + 0.1 * std::sin(static_cast<double>(day));
        history.push_back({day * hours_per_day, 40 * weekend * wave});
    }
    const auto made = forecast_month(history, {january, today * hours_per_day, 0});
    if (!made)
    {
        std::printf("%s\n", made.error().to_string().c_str());
        return 1;
    }
    std::printf("%s: %.2f, with 80%% between %.2f and %.2f, from %llu days\n",
                made->month.to_string().c_str(), made->amount, made->low, made->high,
                static_cast<unsigned long long>(made->history_days));
    return made->low <= made->amount && made->amount <= made->high ? 0 : 1;
}

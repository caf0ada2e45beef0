#include <agateseam/impl/weekday_pattern.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace agateseam::impl
{

namespace
{

constexpr std::size_t least_ratios = 14; // days
constexpr double least_statistic = 6;    // F statistic of a pattern
constexpr double least_factor = 0.01;
constexpr double smallest_square = 1e-12;

/// Each day against the mean of the week around it, by weekday.
struct weekday_ratios
{
    std::vector<std::pair<std::size_t, double>> all;
    std::array<double, days_per_week> sums{};
    std::array<double, days_per_week> counts{};

    [[nodiscard]] double mean(std::size_t weekday) const noexcept
    {
        return this->sums[weekday] / std::max(this->counts[weekday], 1.0);
    }
};

weekday_ratios gather(std::span<const double> series, std::uint64_t first_day)
{
    constexpr std::size_t half = days_per_week / 2;
    weekday_ratios ratios;
    for (std::size_t index = half; index + half < series.size(); ++index)
    {
        const auto week = series.subspan(index - half, days_per_week);
        const double around = std::accumulate(week.begin(), week.end(), 0.0) /
                              static_cast<double>(days_per_week);
        const std::size_t weekday = (first_day + index) % days_per_week;
        const double ratio = around > 0 ? series[index] / around : 1;
        ratios.all.emplace_back(weekday, ratio);
        ratios.sums[weekday] += ratio;
        ++ratios.counts[weekday];
    }
    return ratios;
}

/// Variance between the weekdays over that within them.
double statistic_of(const weekday_ratios& ratios, double centre)
{
    double between = 0;
    double within = smallest_square;
    for (std::size_t weekday = 0; weekday < days_per_week; ++weekday)
    {
        const double distance = ratios.mean(weekday) - centre;
        between += ratios.counts[weekday] * distance * distance;
    }
    for (const auto& [weekday, ratio] : ratios.all)
    {
        const double rest = ratio - ratios.mean(weekday);
        within += rest * rest;
    }
    const auto freedom = static_cast<double>(ratios.all.size() - days_per_week);
    return (between / (days_per_week - 1)) / (within / freedom);
}

} // namespace

weekday_pattern weekday_pattern::find(std::span<const double> series,
                                      std::uint64_t first_day)
{
    weekday_pattern pattern;
    const weekday_ratios ratios = gather(series, first_day);
    if (ratios.all.size() < least_ratios)
    {
        return pattern;
    }
    const double centre = std::accumulate(ratios.sums.begin(), ratios.sums.end(), 0.0) /
                          static_cast<double>(ratios.all.size());
    const double statistic = statistic_of(ratios, centre);
    if (statistic < least_statistic || centre <= 0)
    {
        return pattern;
    }
    pattern.found = true;
    // The weaker the pattern, the nearer its factors stay to 1.
    const double kept = 1 - 1 / statistic;
    double total = 0;
    for (std::size_t weekday = 0; weekday < days_per_week; ++weekday)
    {
        const double factor = 1 + kept * (ratios.mean(weekday) / centre - 1);
        pattern.factors[weekday] = std::max(factor, least_factor);
        total += pattern.factors[weekday];
    }
    for (double& factor : pattern.factors)
    {
        factor *= static_cast<double>(days_per_week) / total;
    }
    return pattern;
}

} // namespace agateseam::impl

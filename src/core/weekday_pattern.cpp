#include <agateseam/impl/weekday_pattern.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace agateseam::impl
{

namespace
{

/// Two full weeks: a pattern is only looked for if every weekday has two ratios.
constexpr std::size_t min_ratio_count = 14;
/// The F statistic below which a pattern is not significant.
constexpr double min_f_statistic = 6;

/// Keeps factors above 0, because amounts are divided by them.
constexpr double min_factor = 0.01;

/// Prevents a division by 0 where the ratios of each weekday are all equal.
constexpr double min_square_sum = 1e-12;

/// The ratio of each day to the mean of the seven days centred on it, by weekday.
struct weekday_ratios
{
    std::vector<std::pair<std::size_t, double>> all; ///< Weekdays and ratios.
    std::array<double, days_per_week> sums{};        ///< Of ratios, by weekday.
    std::array<double, days_per_week> counts{};      ///< Of ratios, by weekday.

    [[nodiscard]] double mean(std::size_t weekday) const noexcept
    {
        return this->sums[weekday] / std::max(this->counts[weekday], 1.0);
    }
};

weekday_ratios compute_weekday_ratios(std::span<const double> series,
                                      std::uint64_t first_day)
{
    constexpr std::size_t half_week = days_per_week / 2;
    weekday_ratios ratios;
    for (std::size_t index = half_week; index + half_week < series.size(); ++index)
    {
        const auto week = series.subspan(index - half_week, days_per_week);
        const double week_mean = std::accumulate(week.begin(), week.end(), 0.0) /
                                 static_cast<double>(days_per_week);
        const std::size_t weekday = (first_day + index) % days_per_week;
        const double ratio = week_mean > 0 ? series[index] / week_mean : 1;
        ratios.all.emplace_back(weekday, ratio);
        ratios.sums[weekday] += ratio;
        ++ratios.counts[weekday];
    }
    return ratios;
}

/// Returns the F statistic: the variance between weekdays divided by that within them.
double f_statistic_of(const weekday_ratios& ratios, double overall_mean)
{
    double between_square_sum = 0;
    double within_square_sum = min_square_sum;
    for (std::size_t weekday = 0; weekday < days_per_week; ++weekday)
    {
        const double distance = ratios.mean(weekday) - overall_mean;
        between_square_sum += ratios.counts[weekday] * distance * distance;
    }
    for (const auto& [weekday, ratio] : ratios.all)
    {
        const double residual = ratio - ratios.mean(weekday);
        within_square_sum += residual * residual;
    }
    const auto degrees_of_freedom =
        static_cast<double>(ratios.all.size() - days_per_week);
    return (between_square_sum / (days_per_week - 1)) /
           (within_square_sum / degrees_of_freedom);
}

} // namespace

weekday_pattern weekday_pattern::detect(std::span<const double> series,
                                        std::uint64_t first_day)
{
    weekday_pattern pattern;
    const weekday_ratios ratios = compute_weekday_ratios(series, first_day);
    if (ratios.all.size() < min_ratio_count)
    {
        return pattern;
    }
    const double overall_mean =
        std::accumulate(ratios.sums.begin(), ratios.sums.end(), 0.0) /
        static_cast<double>(ratios.all.size());
    const double f_statistic = f_statistic_of(ratios, overall_mean);
    if (f_statistic < min_f_statistic || overall_mean <= 0)
    {
        return pattern;
    }
    pattern.found = true;
    // The less significant the pattern, the closer its factors are to 1.
    const double shrinkage = 1 - 1 / f_statistic;
    double total = 0;
    for (std::size_t weekday = 0; weekday < days_per_week; ++weekday)
    {
        const double factor = 1 + shrinkage * (ratios.mean(weekday) / overall_mean - 1);
        pattern.factors[weekday] = std::max(factor, min_factor);
        total += pattern.factors[weekday];
    }
    // Makes the mean of the factors 1.
    for (double& factor : pattern.factors)
    {
        factor *= static_cast<double>(days_per_week) / total;
    }
    return pattern;
}

} // namespace agateseam::impl

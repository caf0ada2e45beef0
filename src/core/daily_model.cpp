#include <agateseam/impl/daily_model.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agateseam::impl
{

namespace
{

constexpr std::size_t least_segment = 7; // days on either side of a step
constexpr std::size_t least_trend = 28;  // days that a trend is looked for in
constexpr double smallest_value = 1e-12; // keeps logarithms and shares finite
constexpr double trend_share = 0.05;     // of workspaces that have a trend, beforehand
constexpr double step_share = 0.02;      // of workspaces that have had a step, beforehand
constexpr double rise_share = 0.2;    // of workspaces that rose to their level at first
constexpr double least_weight = 1e-3; // candidates below it are left out
/// Of the share by which a trend changes a day, known beforehand: 1% a day.
constexpr double usual_slope_square = 1e-4;
constexpr double tail_share = 0.1;       // outside the interval, on either side
constexpr double tail_quantile = 1.2816; // of the normal distribution, for tail_share
constexpr double search_deviations = 8;
constexpr int search_steps = 60;
constexpr double correlation_days = 6;     // of no correlation, known beforehand
constexpr double unforeseen_share = 0.022; // deviation by what no history shows
constexpr double largest_correlation = 0.8;
/// Squared residuals of a day that are known beforehand: keeps a few alike days from
/// being taken for certainty.
constexpr double prior_days = 2;
constexpr double prior_variance = 0.04;

double floor_of(std::span<const double> series)
{
    const double sum = std::accumulate(series.begin(), series.end(), 0.0);
    const double mean = sum / static_cast<double>(series.size());
    return std::max(mean * 1e-3, smallest_value);
}

/// Quantile of Student's distribution that leaves 10% above, by its expansion around the
/// normal one.
double student_quantile(double freedom) noexcept
{
    const double cube = tail_quantile * tail_quantile * tail_quantile;
    const double fifth = cube * tail_quantile * tail_quantile;
    return tail_quantile + (cube + tail_quantile) / (4 * freedom) +
           (5 * fifth + 16 * cube + 3 * tail_quantile) / (96 * freedom * freedom);
}

/// Finds where the parts together have a share of their weight below, by bisection.
double quantile_of(std::span<const candidate_sum> parts, double weight_below)
{
    double low = 0;
    double high = 0;
    for (const candidate_sum& part : parts)
    {
        high = std::max(high, part.mean + search_deviations * part.deviation);
    }
    for (int step = 0; step < search_steps; ++step)
    {
        const double middle = (low + high) / 2;
        double below = 0;
        for (const candidate_sum& part : parts)
        {
            const double distance =
                (middle - part.mean) / std::max(part.deviation, smallest_value);
            below += part.weight * 0.5 * std::erfc(-distance / std::sqrt(2.0));
        }
        (below < weight_below ? low : high) = middle;
    }
    return (low + high) / 2;
}

/// Returns the squared residuals of days that rise in even steps to a level.
double rise_rest(std::span<const double> logs, double level)
{
    double rest = 0;
    const auto steps = static_cast<double>(logs.size() + 1);
    for (std::size_t index = 0; index < logs.size(); ++index)
    {
        const double share = static_cast<double>(index + 1) / steps;
        const double distance = logs[index] - std::log(level * share);
        rest += distance * distance;
    }
    return rest;
}

std::vector<double> logarithms(std::span<const double> series)
{
    const double floor = floor_of(series);
    std::vector<double> logs;
    logs.reserve(series.size());
    for (const double value : series)
    {
        logs.push_back(std::log(std::max(value, floor)));
    }
    return logs;
}

} // namespace

line_fit fit_line(std::span<const double> series, bool slope) noexcept
{
    line_fit fit;
    const auto count = static_cast<double>(series.size());
    fit.mean_day = (count - 1) / 2;
    fit.mean = std::accumulate(series.begin(), series.end(), 0.0) / count;
    double product = 0;
    for (std::size_t index = 0; index < series.size(); ++index)
    {
        const double distance = static_cast<double>(index) - fit.mean_day;
        fit.day_spread += distance * distance;
        product += distance * series[index];
    }
    fit.slope = slope && fit.day_spread > 0 ? product / fit.day_spread : 0;
    for (std::size_t index = 0; index < series.size(); ++index)
    {
        const double rest = series[index] - fit.at(static_cast<double>(index));
        fit.rest += rest * rest;
    }
    return fit;
}

double history_candidate::at(double day) const noexcept
{
    const double capped = std::min(day, 2 * this->days);
    if (this->shape == history_shape::exponential)
    {
        return this->scale * std::exp(this->fit.at(capped));
    }
    return std::max(this->fit.at(capped), 0.0);
}

daily_model::daily_model(std::vector<double> series, std::uint64_t first_day)
    : origin(first_day)
    , pattern(weekday_pattern::find(series, first_day))
    , days(std::move(series))
{
    for (std::size_t index = 0; index < this->days.size(); ++index)
    {
        this->days[index] /= this->pattern.of_day(first_day + index);
    }
    this->logs = logarithms(this->days);
    this->rebuild();
    // A first weighing says which residuals to judge neighbouring days by.
    const double correlation = this->neighbour_correlation();
    this->inflation = (1 + correlation) / (1 - correlation);
    this->rebuild();
    std::erase_if(this->candidates, [](const history_candidate& item)
                  { return item.weight < least_weight; });
    for (history_candidate& item : this->candidates)
    {
        this->measure_noise(item);
    }
}

void daily_model::rebuild()
{
    this->candidates.clear();
    this->add_candidates(0);
    for (std::size_t cut = 1;
         cut < least_segment && cut + least_segment <= this->days.size(); ++cut)
    {
        this->add_candidate(cut, history_shape::level);
    }
    for (std::size_t cut = least_segment; cut + least_segment <= this->days.size(); ++cut)
    {
        this->add_candidates(cut);
    }
    this->weigh();
}

void daily_model::add_candidates(std::size_t begin)
{
    this->add_candidate(begin, history_shape::level);
    if (this->days.size() - begin >= least_trend)
    {
        this->add_candidate(begin, history_shape::linear);
        this->add_candidate(begin, history_shape::exponential);
    }
}

void daily_model::add_candidate(std::size_t begin, history_shape shape)
{
    const auto tail = std::span<const double>(this->days).subspan(begin);
    const auto tail_logs = std::span<const double>(this->logs).subspan(begin);
    const bool trend = shape != history_shape::level;
    history_candidate made;
    made.begin = begin;
    made.shape = shape;
    made.days = static_cast<double>(tail.size());
    line_fit log_fit = fit_line(tail_logs, trend);
    made.fit = shape == history_shape::exponential ? log_fit : fit_line(tail, trend);
    if (trend)
    {
        // Steep trends are rare: the fewer the days, the flatter the line.
        const double noise = log_fit.rest / (made.days - 2) * this->inflation;
        const double kept =
            log_fit.day_spread / (log_fit.day_spread + noise / usual_slope_square);
        log_fit.slope *= kept;
        made.fit.slope *= kept;
    }
    made.rest = log_fit.rest;
    if (shape == history_shape::linear)
    {
        made.rest = 0;
        const double floor = floor_of(tail);
        for (std::size_t index = 0; index < tail.size(); ++index)
        {
            const double value = std::max(made.fit.at(static_cast<double>(index)), floor);
            const double rest = tail_logs[index] - std::log(value);
            made.rest += rest * rest;
        }
    }
    if (shape == history_shape::exponential)
    {
        double sum = 0;
        for (std::size_t index = 0; index < tail.size(); ++index)
        {
            sum += std::exp(log_fit.at(static_cast<double>(index)));
        }
        made.scale = std::accumulate(tail.begin(), tail.end(), 0.0) / sum;
    }
    made.unknowns = trend ? 2 : 1;
    made.prior = std::log(trend ? trend_share / 2 : 1 - trend_share);
    if (begin > 0 && begin < least_segment)
    {
        const double level = std::max(made.fit.mean, floor_of(tail));
        made.rest += rise_rest(std::span<const double>(this->logs).first(begin), level);
        made.prior += std::log(rise_share / (least_segment - 1));
    }
    else if (begin > 0)
    {
        made.rest +=
            fit_line(std::span<const double>(this->logs).first(begin), false).rest;
        made.unknowns += 1;
        made.prior += std::log(step_share / static_cast<double>(this->days.size()));
    }
    else
    {
        made.prior += std::log(1 - step_share - rise_share);
    }
    this->candidates.push_back(made);
}

/// Weighs the candidates by the Bayesian information criterion; neighbouring days that
/// resemble each other count as fewer.
void daily_model::weigh()
{
    const double count = static_cast<double>(this->days.size());
    const double effective = count / this->inflation;
    double highest = -1e300;
    for (history_candidate& item : this->candidates)
    {
        const double variance =
            (item.rest + prior_days * prior_variance) / (count + prior_days);
        item.weight = item.prior - effective / 2 * std::log(variance) -
                      item.unknowns / 2 * std::log(effective);
        highest = std::max(highest, item.weight);
    }
    double total = 0;
    for (history_candidate& item : this->candidates)
    {
        item.weight = std::exp(item.weight - highest);
        total += item.weight;
    }
    for (history_candidate& item : this->candidates)
    {
        item.weight /= total;
    }
}

const history_candidate& daily_model::likeliest() const noexcept
{
    return *std::max_element(this->candidates.begin(), this->candidates.end(),
                             [](const auto& left, const auto& right)
                             { return left.weight < right.weight; });
}

/// Estimated from the tail of the likeliest history; corrected for the fit's own bias.
double daily_model::neighbour_correlation() const
{
    const history_candidate& best = this->likeliest();
    const auto tail = std::span<const double>(this->days).subspan(best.begin);
    double product = 0;
    double square = smallest_value;
    double before = 0;
    for (std::size_t index = 0; index < tail.size(); ++index)
    {
        const double value =
            std::max(best.at(static_cast<double>(index)), smallest_value);
        const double rest = tail[index] / value - 1;
        product += rest * before;
        square += rest * rest;
        before = rest;
    }
    const double raw = product / square;
    const double bias = (1 + 3 * std::max(raw, 0.0)) / static_cast<double>(tail.size());
    const double known = static_cast<double>(tail.size());
    const double kept = known / (known + correlation_days);
    return std::clamp(kept * (raw + bias), 0.0, largest_correlation);
}

void daily_model::measure_noise(history_candidate& candidate) const
{
    const auto tail = std::span<const double>(this->days).subspan(candidate.begin);
    double square = prior_days * prior_variance;
    for (std::size_t index = 0; index < tail.size(); ++index)
    {
        const double value =
            std::max(candidate.at(static_cast<double>(index)), smallest_value);
        const double rest = tail[index] / value - 1;
        square += rest * rest;
    }
    const double own = candidate.shape == history_shape::level ? 1 : 2;
    candidate.noise = std::sqrt(square / (candidate.days - own + prior_days));
}

candidate_sum daily_model::expect(const history_candidate& candidate, std::uint64_t from,
                                  std::uint64_t to) const
{
    candidate_sum made;
    made.weight = candidate.weight;
    const std::uint64_t begin = this->origin + candidate.begin;
    double squares = 0;
    double moment = 0;
    for (std::uint64_t day = from; day < to; ++day)
    {
        const auto distance = static_cast<double>(day - begin);
        const double value = candidate.at(distance) * this->pattern.of_day(day);
        made.mean += value;
        squares += value * value;
        moment += value * distance;
    }
    double parameters = 1 / candidate.days;
    if (candidate.shape != history_shape::level && made.mean > 0)
    {
        const double distance = moment / made.mean - candidate.fit.mean_day;
        parameters += distance * distance / candidate.fit.day_spread;
    }
    const double variance = squares + made.mean * made.mean * parameters;
    const double change = made.mean * unforeseen_share;
    const double freedom = std::max(candidate.days / this->inflation - 1, 1.0);
    const double known = candidate.noise * std::sqrt(variance * this->inflation) *
                         student_quantile(freedom) / tail_quantile;
    made.deviation = std::hypot(known, change);
    return made;
}

expectation daily_model::expect(std::uint64_t from, std::uint64_t to) const
{
    std::vector<candidate_sum> parts;
    expectation made;
    double total = 0;
    for (const history_candidate& item : this->candidates)
    {
        parts.push_back(this->expect(item, from, to));
        total += item.weight;
        made.mean += item.weight * parts.back().mean;
    }
    made.mean /= total;
    made.low = quantile_of(parts, total * tail_share);
    made.high = quantile_of(parts, total * (1 - tail_share));
    return made;
}

} // namespace agateseam::impl

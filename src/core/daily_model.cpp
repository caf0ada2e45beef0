#include <agateseam/impl/daily_model.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agateseam::impl
{

namespace
{

/// The minimum number of days on either side of a step.
constexpr std::size_t min_segment_days = 7;

/// The minimum number of days in which a trend is looked for.
constexpr std::size_t min_trend_days = 28;

/// A lower bound of amounts and divisors that keeps logarithms and quotients finite.
constexpr double min_value = 1e-12;

/// The prior probability that a workspace's usage has a trend.
constexpr double trend_prior = 0.05;

/// The prior probability that a workspace's usage has had a step.
constexpr double step_prior = 0.02;

/// The prior probability that a workspace's usage rose to its level in its first days.
constexpr double ramp_up_prior = 0.2;

/// Candidates with a lower probability are removed.
constexpr double min_candidate_weight = 1e-3;

/// The prior variance of a trend's relative change per day: a standard deviation of 1%.
constexpr double prior_slope_variance = 1e-4;

/// The probability on either side of the forecast interval.
constexpr double tail_probability = 0.1;

/// The quantile of the standard normal distribution that leaves tail_probability above
/// it.
constexpr double normal_tail_quantile = 1.2816;

/// The bisection's upper bound, in standard deviations above a candidate's mean.
constexpr double search_range_deviations = 8;
constexpr int bisection_steps = 60;

/// The prior for the autocorrelation: it counts as this many days without correlation.
constexpr double prior_correlation_days = 6;

/// The relative standard deviation of a sum due to changes that no history shows.
constexpr double unmodelled_deviation = 0.022;

constexpr double max_correlation = 0.8;

/// The prior for the variance of residuals: it counts as this many days with a variance
/// of prior_variance, so that a few nearly equal days don't lead to a variance near 0.
constexpr double prior_days = 2;
constexpr double prior_variance = 0.04;

/// Returns a positive lower bound for the amounts of a series, relative to their mean.
double min_amount_of(std::span<const double> series)
{
    const double sum = std::accumulate(series.begin(), series.end(), 0.0);
    const double mean = sum / static_cast<double>(series.size());
    return std::max(mean * 1e-3, min_value);
}

/// Returns the quantile of Student's t-distribution that leaves 10% above it, by the
/// expansion around the normal quantile.
double student_quantile(double degrees_of_freedom) noexcept
{
    const double cubed =
        normal_tail_quantile * normal_tail_quantile * normal_tail_quantile;
    const double fifth_power = cubed * normal_tail_quantile * normal_tail_quantile;
    return normal_tail_quantile +
           (cubed + normal_tail_quantile) / (4 * degrees_of_freedom) +
           (5 * fifth_power + 16 * cubed + 3 * normal_tail_quantile) /
               (96 * degrees_of_freedom * degrees_of_freedom);
}

/// Returns the amount below which the normal distributions of the forecasts together have
/// the target weight; found by bisection.
double quantile_of(std::span<const candidate_forecast> forecasts, double target_weight)
{
    double low = 0;
    double high = 0;
    for (const candidate_forecast& forecast : forecasts)
    {
        high =
            std::max(high, forecast.mean + search_range_deviations * forecast.deviation);
    }
    for (int step = 0; step < bisection_steps; ++step)
    {
        const double middle = (low + high) / 2;
        double weight_below = 0;
        for (const candidate_forecast& forecast : forecasts)
        {
            const double distance =
                (middle - forecast.mean) / std::max(forecast.deviation, min_value);
            weight_below += forecast.weight * 0.5 * std::erfc(-distance / std::sqrt(2.0));
        }
        (weight_below < target_weight ? low : high) = middle;
    }
    return (low + high) / 2;
}

/// Returns the sum of squared residuals of a model in which days rise to a level in equal
/// steps.
double ramp_up_residual_square_sum(std::span<const double> logs, double level)
{
    double residual_square_sum = 0;
    const auto steps = static_cast<double>(logs.size() + 1);
    for (std::size_t index = 0; index < logs.size(); ++index)
    {
        const double share = static_cast<double>(index + 1) / steps;
        const double distance = logs[index] - std::log(level * share);
        residual_square_sum += distance * distance;
    }
    return residual_square_sum;
}

std::vector<double> logarithms(std::span<const double> series)
{
    const double min_amount = min_amount_of(series);
    std::vector<double> logs;
    logs.reserve(series.size());
    for (const double value : series)
    {
        logs.push_back(std::log(std::max(value, min_amount)));
    }
    return logs;
}

} // namespace

line_fit fit_line(std::span<const double> series, bool with_slope) noexcept
{
    line_fit fit;
    const auto count = static_cast<double>(series.size());
    fit.mean_day = (count - 1) / 2;
    fit.mean = std::accumulate(series.begin(), series.end(), 0.0) / count;
    double product = 0;
    for (std::size_t index = 0; index < series.size(); ++index)
    {
        const double distance = static_cast<double>(index) - fit.mean_day;
        fit.day_square_sum += distance * distance;
        product += distance * series[index];
    }
    fit.slope = with_slope && fit.day_square_sum > 0 ? product / fit.day_square_sum : 0;
    for (std::size_t index = 0; index < series.size(); ++index)
    {
        const double residual = series[index] - fit.at(static_cast<double>(index));
        fit.residual_square_sum += residual * residual;
    }
    return fit;
}

double history_candidate::at(double day) const noexcept
{
    const double capped = std::min(day, 2 * this->day_count);
    if (this->shape == history_shape::exponential)
    {
        return this->scale * std::exp(this->fit.at(capped));
    }
    return std::max(this->fit.at(capped), 0.0);
}

daily_model::daily_model(std::vector<double> series, std::uint64_t series_first_day)
    : first_day(series_first_day)
    , pattern(weekday_pattern::detect(series, series_first_day))
    , amounts(std::move(series))
{
    for (std::size_t index = 0; index < this->amounts.size(); ++index)
    {
        this->amounts[index] /= this->pattern.factor_of_day(series_first_day + index);
    }
    this->logs = logarithms(this->amounts);
    this->rebuild_candidates();
    // The autocorrelation is estimated from the residuals of the candidate that is most
    // probable under the assumption of independent days.
    const double correlation = this->lag_one_autocorrelation();
    this->variance_inflation = (1 + correlation) / (1 - correlation);
    this->rebuild_candidates();
    std::erase_if(this->candidates, [](const history_candidate& candidate)
                  { return candidate.weight < min_candidate_weight; });
    for (history_candidate& candidate : this->candidates)
    {
        this->estimate_noise(candidate);
    }
}

void daily_model::rebuild_candidates()
{
    this->candidates.clear();
    this->add_candidates(0);
    for (std::size_t split_day = 1; split_day < min_segment_days &&
                                    split_day + min_segment_days <= this->amounts.size();
         ++split_day)
    {
        this->add_candidate(split_day, history_shape::level);
    }
    for (std::size_t split_day = min_segment_days;
         split_day + min_segment_days <= this->amounts.size(); ++split_day)
    {
        this->add_candidates(split_day);
    }
    this->weigh_candidates();
}

void daily_model::add_candidates(std::size_t begin)
{
    this->add_candidate(begin, history_shape::level);
    if (this->amounts.size() - begin >= min_trend_days)
    {
        this->add_candidate(begin, history_shape::linear);
        this->add_candidate(begin, history_shape::exponential);
    }
}

void daily_model::add_candidate(std::size_t begin, history_shape shape)
{
    const auto tail = std::span<const double>(this->amounts).subspan(begin);
    const auto tail_logs = std::span<const double>(this->logs).subspan(begin);
    const bool has_trend = shape != history_shape::level;
    history_candidate candidate;
    candidate.begin = begin;
    candidate.shape = shape;
    candidate.day_count = static_cast<double>(tail.size());
    line_fit log_fit = fit_line(tail_logs, has_trend);
    candidate.fit =
        shape == history_shape::exponential ? log_fit : fit_line(tail, has_trend);
    if (has_trend)
    {
        // Steep trends are rare, so the slope is shrunk; the fewer the days, the more.
        const double noise = log_fit.residual_square_sum / (candidate.day_count - 2) *
                             this->variance_inflation;
        const double shrinkage = log_fit.day_square_sum /
                                 (log_fit.day_square_sum + noise / prior_slope_variance);
        log_fit.slope *= shrinkage;
        candidate.fit.slope *= shrinkage;
    }
    candidate.residual_square_sum = log_fit.residual_square_sum;
    if (shape == history_shape::linear)
    {
        candidate.residual_square_sum = 0;
        const double min_amount = min_amount_of(tail);
        for (std::size_t index = 0; index < tail.size(); ++index)
        {
            const double value =
                std::max(candidate.fit.at(static_cast<double>(index)), min_amount);
            const double residual = tail_logs[index] - std::log(value);
            candidate.residual_square_sum += residual * residual;
        }
    }
    if (shape == history_shape::exponential)
    {
        double sum = 0;
        for (std::size_t index = 0; index < tail.size(); ++index)
        {
            sum += std::exp(log_fit.at(static_cast<double>(index)));
        }
        candidate.scale = std::accumulate(tail.begin(), tail.end(), 0.0) / sum;
    }
    candidate.parameter_count = has_trend ? 2 : 1;
    candidate.log_prior = std::log(has_trend ? trend_prior / 2 : 1 - trend_prior);
    if (begin > 0 && begin < min_segment_days)
    {
        const double level = std::max(candidate.fit.mean, min_amount_of(tail));
        candidate.residual_square_sum += ramp_up_residual_square_sum(
            std::span<const double>(this->logs).first(begin), level);
        candidate.log_prior += std::log(ramp_up_prior / (min_segment_days - 1));
    }
    else if (begin > 0)
    {
        candidate.residual_square_sum +=
            fit_line(std::span<const double>(this->logs).first(begin), false)
                .residual_square_sum;
        candidate.parameter_count += 1;
        candidate.log_prior +=
            std::log(step_prior / static_cast<double>(this->amounts.size()));
    }
    else
    {
        candidate.log_prior += std::log(1 - step_prior - ramp_up_prior);
    }
    this->candidates.push_back(candidate);
}

/// Computes the candidates' probabilities by the Bayesian information criterion, with the
/// number of days reduced according to their autocorrelation.
void daily_model::weigh_candidates()
{
    const double count = static_cast<double>(this->amounts.size());
    const double effective_day_count = count / this->variance_inflation;
    double highest = -1e300;
    for (history_candidate& candidate : this->candidates)
    {
        const double variance =
            (candidate.residual_square_sum + prior_days * prior_variance) /
            (count + prior_days);
        candidate.weight = candidate.log_prior -
                           effective_day_count / 2 * std::log(variance) -
                           candidate.parameter_count / 2 * std::log(effective_day_count);
        highest = std::max(highest, candidate.weight);
    }
    double total_weight = 0;
    for (history_candidate& candidate : this->candidates)
    {
        candidate.weight = std::exp(candidate.weight - highest);
        total_weight += candidate.weight;
    }
    for (history_candidate& candidate : this->candidates)
    {
        candidate.weight /= total_weight;
    }
}

const history_candidate& daily_model::most_probable() const noexcept
{
    return *std::max_element(this->candidates.begin(), this->candidates.end(),
                             [](const auto& left, const auto& right)
                             { return left.weight < right.weight; });
}

/// Estimates the correlation of consecutive days from the residuals of the most probable
/// candidate, corrected for the bias that the fit introduces.
double daily_model::lag_one_autocorrelation() const
{
    const history_candidate& best = this->most_probable();
    const auto tail = std::span<const double>(this->amounts).subspan(best.begin);
    double product = 0;
    double square_sum = min_value;
    double previous_residual = 0;
    for (std::size_t index = 0; index < tail.size(); ++index)
    {
        const double value = std::max(best.at(static_cast<double>(index)), min_value);
        const double residual = tail[index] / value - 1;
        product += residual * previous_residual;
        square_sum += residual * residual;
        previous_residual = residual;
    }
    const double raw_correlation = product / square_sum;
    const double bias_correction =
        (1 + 3 * std::max(raw_correlation, 0.0)) / static_cast<double>(tail.size());
    const double day_count = static_cast<double>(tail.size());
    const double shrinkage = day_count / (day_count + prior_correlation_days);
    return std::clamp(shrinkage * (raw_correlation + bias_correction), 0.0,
                      max_correlation);
}

void daily_model::estimate_noise(history_candidate& candidate) const
{
    const auto tail = std::span<const double>(this->amounts).subspan(candidate.begin);
    double square_sum = prior_days * prior_variance;
    for (std::size_t index = 0; index < tail.size(); ++index)
    {
        const double value =
            std::max(candidate.at(static_cast<double>(index)), min_value);
        const double residual = tail[index] / value - 1;
        square_sum += residual * residual;
    }
    const double parameter_count = candidate.shape == history_shape::level ? 1 : 2;
    candidate.noise =
        std::sqrt(square_sum / (candidate.day_count - parameter_count + prior_days));
}

candidate_forecast daily_model::forecast_sum(const history_candidate& candidate,
                                             std::uint64_t from, std::uint64_t to) const
{
    candidate_forecast forecast;
    forecast.weight = candidate.weight;
    const std::uint64_t begin = this->first_day + candidate.begin;
    double square_sum = 0;
    double day_moment = 0;
    for (std::uint64_t day = from; day < to; ++day)
    {
        const auto distance = static_cast<double>(day - begin);
        const double value = candidate.at(distance) * this->pattern.factor_of_day(day);
        forecast.mean += value;
        square_sum += value * value;
        day_moment += value * distance;
    }
    double relative_parameter_variance = 1 / candidate.day_count;
    if (candidate.shape != history_shape::level && forecast.mean > 0)
    {
        const double distance = day_moment / forecast.mean - candidate.fit.mean_day;
        relative_parameter_variance += distance * distance / candidate.fit.day_square_sum;
    }
    const double variance =
        square_sum + forecast.mean * forecast.mean * relative_parameter_variance;
    const double unmodelled_sum_deviation = forecast.mean * unmodelled_deviation;
    const double degrees_of_freedom =
        std::max(candidate.day_count / this->variance_inflation - 1, 1.0);
    const double modelled_deviation =
        candidate.noise * std::sqrt(variance * this->variance_inflation) *
        student_quantile(degrees_of_freedom) / normal_tail_quantile;
    forecast.deviation = std::hypot(modelled_deviation, unmodelled_sum_deviation);
    return forecast;
}

sum_forecast daily_model::forecast_sum(std::uint64_t from, std::uint64_t to) const
{
    std::vector<candidate_forecast> forecasts;
    sum_forecast combined;
    double total_weight = 0;
    for (const history_candidate& candidate : this->candidates)
    {
        forecasts.push_back(this->forecast_sum(candidate, from, to));
        total_weight += candidate.weight;
        combined.mean += candidate.weight * forecasts.back().mean;
    }
    combined.mean /= total_weight;
    combined.low = quantile_of(forecasts, total_weight * tail_probability);
    combined.high = quantile_of(forecasts, total_weight * (1 - tail_probability));
    return combined;
}

} // namespace agateseam::impl

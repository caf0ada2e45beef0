/// A model of daily amounts: a weekday pattern and a weighted average of candidate models
/// of the history, which may be level, have a step or have a trend.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include <agateseam/forecast.hpp>
#include <agateseam/impl/weekday_pattern.hpp>

namespace agateseam::impl
{

/// \brief A line fitted to a series of daily values, and its residuals.
struct line_fit
{
    double mean_day = 0;
    double mean = 0; ///< The line's value at `mean_day`.
    double slope = 0;
    double day_square_sum = 0;      ///< Sum of squared distances from `mean_day`.
    double residual_square_sum = 0; ///< Sum of squared residuals.

    /// \brief Returns the line's value at a day.
    [[nodiscard]] double at(double day) const noexcept
    {
        return this->mean + this->slope * (day - this->mean_day);
    }
};

/// \brief Fits a line by least squares, or a constant if `with_slope` is false.
[[nodiscard]] line_fit fit_line(std::span<const double> series, bool with_slope) noexcept;

/// \brief One candidate model of the history; its fit covers the days since `begin`.
struct history_candidate
{
    std::size_t begin = 0; ///< The first day after the last step; 0 without a step.
    history_shape shape = history_shape::level;
    line_fit fit;     ///< Of the amounts; of their logarithms if exponential.
    double scale = 1; ///< Corrects the bias of an exponential fit's mean.
    double residual_square_sum = 0; ///< Of the logarithms, over all days of the history.
    double log_prior = 0;           ///< Logarithm of the prior probability.
    double parameter_count = 1;
    double weight = 0; ///< Probability, after all candidates were weighed.
    double noise = 0;  ///< Standard deviation of a day relative to its expected amount.
    double day_count = 0; ///< Number of days that the fit covers.

    /// \brief Returns the amount of a day counted from `begin`. A trend is extrapolated
    /// for at most as many days as the fit covers; after that the amount stays constant.
    [[nodiscard]] double at(double day) const noexcept;
};

/// \brief One candidate's forecast of the sum over a range of days.
struct candidate_forecast
{
    double weight = 0;
    double mean = 0;
    double deviation = 0; ///< Of a normal distribution with the same 10% tails.
};

/// \brief The forecast of the sum over a range of days.
struct sum_forecast
{
    double mean = 0;
    double low = 0;  ///< The 10% quantile.
    double high = 0; ///< The 90% quantile.
};

/// \brief Fitted once to a history; forecasts the sum over any range of days after it.
class daily_model
{
  public:
    /// \param series amounts of at least 7 consecutive days, none negative.
    /// \param series_first_day the day of the first amount, as days since 1970-01-01.
    daily_model(std::vector<double> series, std::uint64_t series_first_day);

    /// \brief Forecasts the sum from day `from` up to but not including day `to`.
    [[nodiscard]] sum_forecast forecast_sum(std::uint64_t from, std::uint64_t to) const;

    /// \brief Returns the candidate with the highest probability.
    [[nodiscard]] const history_candidate& most_probable() const noexcept;

    /// \brief Returns whether a weekday pattern was detected.
    [[nodiscard]] bool has_weekday_pattern() const noexcept
    {
        return this->pattern.found;
    }

  private:
    void rebuild_candidates();
    void add_candidates(std::size_t begin);
    void add_candidate(std::size_t begin, history_shape shape);
    void weigh_candidates();
    void estimate_noise(history_candidate& candidate) const;
    [[nodiscard]] double lag_one_autocorrelation() const;
    [[nodiscard]] candidate_forecast forecast_sum(const history_candidate& candidate,
                                                  std::uint64_t from,
                                                  std::uint64_t to) const;

    std::uint64_t first_day; ///< The day of the first amount, as days since 1970-01-01.
    weekday_pattern pattern;
    std::vector<double> amounts; ///< Divided by the weekday factors.
    std::vector<double> logs;    ///< Logarithms of `amounts`.
    std::vector<history_candidate> candidates;
    /// The variance of sums relative to that with independent days.
    double variance_inflation = 1;
};

} // namespace agateseam::impl

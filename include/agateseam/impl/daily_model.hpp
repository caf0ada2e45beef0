/// A model of daily amounts: a weekday pattern, and an average over the histories that
/// the days may have had: steady, with a step, with a trend.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include <agateseam/forecast.hpp>
#include <agateseam/impl/weekday_pattern.hpp>

namespace agateseam::impl
{

/// \brief A line through a series: value at the mean day, slope, and what it leaves over.
struct line_fit
{
    double mean_day = 0;
    double mean = 0;
    double slope = 0;
    double day_spread = 0; ///< Sum of squared distances from the mean day.
    double rest = 0;       ///< Sum of squared residuals.

    [[nodiscard]] double at(double day) const noexcept
    {
        return this->mean + this->slope * (day - this->mean_day);
    }
};

/// \brief Fits a line by least squares, or a level when `slope` is not wanted.
[[nodiscard]] line_fit fit_line(std::span<const double> series, bool slope) noexcept;

/// \brief One history that the days may have had; its fit covers the days since `begin`.
struct history_candidate
{
    std::size_t begin = 0; ///< The day of the last step; 0 without one.
    history_shape shape = history_shape::level;
    line_fit fit;     ///< Of amounts; of their logarithms when exponential.
    double scale = 1; ///< Corrects the mean of an exponential fit.
    double rest = 0;  ///< Sum of squared residuals of logarithms, over all days.
    double prior = 0; ///< Logarithm.
    double unknowns = 1;
    double weight = 0; ///< Probability, once all candidates are known.
    double noise = 0;  ///< Standard deviation of a day, relative to its value.
    double days = 0;   ///< Days that the fit covers.

    /// \brief Returns the value of a day counted from `begin`. A trend is carried on for
    /// no longer than it was seen.
    [[nodiscard]] double at(double day) const noexcept;
};

/// \brief What one candidate expects of a span of days.
struct candidate_sum
{
    double weight = 0;
    double mean = 0;
    double deviation = 0; ///< Of a normal distribution with the same 10 in 100 tails.
};

/// \brief What is expected of a span of days.
struct expectation
{
    double mean = 0;
    double low = 0;  ///< 10 in 100 fall below.
    double high = 0; ///< 10 in 100 fall above.
};

/// \brief Fits once; answers for any span of days after the history.
class daily_model
{
  public:
    /// \param series amounts of consecutive days, none negative, at least 7.
    /// \param first_day the day of the first one, counted from 1970-01-01.
    daily_model(std::vector<double> series, std::uint64_t first_day);

    /// \brief Returns what to expect from a day to before another.
    [[nodiscard]] expectation expect(std::uint64_t from, std::uint64_t to) const;

    /// \brief Returns the most probable history.
    [[nodiscard]] const history_candidate& likeliest() const noexcept;

    [[nodiscard]] bool weekly() const noexcept { return this->pattern.found; }

  private:
    void rebuild();
    void add_candidates(std::size_t begin);
    void add_candidate(std::size_t begin, history_shape shape);
    void weigh();
    void measure_noise(history_candidate& candidate) const;
    [[nodiscard]] double neighbour_correlation() const;
    [[nodiscard]] candidate_sum expect(const history_candidate& candidate,
                                       std::uint64_t from, std::uint64_t to) const;

    std::uint64_t origin; ///< The day of the first value.
    weekday_pattern pattern;
    std::vector<double> days; ///< Without the weekday pattern.
    std::vector<double> logs;
    std::vector<history_candidate> candidates;
    double inflation = 1; ///< Variance of sums against independent days.
};

} // namespace agateseam::impl

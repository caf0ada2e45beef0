#include <agateseam/memory_curve.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

/// Weight of the newest value once there are enough. The newest twenty or so streams,
/// about ten seconds of an entry's traffic, determine an average.
constexpr double min_newest_weight = 0.05;
constexpr double min_log_stddev = 0.1;
/// Number of ended streams that have the same weight as the initial assumptions.
constexpr double initial_assumption_weight = 10;
/// Fewest guesses from which their variance can be estimated.
constexpr std::uint32_t min_guess_count = 8;
/// Logarithm of the output length assumed for a caller without a guess before any stream
/// has ended: some 500 tokens.
constexpr double initial_log_output = 6.2;
constexpr double min_variance = 1e-9;

/// Returns the probability that an output is longer than `tokens`.
double survival(const stream_memory& stream, double tokens) noexcept
{
    if (tokens <= 0)
    {
        return 1;
    }
    const double difference = (std::log(tokens) - stream.log_median) / stream.log_stddev;
    return 0.5 * std::erfc(difference / std::sqrt(2.0));
}

} // namespace

double output_length_estimator::moving_average::update(double value) noexcept
{
    const double weight = std::max(min_newest_weight, 1.0 / ++this->count);
    const double difference = value - this->mean;
    this->mean += weight * difference;
    this->variance = (1 - weight) * (this->variance + weight * difference * difference);
    return difference;
}

void output_length_estimator::record_guess(std::int64_t guessed_tokens) noexcept
{
    if (guessed_tokens > 0)
    {
        this->log_guesses.update(std::log(static_cast<double>(guessed_tokens)));
    }
}

void output_length_estimator::record_output(std::int64_t guessed_tokens,
                                            std::int64_t output_tokens) noexcept
{
    if (output_tokens <= 0)
    {
        return;
    }
    const double log_output = std::log(static_cast<double>(output_tokens));
    const double output_difference = this->log_outputs.update(log_output);
    if (guessed_tokens <= 0)
    {
        return;
    }
    const double log_guess = std::log(static_cast<double>(guessed_tokens));
    this->log_errors.update(log_output - log_guess);
    const double guess_difference = this->ended_log_guesses.update(log_guess);
    const double weight =
        std::max(min_newest_weight, 1.0 / this->ended_log_guesses.count);
    this->covariance =
        (1 - weight) * (this->covariance + weight * output_difference * guess_difference);
}

double output_length_estimator::observation_weight() const noexcept
{
    return this->ended_log_guesses.count /
           (this->ended_log_guesses.count + initial_assumption_weight);
}

double output_length_estimator::initial_slope() const noexcept
{
    if (this->log_guesses.count < min_guess_count)
    {
        return 1;
    }
    const double error_variance = initial_log_stddev * initial_log_stddev;
    const double guess_variance = std::max(this->log_guesses.variance, min_variance);
    return std::clamp(1 - error_variance / guess_variance, 0.0, 1.0);
}

double output_length_estimator::slope() const noexcept
{
    const double observed = this->ended_log_guesses.variance < min_variance
                                ? 0
                                : this->covariance / this->ended_log_guesses.variance;
    const double weight = this->observation_weight();
    return std::clamp(weight * observed + (1 - weight) * this->initial_slope(), 0.0, 1.0);
}

double output_length_estimator::residual_variance() const noexcept
{
    const double explained =
        this->ended_log_guesses.variance < min_variance
            ? 0
            : this->covariance * this->covariance / this->ended_log_guesses.variance;
    const double observed = std::max(0.0, this->log_outputs.variance - explained);
    const double error_variance = initial_log_stddev * initial_log_stddev;
    const double weight = this->observation_weight();
    return weight * observed +
           (1 - weight) * error_variance * std::max(0.5, this->initial_slope());
}

output_estimate
output_length_estimator::estimate(std::int64_t guessed_tokens) const noexcept
{
    if (guessed_tokens <= 0)
    {
        const bool has_outputs = this->log_outputs.count > 0;
        return {has_outputs ? this->log_outputs.mean : initial_log_output,
                std::max(min_log_stddev, has_outputs
                                             ? std::sqrt(this->log_outputs.variance)
                                             : initial_log_stddev)};
    }
    const double log_guess = std::log(static_cast<double>(guessed_tokens));
    const double usual_log_guess =
        this->log_guesses.count == 0 ? log_guess : this->log_guesses.mean;
    return {usual_log_guess + this->log_errors.mean * this->observation_weight() +
                this->slope() * (log_guess - usual_log_guess),
            std::max(min_log_stddev, std::sqrt(this->residual_variance()))};
}

std::int64_t
output_length_estimator::likely_max_output(std::int64_t guessed_tokens) const noexcept
{
    const output_estimate estimated = this->estimate(guessed_tokens);
    return static_cast<std::int64_t>(
        std::exp(estimated.log_median + estimated.log_stddev));
}

void memory_curve::add(const stream_memory& stream, double tokens_per_second) noexcept
{
    const double output_tokens = static_cast<double>(stream.output_tokens);
    const double max_output = static_cast<double>(stream.max_output_tokens);
    const double survival_now = std::max(1e-9, survival(stream, output_tokens));
    for (std::size_t index = 0; index < seconds_ahead.size(); ++index)
    {
        const double output_then =
            output_tokens + seconds_ahead[index] * tokens_per_second;
        // A stream has ended by the length that its caller declared.
        const double survival_then =
            output_then > max_output
                ? 0
                : std::min(1.0, survival(stream, output_then) / survival_now);
        const double tokens = static_cast<double>(stream.prompt_tokens) + output_then;
        this->mean[index] += survival_then * tokens;
        this->variance[index] += survival_then * (1 - survival_then) * tokens * tokens;
    }
}

void memory_curve::add(const memory_curve& other) noexcept
{
    for (std::size_t index = 0; index < seconds_ahead.size(); ++index)
    {
        this->mean[index] += other.mean[index];
        this->variance[index] += other.variance[index];
    }
}

void memory_curve::subtract(const memory_curve& other) noexcept
{
    for (std::size_t index = 0; index < seconds_ahead.size(); ++index)
    {
        this->mean[index] -= other.mean[index];
        this->variance[index] =
            std::max(0.0, this->variance[index] - other.variance[index]);
    }
}

void memory_curve::scale(double factor) noexcept
{
    for (std::size_t index = 0; index < seconds_ahead.size(); ++index)
    {
        this->mean[index] *= factor;
        this->variance[index] *= factor;
    }
}

double memory_curve::peak(double deviations) const noexcept
{
    double highest = 0;
    for (std::size_t index = 0; index < seconds_ahead.size(); ++index)
    {
        highest = std::max(highest, this->mean[index] +
                                        deviations * std::sqrt(this->variance[index]));
    }
    return highest;
}

} // namespace agateseam

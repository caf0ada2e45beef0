#include <agateseam/memory_curve.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

/// Some twenty streams decide: an entry's last ten seconds or so.
constexpr double newest_weight = 0.05;
constexpr double least_spread = 0.1;
/// Ended streams that weigh as much as what was thought before.
constexpr double believed_before = 10;
/// Fewer guesses than these don't tell how much guesses vary.
constexpr std::uint32_t least_guesses = 8;
/// Logarithm of the output that is expected of a caller without a guess, before any has
/// ended: some 500 tokens.
constexpr double first_log_output = 6.2;
constexpr double smallest_variance = 1e-9;

/// The chance that an output is longer than `tokens`.
double survival(const stream_memory& stream, double tokens) noexcept
{
    if (tokens <= 0)
    {
        return 1;
    }
    const double distance = (std::log(tokens) - stream.log_median) / stream.spread;
    return 0.5 * std::erfc(distance / std::sqrt(2.0));
}

} // namespace

double output_guess::moving_average::take(double value) noexcept
{
    const double weight = std::max(newest_weight, 1.0 / ++this->count);
    const double distance = value - this->mean;
    this->mean += weight * distance;
    this->variance = (1 - weight) * (this->variance + weight * distance * distance);
    return distance;
}

void output_guess::note_guess(std::int64_t guessed) noexcept
{
    if (guessed > 0)
    {
        this->guesses.take(std::log(static_cast<double>(guessed)));
    }
}

void output_guess::note(std::int64_t guessed, std::int64_t made) noexcept
{
    if (made <= 0)
    {
        return;
    }
    const double log_made = std::log(static_cast<double>(made));
    const double from_usual = this->outputs.take(log_made);
    if (guessed <= 0)
    {
        return;
    }
    const double log_guess = std::log(static_cast<double>(guessed));
    this->errors.take(log_made - log_guess);
    const double from_guesses = this->answered.take(log_guess);
    const double weight = std::max(newest_weight, 1.0 / this->answered.count);
    this->covariance =
        (1 - weight) * (this->covariance + weight * from_usual * from_guesses);
}

double output_guess::trust() const noexcept
{
    return this->answered.count / (this->answered.count + believed_before);
}

double output_guess::first_slope() const noexcept
{
    if (this->guesses.count < least_guesses)
    {
        return 1;
    }
    const double wrong = first_spread * first_spread;
    const double varied = std::max(this->guesses.variance, smallest_variance);
    return std::clamp(1 - wrong / varied, 0.0, 1.0);
}

double output_guess::slope() const noexcept
{
    const double seen = this->answered.variance < smallest_variance
                            ? 0
                            : this->covariance / this->answered.variance;
    const double part = this->trust();
    return std::clamp(part * seen + (1 - part) * this->first_slope(), 0.0, 1.0);
}

double output_guess::residual_variance() const noexcept
{
    const double explained =
        this->answered.variance < smallest_variance
            ? 0
            : this->covariance * this->covariance / this->answered.variance;
    const double seen = std::max(0.0, this->outputs.variance - explained);
    const double wrong = first_spread * first_spread;
    const double part = this->trust();
    return part * seen + (1 - part) * wrong * std::max(0.5, this->first_slope());
}

output_expectation output_guess::expect(std::int64_t guessed) const noexcept
{
    if (guessed <= 0)
    {
        const bool known = this->outputs.count > 0;
        return {known ? this->outputs.mean : first_log_output,
                std::max(least_spread,
                         known ? std::sqrt(this->outputs.variance) : first_spread)};
    }
    const double log_guess = std::log(static_cast<double>(guessed));
    const double usual = this->guesses.count == 0 ? log_guess : this->guesses.mean;
    return {usual + this->errors.mean * this->trust() +
                this->slope() * (log_guess - usual),
            std::max(least_spread, std::sqrt(this->residual_variance()))};
}

std::int64_t output_guess::likely_most(std::int64_t guessed) const noexcept
{
    const output_expectation expected = this->expect(guessed);
    return static_cast<std::int64_t>(std::exp(expected.log_median + expected.spread));
}

void memory_curve::add(const stream_memory& stream, double tokens_per_second) noexcept
{
    const double made = static_cast<double>(stream.made);
    const double most = static_cast<double>(stream.most_output);
    const double lives = std::max(1e-9, survival(stream, made));
    for (std::size_t at = 0; at < ahead.size(); ++at)
    {
        const double then = made + ahead[at] * tokens_per_second;
        // Past what was declared the stream has ended.
        const double running =
            then > most ? 0 : std::min(1.0, survival(stream, then) / lives);
        const double tokens = static_cast<double>(stream.prompt) + then;
        this->mean[at] += running * tokens;
        this->variance[at] += running * (1 - running) * tokens * tokens;
    }
}

void memory_curve::add(const memory_curve& other) noexcept
{
    for (std::size_t at = 0; at < ahead.size(); ++at)
    {
        this->mean[at] += other.mean[at];
        this->variance[at] += other.variance[at];
    }
}

void memory_curve::scale(double factor) noexcept
{
    for (std::size_t at = 0; at < ahead.size(); ++at)
    {
        this->mean[at] *= factor;
        this->variance[at] *= factor;
    }
}

double memory_curve::peak(double deviations) const noexcept
{
    double highest = 0;
    for (std::size_t at = 0; at < ahead.size(); ++at)
    {
        highest = std::max(highest,
                           this->mean[at] + deviations * std::sqrt(this->variance[at]));
    }
    return highest;
}

} // namespace agateseam

/// How much memory running streams will take, some seconds ahead.
#pragma once

#include <array>
#include <cstdint>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief What is expected of one output: log-normal.
struct output_expectation
{
    double log_median = 0; ///< Logarithm of the median, in tokens.
    double spread = 0;     ///< Standard deviation of the logarithm.
};

/// \brief Learns how long outputs are against what callers guessed.
///
/// Load pattern: callers' guesses are right at the median and often far off. A guess far
/// from the usual one is mostly a wrong guess, so what is expected lies between the two:
/// taken at its word, a low guess lets too many streams in, and later ones are preempted;
/// a high one keeps places empty. How far between, and how sure, is the regression of the
/// outputs that ended on their guesses; before some have ended, that of outputs and wrong
/// guesses that vary as much as each other.
class output_guess
{
  public:
    /// Spread of the logarithm of a guess around its output, before any has ended: a
    /// factor of 1.6 either way.
    static constexpr double first_spread = 0.5;

    /// \brief Takes the guess of a request that arrives; 0 when its caller made none.
    void note_guess(std::int64_t guessed) noexcept;

    /// \brief Takes an ended stream.
    void note(std::int64_t guessed, std::int64_t made) noexcept;

    [[nodiscard]] output_expectation expect(std::int64_t guessed) const noexcept;

    /// \brief Returns an output that five in six don't exceed.
    [[nodiscard]] std::int64_t likely_most(std::int64_t guessed) const noexcept;

  private:
    /// Mean and variance of the newest values.
    struct moving_average
    {
        double mean = 0;
        double variance = 0;
        std::uint32_t count = 0;

        /// \returns the distance of the value from the mean before.
        double take(double value) noexcept;
    };

    [[nodiscard]] double slope() const noexcept;
    [[nodiscard]] double residual_variance() const noexcept;
    /// How far the ended streams are to be believed, 0 to 1.
    [[nodiscard]] double trust() const noexcept;
    [[nodiscard]] double first_slope() const noexcept;

    moving_average guesses;  ///< Logarithms, of requests that arrived.
    moving_average outputs;  ///< Logarithms, of streams that ended.
    moving_average errors;   ///< log(made / guessed), of streams that ended.
    moving_average answered; ///< Logarithms of the guesses of streams that ended.
    double covariance = 0;   ///< Of guesses and outputs of streams that ended.
};

/// \brief One stream's tokens at a decode server.
struct stream_memory
{
    std::int64_t prompt = 0;
    std::int64_t most_output = 0; ///< As the caller declared.
    double log_median = 0;        ///< Of its output.
    double spread = output_guess::first_spread;
    std::int64_t made = 0; ///< Output so far.
};

/// \brief Expected tokens, and their variance, at fixed times ahead; curves add up.
class memory_curve
{
  public:
    /// Seconds ahead. A stream lasts some seconds; where the curve peaks matters.
    static constexpr std::array<double, 8> ahead{0, 0.4, 0.8, 1.2, 1.8, 2.6, 4.0, 6.0};

    std::array<double, ahead.size()> mean{};
    std::array<double, ahead.size()> variance{};

    /// \brief Adds one stream.
    /// \param tokens_per_second made by one stream.
    void add(const stream_memory& stream, double tokens_per_second) noexcept;
    void add(const memory_curve& other) noexcept;

    /// \brief Makes it that of `factor` times as many streams.
    void scale(double factor) noexcept;

    /// \brief Returns the highest expected memory with `deviations` standard deviations.
    [[nodiscard]] double peak(double deviations) const noexcept;
};

} // namespace agateseam

/// Counters and histograms behind an entry's metrics.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Histogram of durations with fixed buckets.
class duration_histogram
{
  public:
    /// Upper bounds in milliseconds, about a factor of two apart.
    static constexpr std::array<double, 14> bounds{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000, 20'000};

    void add(duration elapsed) noexcept;
    void write(std::string& text, std::string_view name, std::string_view labels) const;

  private:
    std::array<std::uint64_t, bounds.size() + 1> counts{};
    double sum_ms = 0;
};

/// \brief Named counters and histograms, written as Prometheus text.
class entry_counters
{
  public:
    /// \param name the metric with its labels, such as
    /// `agateseam_requests_total{outcome="ok"}`.
    void add(std::string_view name, double amount = 1);
    /// \brief Sets the value of a gauge.
    void set(std::string_view name, double value);
    void observe(std::string_view name, duration elapsed);

    [[nodiscard]] std::string text() const;

  private:
    std::map<std::string, double, std::less<>> counts;
    std::map<std::string, duration_histogram, std::less<>> histograms;
};

} // namespace agateseam

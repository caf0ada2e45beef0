/// Counters and quantiles of a process, and their Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief A monotonic counter. Thread-safe.
class metric_counter
{
  public:
    void add(std::uint64_t amount = 1) noexcept
    {
        this->count.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return this->count.load(std::memory_order_relaxed);
    }

  private:
    std::atomic<std::uint64_t> count{0};
};

/// \brief Estimates quantiles of a stream of values by the extended P-square method.
///
/// \remarks Thread-safe. A value that is added while another thread holds the estimator's
/// lock is part of count and sum but not of the quantiles, so that add() never blocks.
class metric_quantiles
{
  public:
    /// The probabilities of the estimated quantiles.
    static constexpr std::array<double, 5> probabilities{0.5, 0.9, 0.95, 0.99, 0.999};

    metric_quantiles();
    ~metric_quantiles();
    metric_quantiles(const metric_quantiles&) = delete;
    metric_quantiles& operator=(const metric_quantiles&) = delete;

    /// \brief Adds a value.
    void add(double value) noexcept;

    /// \brief Returns the quantiles in the order of `probabilities`; zeros if no value
    /// was added yet.
    [[nodiscard]] std::array<double, probabilities.size()> values() const;

    /// \brief Returns how many values were added.
    [[nodiscard]] std::uint64_t count() const noexcept;

    /// \brief Returns the sum of all values added.
    [[nodiscard]] double sum() const noexcept;

  private:
    struct estimator;

    std::atomic<std::uint64_t> value_count{0};
    std::atomic<double> value_sum{0};
    mutable std::mutex mutex;
    std::unique_ptr<estimator> quantile_estimator;
};

/// \brief How many of a workspace's requests were served within the latency targets.
struct workspace_service_level
{
    std::string workspace;
    std::uint64_t requests = 0;
    std::uint64_t good_requests = 0; ///< Answered completely within both latency targets.

    /// \brief Returns the ratio of good requests; 1 if there were no requests.
    [[nodiscard]] double served_ratio() const noexcept
    {
        return this->requests == 0 ? 1.0
                                   : static_cast<double>(this->good_requests) /
                                         static_cast<double>(this->requests);
    }
};

/// \brief Finds the workspace with the lowest served ratio in the current and the
/// previous counting window. Thread-safe.
class service_level_monitor
{
  public:
    /// The length of a counting window.
    static constexpr std::chrono::seconds window{60};

    /// Workspaces with fewer requests are ignored.
    static constexpr std::uint64_t min_requests = 5;

    /// \brief Counts a finished request that was within the workspace's allowance.
    void add(std::string_view workspace, bool good, time_point now);

    /// \brief Returns the workspace with the lowest served ratio; its name is empty if no
    /// workspace has enough requests.
    [[nodiscard]] workspace_service_level worst(time_point now) const;

  private:
    /// Requests and good requests by workspace.
    using workspace_counts =
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>, std::less<>>;

    void rotate_windows(time_point now);

    mutable std::mutex mutex;
    workspace_counts current;
    workspace_counts previous;
    time_point window_start{};
};

/// \brief Writes metrics in the Prometheus text format.
class metric_writer
{
  public:
    /// \brief Appends a counter.
    /// \param labels for example `code="timeout"`; empty for none.
    void counter(std::string_view name, std::string_view help, std::uint64_t value,
                 std::string_view labels = {});

    /// \brief Appends a gauge.
    void gauge(std::string_view name, std::string_view help, double value,
               std::string_view labels = {});

    /// \brief Appends a summary: quantiles, sum and count.
    void summary(std::string_view name, std::string_view help,
                 const metric_quantiles& source);

    /// \brief Returns the text written so far.
    [[nodiscard]] const std::string& text() const noexcept { return this->output; }

  private:
    void write_header(std::string_view name, std::string_view help,
                      std::string_view type);
    void write_sample(std::string_view name, std::string_view labels, double value);

    std::string output;
    std::string last_name; ///< The metric whose header was written last.
};

/// \brief Escapes the characters of a label value that Prometheus reserves.
[[nodiscard]] std::string escape_label(std::string_view value);

} // namespace agateseam

/// Counters and quantiles of a process, and their text for Prometheus.
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

/// \brief A count that only grows; safe from any thread.
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

/// \brief Quantiles of a stream of values by the extended P-square method.
///
/// \remarks Safe from any thread. A value that arrives while another is being taken in is
/// counted but left out of the quantiles, so that nobody waits.
class metric_quantiles
{
  public:
    /// The shares that are estimated.
    static constexpr std::array<double, 5> shares{0.5, 0.9, 0.95, 0.99, 0.999};

    metric_quantiles();
    ~metric_quantiles();
    metric_quantiles(const metric_quantiles&) = delete;
    metric_quantiles& operator=(const metric_quantiles&) = delete;

    /// \brief Takes in a value.
    void add(double value) noexcept;

    /// \brief Returns the estimates in the order of `shares`; zeros before any value.
    [[nodiscard]] std::array<double, shares.size()> values() const;

    [[nodiscard]] std::uint64_t count() const noexcept;
    [[nodiscard]] double sum() const noexcept;

  private:
    struct estimator;

    std::atomic<std::uint64_t> taken{0};
    std::atomic<double> total{0};
    mutable std::mutex mutex;
    std::unique_ptr<estimator> state;
};

/// \brief How a workspace fared: the share of its requests that were served in time.
struct workspace_service
{
    std::string workspace;
    std::uint64_t asked = 0;
    std::uint64_t good = 0; ///< Answered whole, within both latency targets.

    [[nodiscard]] double share() const noexcept
    {
        return this->asked == 0
                   ? 1.0
                   : static_cast<double>(this->good) / static_cast<double>(this->asked);
    }
};

/// \brief Finds the worst-served workspace of the last minute or two.
class service_watch
{
  public:
    /// How long counts are gathered before they make way for new ones.
    static constexpr std::chrono::seconds window{60};

    /// Requests below which a workspace is not judged.
    static constexpr std::uint64_t least_asked = 5;

    /// \brief Counts the end of a request inside the workspace's allowance.
    void add(std::string_view workspace, bool good, time_point now);

    /// \brief Returns the workspace with the lowest share; an empty name when none can be
    /// judged.
    [[nodiscard]] workspace_service worst(time_point now) const;

  private:
    using counts =
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>, std::less<>>;

    void turn(time_point now);

    mutable std::mutex mutex;
    counts current;
    counts previous;
    time_point begun{};
};

/// \brief Writes metrics as Prometheus reads them.
class metric_writer
{
  public:
    /// \brief Writes a counter.
    /// \param labels such as `code="timeout"`; empty for none.
    void counter(std::string_view name, std::string_view help, std::uint64_t value,
                 std::string_view labels = {});

    /// \brief Writes a gauge.
    void gauge(std::string_view name, std::string_view help, double value,
               std::string_view labels = {});

    /// \brief Writes a summary: quantiles, sum and count.
    void summary(std::string_view name, std::string_view help,
                 const metric_quantiles& source);

    /// \brief Returns what was written.
    [[nodiscard]] const std::string& text() const noexcept { return this->written; }

  private:
    void head(std::string_view name, std::string_view help, std::string_view type);
    void line(std::string_view name, std::string_view labels, double value);

    std::string written;
    std::string last_name;
};

/// \brief Returns a label value with the characters escaped that Prometheus reserves.
[[nodiscard]] std::string escape_label(std::string_view value);

} // namespace agateseam

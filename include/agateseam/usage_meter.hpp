/// Counts the usage of requests as they end.
#pragma once

#include <array>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Sums usage between two flushes. Thread-safe.
///
/// \remarks A request adds its usage once, at its end. The rows are distributed over
/// stripes with a lock each, so that requests rarely contend.
class usage_meter
{
  public:
    /// \brief Adds to the counters of a workspace in a pool.
    void add(std::string_view workspace, std::string_view pool,
             const usage_counters& counters);

    /// \brief Returns and clears the usage added since the last call.
    [[nodiscard]] usage_table take();

  private:
    static constexpr std::size_t stripe_count = 16;

    struct stripe
    {
        std::mutex mutex;
        /// Rows by hash of workspace and pool.
        std::unordered_map<std::uint64_t, std::pair<usage_key, usage_counters>> rows;
    };

    std::array<stripe, stripe_count> stripes;
};

} // namespace agateseam

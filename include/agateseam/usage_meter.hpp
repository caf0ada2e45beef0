/// Counts what requests use, on their path.
#pragma once

#include <array>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Adds up usage between two flushes; safe from any thread.
///
/// \remarks A request adds once, at its end, under a lock that only requests of the same
/// part share.
class usage_meter
{
  public:
    /// \brief Adds to a workspace's counters in a pool.
    void add(std::string_view workspace, std::string_view pool,
             const usage_counters& counters);

    /// \brief Takes what was added since the last call.
    [[nodiscard]] usage_table take();

  private:
    static constexpr std::size_t parts = 16;

    struct part
    {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, std::pair<usage_key, usage_counters>> rows;
    };

    std::array<part, parts> table;
};

} // namespace agateseam

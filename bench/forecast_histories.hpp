/// Generated histories of spending, with what came after them.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include <agateseam/forecast.hpp>

namespace agateseam::bench
{

/// \brief A history and the month that follows it.
struct generated_history
{
    std::vector<hourly_amount> hours; ///< Past and future, in order.
    usage_hour_number now = 0;        ///< Where the past ends.
    calendar_month target;
    double truth = 0; ///< Spent in the target month.
};

/// Kinds of histories.
inline constexpr std::array<std::string_view, 5> history_kinds{"steady", "weekly",
                                                               "growing", "step", "new"};

/// \brief Generates one history.
[[nodiscard]] generated_history generate_history(std::string_view kind,
                                                 std::uint64_t seed);

} // namespace agateseam::bench

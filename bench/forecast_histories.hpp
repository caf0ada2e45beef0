/// Generates histories of hourly spending together with the month that follows them.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include <agateseam/forecast.hpp>

namespace agateseam::bench
{

/// \brief A generated history of spending and the true amount of the following month.
struct generated_history
{
    std::vector<hourly_amount> hours; ///< History and target month, in order of time.
    usage_hour_number now = 0;        ///< First hour that the forecast does not know.
    calendar_month target;
    double true_amount = 0; ///< True amount spent in the target month.
};

/// The kinds of histories that `generate_history` knows.
inline constexpr std::array<std::string_view, 5> history_kinds{"steady", "weekly",
                                                               "growing", "step", "new"};

/// \brief Generates one history of a kind; equal seeds make equal histories.
[[nodiscard]] generated_history generate_history(std::string_view kind,
                                                 std::uint64_t seed);

} // namespace agateseam::bench

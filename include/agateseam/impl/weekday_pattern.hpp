/// How the days of the week differ.
#pragma once

#include <array>
#include <cstdint>
#include <span>

namespace agateseam::impl
{

inline constexpr std::size_t days_per_week = 7;

/// \brief A factor for each day of the week; all 1 when no pattern stands out.
struct weekday_pattern
{
    std::array<double, days_per_week> factors{1, 1, 1, 1, 1, 1, 1};
    bool found = false;

    /// \brief Looks for a pattern by comparing each day with the week around it, so that
    /// steps and trends do no harm.
    /// \param first_day the day of the first value, counted from 1970-01-01.
    [[nodiscard]] static weekday_pattern find(std::span<const double> series,
                                              std::uint64_t first_day);

    /// \brief Returns the factor of a day counted from 1970-01-01.
    [[nodiscard]] double of_day(std::uint64_t day) const noexcept
    {
        return this->factors[day % days_per_week];
    }
};

} // namespace agateseam::impl

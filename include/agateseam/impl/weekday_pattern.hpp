/// Differences between the days of the week in a series of daily amounts.
#pragma once

#include <array>
#include <cstdint>
#include <span>

namespace agateseam::impl
{

inline constexpr std::size_t days_per_week = 7;

/// \brief A factor for each day of the week; all 1 if there is no significant pattern.
struct weekday_pattern
{
    /// Indexed by the number of days since 1970-01-01 modulo 7, so 0 is Thursday.
    std::array<double, days_per_week> factors{1, 1, 1, 1, 1, 1, 1};
    bool found = false; ///< Whether there is a significant pattern.

    /// \brief Detects a pattern by comparing each day with the mean of the seven days
    /// centred on it, so that steps and trends have little influence.
    ///
    /// \param first_day the day of the first value, as days since 1970-01-01.
    [[nodiscard]] static weekday_pattern detect(std::span<const double> series,
                                                std::uint64_t first_day);

    /// \brief Returns the factor of a day, given as days since 1970-01-01.
    [[nodiscard]] double factor_of_day(std::uint64_t day) const noexcept
    {
        return this->factors[day % days_per_week];
    }
};

} // namespace agateseam::impl

/// Usage that one process counted, by hour, until it is written to the platform's store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Hourly usage totals of one process since its start.
///
/// A written record holds the hour's total, not the difference from the previous record.
/// Writing it twice or late therefore changes nothing, and the next write replaces a lost
/// one. Written hours are kept for a while, since a store that is restored from a copy
/// loses what it acknowledged after it.
class usage_account
{
  public:
    /// How long an hour that is over is kept after its last write. Copies of the store
    /// are some seconds old.
    static constexpr std::chrono::seconds written_hour_memory{60};

    /// \brief Adds usage to an hour's total.
    void add(usage_hour_number hour, const usage_key& key,
             const usage_counters& counters);

    /// \brief Returns the hours whose totals changed since they were last marked as
    /// written.
    [[nodiscard]] std::vector<usage_hour_number> changed_hours() const;

    /// \brief Returns an hour's totals; empty if there are none.
    [[nodiscard]] const usage_table& rows(usage_hour_number hour) const;

    /// \brief Marks an hour's totals as written.
    /// \param rows the totals that were written; more may have been added since.
    void mark_written(usage_hour_number hour, const usage_table& rows, time_point now);

    /// \brief Marks all hours as not written.
    void mark_unwritten();

    /// \brief Removes the hours that are over and were completely written
    /// `written_hour_memory` ago.
    /// \param current the current hour.
    void remove_written(usage_hour_number current, time_point now);

  private:
    struct hour_totals
    {
        usage_table rows;
        usage_table written_rows;
        time_point written_at{};
    };

    std::map<usage_hour_number, hour_totals> hours;
};

} // namespace agateseam

/// Usage that one process counted, by hour, until it is written to the platform's store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Hourly usage totals of one process since its start.
///
/// A written record holds the hour's total, not the difference from the previous record.
/// Writing it twice or late therefore changes nothing, and the next write replaces a lost
/// one.
class usage_account
{
  public:
    /// \brief Adds usage to an hour's total.
    void add(usage_hour_number hour, const usage_key& key,
             const usage_counters& counters);

    /// \brief Returns the hours whose totals changed since they were last marked as
    /// written.
    [[nodiscard]] std::vector<usage_hour_number> changed_hours() const;

    /// \brief Returns an hour's totals; empty if there are none.
    [[nodiscard]] const usage_table& rows(usage_hour_number hour) const;

    /// \brief Marks an hour's totals as written. An hour that is over and completely
    /// written is removed.
    /// \param rows the totals that were written; more may have been added since.
    /// \param current the current hour.
    void mark_written(usage_hour_number hour, const usage_table& rows,
                      usage_hour_number current);

  private:
    struct hour_totals
    {
        usage_table rows;
        usage_table written_rows;
    };

    std::map<usage_hour_number, hour_totals> hours;
};

} // namespace agateseam

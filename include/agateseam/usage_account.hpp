/// What one process counted, by hour, until it is written to the platform's store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Totals of one process since its start, by hour.
///
/// A record holds the hour's totals, not what came since the last one: written twice, or
/// late, it says the same, and one that was lost is made up for by the next.
class usage_account
{
  public:
    void add(usage_hour_number hour, const usage_key& key, const usage_counters& counted);

    /// \brief Returns the hours that changed since they were last marked as written.
    [[nodiscard]] std::vector<usage_hour_number> changed() const;

    [[nodiscard]] const usage_table& rows(usage_hour_number hour) const;

    /// \brief Marks an hour's rows as written; the hour is forgotten once it is over.
    /// \param rows as they were written: more may have been added meanwhile.
    void written(usage_hour_number hour, const usage_table& rows,
                 usage_hour_number current);

  private:
    struct account
    {
        usage_table rows;
        usage_table stored;
    };

    std::map<usage_hour_number, account> hours;
};

} // namespace agateseam

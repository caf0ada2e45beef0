#include <agateseam/usage_account.hpp>

namespace agateseam
{

void usage_account::add(usage_hour_number hour, const usage_key& key,
                        const usage_counters& counters)
{
    this->hours[hour].rows[key] += counters;
}

std::vector<usage_hour_number> usage_account::changed_hours() const
{
    std::vector<usage_hour_number> unwritten;
    for (const auto& [hour, totals] : this->hours)
    {
        if (totals.rows != totals.written_rows)
        {
            unwritten.push_back(hour);
        }
    }
    return unwritten;
}

const usage_table& usage_account::rows(usage_hour_number hour) const
{
    static const usage_table no_rows;
    const auto found = this->hours.find(hour);
    return found == this->hours.end() ? no_rows : found->second.rows;
}

void usage_account::mark_written(usage_hour_number hour, const usage_table& rows,
                                 time_point now)
{
    const auto found = this->hours.find(hour);
    if (found != this->hours.end())
    {
        found->second.written_rows = rows;
        found->second.written_at = now;
    }
}

void usage_account::mark_unwritten()
{
    for (auto& [hour, totals] : this->hours)
    {
        totals.written_rows.clear();
    }
}

void usage_account::remove_written(usage_hour_number current, time_point now)
{
    std::erase_if(this->hours,
                  [current, now](const auto& item)
                  {
                      const auto& [hour, totals] = item;
                      return hour < current && totals.rows == totals.written_rows &&
                             now - totals.written_at >= written_hour_memory;
                  });
}

} // namespace agateseam

#include <agateseam/usage_account.hpp>

namespace agateseam
{

void usage_account::add(usage_hour_number hour, const usage_key& key,
                        const usage_counters& counted)
{
    this->hours[hour].rows[key] += counted;
}

std::vector<usage_hour_number> usage_account::changed() const
{
    std::vector<usage_hour_number> found;
    for (const auto& [hour, kept] : this->hours)
    {
        if (kept.rows != kept.stored)
        {
            found.push_back(hour);
        }
    }
    return found;
}

const usage_table& usage_account::rows(usage_hour_number hour) const
{
    static const usage_table none;
    const auto found = this->hours.find(hour);
    return found == this->hours.end() ? none : found->second.rows;
}

void usage_account::written(usage_hour_number hour, const usage_table& rows,
                            usage_hour_number current)
{
    const auto found = this->hours.find(hour);
    if (found == this->hours.end())
    {
        return;
    }
    found->second.stored = rows;
    if (hour < current && found->second.rows == rows)
    {
        this->hours.erase(found);
    }
}

} // namespace agateseam

#include <daemon/attempt_table.hpp>

namespace agateseam
{

bool attempt_table::begin(const attempt_id& id, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    return this->records.emplace(id, attempt_record{false, run_state::unknown, now})
        .second;
}

bool attempt_table::renew(const attempt_id& id, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.ended)
    {
        return false;
    }
    found->second.updated_at = now;
    return true;
}

void attempt_table::end(const attempt_id& id, run_state run, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    attempt_record& record = this->records[id];
    if (!record.ended)
    {
        record = {true, run, now};
    }
}

result<attempt_record> attempt_table::find(const attempt_id& id) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->records.find(id);
    if (found == this->records.end())
    {
        return fail(error_code::not_found, "find attempt", "",
                    "no such attempt is known");
    }
    return found->second;
}

void attempt_table::erase_ended_before(time_point limit)
{
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->records, [&](const auto& item)
                  { return item.second.ended && item.second.updated_at < limit; });
}

} // namespace agateseam

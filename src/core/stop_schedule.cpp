#include <agateseam/stop_schedule.hpp>

namespace agateseam
{

bool stop_schedule::callers_moved(time_point now) const noexcept
{
    return now - this->start >= duration(caller_migration_time);
}

bool stop_schedule::accepts(time_point now, time_point limit,
                            duration expected_time) const noexcept
{
    return this->may_send(now, expected_time) &&
           (limit <= this->end || !this->callers_moved(now));
}

bool stop_schedule::may_send(time_point now, duration expected_time) const noexcept
{
    return now + expected_time < this->end;
}

} // namespace agateseam

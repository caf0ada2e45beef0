#include <agateseam/store_availability.hpp>

#include <algorithm>
#include <utility>

namespace agateseam
{

bool store_availability::record_failure(time_point now)
{
    this->has_failed_since_response = true;
    const bool begins = !this->silent_since;
    this->silent_since = this->silent_since.value_or(now);
    return begins;
}

std::optional<store_silence> store_availability::record_response(time_point now)
{
    const bool responds_again = std::exchange(this->has_failed_since_response, false);
    if (responds_again || !this->last_response)
    {
        this->responding_since = now;
    }
    this->last_response = now;
    return this->end_silence(now);
}

std::optional<store_silence> store_availability::record_report(const store_report& report,
                                                               time_point now)
{
    // Ages are sent instead of times, because the clocks of two entries differ.
    const time_point reported_response = now - report.since_response;
    if (!this->silent_since || reported_response <= *this->silent_since)
    {
        return std::nullopt;
    }
    return this->end_silence(now - report.responding_for);
}

/// \param at when the store responded again; before the silence if it has responded to
/// another entry all the while.
std::optional<store_silence> store_availability::end_silence(time_point at)
{
    if (!this->silent_since)
    {
        return std::nullopt;
    }
    store_silence ended;
    ended.length = std::max(duration::zero(), at - *this->silent_since);
    ended.is_outage = ended.length >= min_outage_time;
    this->silent_since.reset();
    if (ended.is_outage)
    {
        this->settled_after = std::max(this->settled_after, at + settle_time);
    }
    return ended;
}

void store_availability::record_restoration(time_point now)
{
    this->settled_after = now + settle_time;
}

std::optional<store_report> store_availability::report(time_point now) const
{
    if (!this->last_response)
    {
        return std::nullopt;
    }
    return store_report{now - *this->last_response, now - this->responding_since};
}

} // namespace agateseam

#include <agateseam/server_health_tracker.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Weight of the newest observation: the newest ten or so, a few seconds of an entry's
/// traffic, determine an average.
constexpr double newest_weight = 0.1;
/// A server that fails all requests ranks like one with this many more under way.
constexpr double failure_rank_cost = 12;

void update_average(double& average, double value) noexcept
{
    average += newest_weight * (value - average);
}

} // namespace

void server_health_tracker::begin(const std::string& id)
{
    ++this->servers[id].attempts_under_way;
}

void server_health_tracker::end(const std::string& id, server_observation observation,
                                duration elapsed, time_point now)
{
    server_health& health = this->servers[id];
    health.attempts_under_way -= health.attempts_under_way > 0 ? 1 : 0;
    if (observation == server_observation::unreachable)
    {
        update_average(health.failure_share, 1);
        if (health.answered_at > now - elapsed)
        {
            return;
        }
        if (++health.unreachable_in_row >= ejection_threshold)
        {
            health.ejection_time = std::clamp<duration>(health.ejection_time * 2,
                                                        min_ejection, max_ejection);
            health.ejected_until = now + health.ejection_time;
        }
        return;
    }
    health.answered_at = now;
    health.unreachable_in_row = 0;
    health.ejection_time = {};
    health.ejected_until = {};
    if (observation == server_observation::refused)
    {
        health.refusal_backoff = std::clamp<duration>(
            health.refusal_backoff * 2, min_refusal_backoff, max_refusal_backoff);
        health.refusal_backoff_until = now + health.refusal_backoff;
        return;
    }
    health.refusal_backoff = {};
    update_average(health.failure_share,
                   observation == server_observation::failed ? 1 : 0);
    const double elapsed_ms = std::chrono::duration<double, std::milli>(elapsed).count();
    health.latency_ms =
        health.latency_ms == 0
            ? elapsed_ms
            : health.latency_ms + newest_weight * (elapsed_ms - health.latency_ms);
}

void server_health_tracker::set_incarnation(const std::string& id, std::uint64_t born_ms)
{
    if (born_ms == 0)
    {
        return;
    }
    server_health& health = this->servers[id];
    if (health.born_ms != 0 && health.born_ms != born_ms)
    {
        const std::uint32_t attempts = health.attempts_under_way;
        health = {};
        health.attempts_under_way = attempts;
    }
    health.born_ms = born_ms;
}

void server_health_tracker::withdraw(const std::string& id)
{
    server_health& health = this->servers[id];
    health.attempts_under_way -= health.attempts_under_way > 0 ? 1 : 0;
}

bool server_health_tracker::allowed(const std::string& id, time_point now) const
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
    {
        return true;
    }
    if (now < found->second.rest_until)
    {
        return false;
    }
    if (found->second.unreachable_in_row < ejection_threshold)
    {
        return true;
    }
    return now >= found->second.ejected_until && found->second.attempts_under_way == 0;
}

bool server_health_tracker::is_ejected(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found != this->servers.end() &&
           found->second.unreachable_in_row >= ejection_threshold;
}

duration server_health_tracker::refusal_backoff_left(const std::string& id,
                                                     time_point now) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end()
               ? duration::zero()
               : std::max<duration>(found->second.refusal_backoff_until - now,
                                    duration::zero());
}

bool server_health_tracker::record_rest(const std::string& id, duration rest,
                                        time_point now)
{
    server_health& health = this->servers[id];
    const time_point known_end = std::max(health.rest_until, now);
    health.rest_until = std::max(known_end, now + rest);
    health.return_interval = first_return_interval;
    health.next_return_at = {};
    const duration prolongation = health.rest_until - known_end;
    return prolongation > duration::zero() &&
           (known_end == now || prolongation >= min_prolongation);
}

duration server_health_tracker::rest_left(const std::string& id, time_point now) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end()
               ? duration::zero()
               : std::max<duration>(found->second.rest_until - now, duration::zero());
}

duration server_health_tracker::return_delay_left(const std::string& id,
                                                  time_point now) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end()
               ? duration::zero()
               : std::max<duration>(found->second.next_return_at - now, duration::zero());
}

void server_health_tracker::record_choice(const std::string& id, time_point now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end() || found->second.return_interval <= duration::zero())
    {
        return;
    }
    server_health& health = found->second;
    const bool is_over = health.return_interval < min_return_interval ||
                         now > health.rest_until + return_window;
    health.next_return_at = is_over ? time_point{} : now + health.return_interval;
    health.return_interval = is_over ? duration::zero() : health.return_interval / 2;
}

duration server_health_tracker::typical_latency(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end()
               ? duration::zero()
               : std::chrono::duration_cast<duration>(
                     std::chrono::duration<double, std::milli>(found->second.latency_ms));
}

double server_health_tracker::rank(const std::string& id) const
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
    {
        return 0;
    }
    const server_health& health = found->second;
    return health.attempts_under_way + failure_rank_cost * health.failure_share +
           (health.unreachable_in_row > 0 ? 1.0 : 0.0);
}

std::uint32_t server_health_tracker::attempts_under_way(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? 0 : found->second.attempts_under_way;
}

} // namespace agateseam

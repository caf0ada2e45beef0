#include <agateseam/server_judge.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Weight of the newest sign: ten signs decide, a few seconds of an entry's traffic.
constexpr double newest_weight = 0.1;
/// A server that fails all it gets ranks as one with this many more requests.
constexpr double failure_cost = 12;

void blend(double& average, double value) noexcept
{
    average += newest_weight * (value - average);
}

} // namespace

void server_judge::begin(const std::string& id)
{
    ++this->opinions[id].open;
}

void server_judge::end(const std::string& id, server_sign sign, duration took,
                       time_point now)
{
    opinion& about = this->opinions[id];
    about.open -= about.open > 0 ? 1 : 0;
    if (sign == server_sign::unreached)
    {
        blend(about.failure_share, 1);
        if (about.answered_at > now - took)
        {
            return;
        }
        if (++about.unreached_in_row >= strikes)
        {
            about.pause =
                std::clamp<duration>(about.pause * 2, shortest_pause, longest_pause);
            about.shunned_until = now + about.pause;
        }
        return;
    }
    about.answered_at = now;
    about.unreached_in_row = 0;
    about.pause = {};
    about.shunned_until = {};
    if (sign == server_sign::refused)
    {
        about.refusal_pause = std::clamp<duration>(
            about.refusal_pause * 2, first_refusal_pause, longest_refusal_pause);
        about.full_until = now + about.refusal_pause;
        return;
    }
    about.refusal_pause = {};
    blend(about.failure_share, sign == server_sign::failed ? 1 : 0);
    const double took_ms = std::chrono::duration<double, std::milli>(took).count();
    about.latency_ms =
        about.latency_ms == 0
            ? took_ms
            : about.latency_ms + newest_weight * (took_ms - about.latency_ms);
}

bool server_judge::allowed(const std::string& id, time_point now) const
{
    const auto found = this->opinions.find(id);
    if (found == this->opinions.end() || found->second.unreached_in_row < strikes)
    {
        return true;
    }
    return now >= found->second.shunned_until && found->second.open == 0;
}

duration server_judge::full_for(const std::string& id, time_point now) const
{
    const auto found = this->opinions.find(id);
    return found == this->opinions.end()
               ? duration::zero()
               : std::max<duration>(found->second.full_until - now, duration::zero());
}

duration server_judge::usual_time(const std::string& id) const
{
    const auto found = this->opinions.find(id);
    return found == this->opinions.end()
               ? duration::zero()
               : std::chrono::duration_cast<duration>(
                     std::chrono::duration<double, std::milli>(found->second.latency_ms));
}

double server_judge::rank(const std::string& id) const
{
    const auto found = this->opinions.find(id);
    if (found == this->opinions.end())
    {
        return 0;
    }
    const opinion& about = found->second;
    return about.open + failure_cost * about.failure_share +
           (about.unreached_in_row > 0 ? 1.0 : 0.0);
}

std::uint32_t server_judge::open_at(const std::string& id) const
{
    const auto found = this->opinions.find(id);
    return found == this->opinions.end() ? 0 : found->second.open;
}

} // namespace agateseam

#include <agateseam/server_limiter.hpp>

#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include <agateseam/fleet_ledger.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr auto expire_interval = 1s;
constexpr auto new_copy_time = 1s;
/// By how much the start of a copy, as its reports tell it, may vary with their delays.
constexpr auto copy_start_tolerance = 3s;
/// Entries learn of a bound this far apart.
constexpr auto learning_time = 100ms;
/// A digest that is due arrives within this time.
constexpr auto max_digest_delay = 60ms;

double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

std::uint64_t to_milliseconds(duration span) noexcept
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, whole_milliseconds(span)));
}

/// Makes limits at least as strict as a bound.
void tighten(std::optional<bucket_limits>& limits, double per_second, duration burst_time)
{
    const double rate = std::max(per_second, server_limiter::min_per_second);
    const double burst = 1 + rate * to_seconds(burst_time);
    limits = limits ? bucket_limits{std::min(limits->refill_per_second, rate),
                                    std::min(limits->burst, burst)}
                    : bucket_limits{rate, burst};
}

} // namespace

server_limiter::limited_server& server_limiter::find_or_add(name_key server,
                                                            time_point now)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end())
    {
        return found->second;
    }
    limited_server added{.bucket = fleet_bucket({0, 0}, 0, now)};
    added.changed_at = now;
    added.added_at = now;
    return this->servers.emplace(server, added).first->second;
}

void server_limiter::update_bounds(limited_server& server, time_point now)
{
    std::optional<bucket_limits> limits;
    if (server.per_second)
    {
        tighten(limits, *server.per_second, burst_time);
    }
    if (now < server.cold_until)
    {
        tighten(limits, server.cold_per_second, paced_burst_time);
    }
    if (server.pace)
    {
        tighten(limits, *server.pace, paced_burst_time);
    }
    const bool begins = limits && !server.is_bounded;
    server.is_bounded = limits.has_value();
    if (!limits)
    {
        return;
    }
    if (limits->refill_per_second != server.bucket.limits().refill_per_second ||
        limits->burst != server.bucket.limits().burst)
    {
        server.bucket.set_limits(*limits, now);
    }
    if (begins)
    {
        // Requests before this weren't charged, so the level says nothing.
        server.bucket.charge_peer_spending(server.bucket.level(now), now);
        server.bounded_at = now;
    }
}

server_limiter::limited_server* server_limiter::find_bounded(name_key server,
                                                             time_point now)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end())
    {
        return nullptr;
    }
    update_bounds(found->second, now);
    return found->second.is_bounded ? &found->second : nullptr;
}

bool server_limiter::note_limit(limited_server& server, std::optional<double> per_second,
                                time_point answered_at, time_point now)
{
    if (answered_at < server.answered_at)
    {
        return false;
    }
    server.answered_at = answered_at;
    if (server.per_second == per_second)
    {
        return false;
    }
    server.per_second = per_second;
    server.changed_at = now;
    update_bounds(server, now);
    return true;
}

bool server_limiter::note_cold(limited_server& server, double per_second,
                               time_point until, time_point now)
{
    if (until <= server.cold_until)
    {
        return false;
    }
    const bool was_cold = now < server.cold_until;
    server.cold_until = until;
    server.cold_per_second = per_second;
    update_bounds(server, now);
    return !was_cold;
}

bool server_limiter::set_cold(name_key server, double per_second, time_point until,
                              time_point now)
{
    if (!(per_second > 0) || until <= now)
    {
        return false;
    }
    limited_server& state = this->find_or_add(server, now);
    if (until > state.own_cold_until)
    {
        state.own_cold_until = until;
        state.changed_at = now;
    }
    return this->note_cold(state, per_second, until, now);
}

void server_limiter::set_pace(name_key server, std::optional<double> per_second,
                              time_point now)
{
    const auto found = this->servers.find(server);
    if (!per_second && found == this->servers.end())
    {
        return;
    }
    limited_server& state = this->find_or_add(server, now);
    if (state.pace != per_second)
    {
        state.pace = per_second;
        state.changed_at = now;
        update_bounds(state, now);
    }
}

bool server_limiter::is_cold(name_key server, time_point now) const
{
    const auto found = this->servers.find(server);
    return found != this->servers.end() && now < found->second.cold_until;
}

bool server_limiter::is_paced(name_key server, time_point now) const
{
    const auto found = this->servers.find(server);
    return found != this->servers.end() && found->second.is_paced(now);
}

bool server_limiter::record_answer(name_key server, std::optional<double> per_second,
                                   time_point request_sent_at, time_point now)
{
    const auto found = this->servers.find(server);
    if (!per_second && found == this->servers.end())
    {
        return false;
    }
    limited_server& state = this->find_or_add(server, now);
    if (!per_second && state.per_second && request_sent_at < state.answered_at)
    {
        return false;
    }
    state.own_per_second = per_second;
    state.own_answered_at = now;
    return this->note_limit(state, per_second, now, now);
}

std::optional<double> server_limiter::limit(name_key server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? std::nullopt : found->second.per_second;
}

std::size_t server_limiter::entries_ahead(name_key server, const limited_server& state,
                                          const std::set<std::string>& peers) const
{
    const std::uint64_t token =
        server.hash() ^ static_cast<std::uint64_t>(
                            std::llround(state.bucket.net_spent() + state.peer_spending));
    const auto place = [token](const std::string& entry)
    { return XXH3_64bits_withSeed(entry.data(), entry.size(), token); };
    const std::uint64_t own_place = place(this->name);
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(),
                                                  [&](const std::string& entry)
                                                  { return place(entry) < own_place; }));
}

fleet_view server_limiter::heard_view(const std::set<std::string>& peers, fleet_view view,
                                      time_point now) const
{
    const duration interval =
        std::max<duration>(fleet_ledger::base_digest_interval,
                           fleet_ledger::digest_interval_per_entry * view.known_entries);
    const time_point since = now - interval - max_digest_delay;
    const auto heard = std::count_if(peers.begin(), peers.end(),
                                     [&](const std::string& entry)
                                     {
                                         const auto peer = this->peers_heard.find(entry);
                                         return peer != this->peers_heard.end() &&
                                                peer->second.heard_at >= since;
                                     });
    view.reachable_entries =
        std::min(view.reachable_entries, static_cast<std::uint32_t>(heard) + 1);
    return view;
}

duration server_limiter::time_until_send(name_key server,
                                         const std::set<std::string>& peers,
                                         fleet_view view, time_point now, double requests)
{
    limited_server* const state = this->find_bounded(server, now);
    if (state == nullptr)
    {
        return duration::zero();
    }
    view = state->is_paced(now) ? this->heard_view(peers, view, now) : view;
    state->bucket.set_view(view, now);
    const bucket_limits& limits = state->bucket.limits();
    const double turns = static_cast<double>(this->entries_ahead(server, *state, peers));
    const double needed =
        std::min(limits.burst * view.reachable_fraction(),
                 requests + turns * limits.refill_per_second * view.reachable_fraction() *
                                to_seconds(turn_time));
    const double missing = needed - state->bucket.level(now);
    // Rounding may leave the level just below a full bucket.
    constexpr double precision = 1e-6;
    if (missing <= precision)
    {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        missing / (limits.refill_per_second * view.reachable_fraction())));
}

bool server_limiter::try_take(name_key server, const std::set<std::string>& peers,
                              fleet_view view, time_point now, double requests)
{
    limited_server* const state = this->find_bounded(server, now);
    if (state == nullptr)
    {
        return true;
    }
    view = state->is_paced(now) ? this->heard_view(peers, view, now) : view;
    if (this->time_until_send(server, peers, view, now, requests) > duration::zero() ||
        !state->bucket.try_take(requests, view, now))
    {
        return false;
    }
    state->changed_at = now;
    return true;
}

void server_limiter::refund(name_key server, time_point now, double requests)
{
    if (limited_server* const state = this->find_bounded(server, now); state != nullptr)
    {
        state->bucket.credit(requests, now);
        state->changed_at = now;
    }
}

void server_limiter::note_spending(name_key server, limited_server& state,
                                   peer_state& peer, const server_limit_report& report,
                                   time_point now)
{
    const time_point began_at =
        now - std::chrono::milliseconds(static_cast<std::int64_t>(report.copy_age_ms));
    const auto [known, is_new_server] =
        peer.servers.try_emplace(server, peer_spending{report.spent, began_at});
    // A peer that forgot the server counts from 0 again.
    const bool is_first =
        is_new_server || began_at > known->second.began_at + copy_start_tolerance;
    // What was spent before this entry's own copy can't be told.
    const bool is_new = now - state.bounded_at < new_copy_time;
    const bool is_covered = began_at + learning_time >= state.bounded_at;
    const double first_spent = is_covered ? report.spent
                               : is_new
                                   ? 0
                                   : std::min(report.spent, state.bucket.limits().burst);
    const double spent = is_first ? first_spent : report.spent - known->second.spent;
    state.bucket.charge_peer_spending(spent, now);
    state.peer_spending += is_first ? report.spent : spent;
    known->second.spent = report.spent;
    if (is_first)
    {
        known->second.began_at = began_at;
    }
}

std::vector<name_key> server_limiter::apply(const std::string& entry,
                                            std::uint64_t incarnation,
                                            const keyed_map<server_limit_report>& reports,
                                            time_point now)
{
    peer_state& peer = this->peers_heard[entry];
    if (peer.incarnation != incarnation)
    {
        peer = {incarnation, {}, {}};
    }
    peer.heard_at = now;
    std::vector<name_key> cold_servers;
    for (const auto& [server, report] : reports)
    {
        limited_server& state = this->find_or_add(server, now);
        const std::chrono::milliseconds age(
            static_cast<std::int64_t>(report.answer_age_ms));
        const std::optional<double> per_second =
            report.per_second < 0 ? std::nullopt : std::optional(report.per_second);
        this->note_limit(state, per_second, now - age, now);
        const std::chrono::milliseconds cold_time(
            static_cast<std::int64_t>(report.cold_ms));
        if (report.cold_per_second > 0 &&
            this->note_cold(state, report.cold_per_second, now + cold_time, now))
        {
            cold_servers.push_back(server);
        }
        update_bounds(state, now);
        this->note_spending(server, state, peer, report, now);
    }
    return cold_servers;
}

keyed_map<server_limit_report>
server_limiter::make_reports(std::optional<time_point> since, time_point now)
{
    this->expire(now);
    keyed_map<server_limit_report> reports;
    for (auto& [server, state] : this->servers)
    {
        // An entry that got no answer has only its requests to tell.
        const bool has_answer = state.own_answered_at != time_point{};
        const bool is_recent =
            !since || std::max(state.changed_at, state.own_answered_at) >= *since;
        const bool is_cold = now < state.own_cold_until;
        if (is_recent && (has_answer || is_cold || state.bucket.net_spent() != 0))
        {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                has_answer ? now - state.own_answered_at : duration(memory));
            reports[server] = {state.own_per_second.value_or(-1),
                               static_cast<std::uint64_t>(age.count()),
                               state.bucket.net_spent(),
                               state.bucket.level(now),
                               to_milliseconds(now - state.added_at),
                               is_cold ? state.cold_per_second : 0,
                               is_cold ? to_milliseconds(state.own_cold_until - now) : 0};
        }
    }
    return reports;
}

void server_limiter::expire(time_point now)
{
    if (now < this->expire_at)
    {
        return;
    }
    this->expire_at = now + expire_interval;
    for (auto server = this->servers.begin(); server != this->servers.end();)
    {
        const limited_server& state = server->second;
        const duration change_memory = state.per_second ? memory : paced_memory;
        if (state.is_paced(now) || now < state.answered_at + memory ||
            now < state.changed_at + change_memory)
        {
            ++server;
            continue;
        }
        for (auto& [entry, peer] : this->peers_heard)
        {
            peer.servers.erase(server->first);
        }
        server = this->servers.erase(server);
    }
    std::erase_if(this->peers_heard, [now](const auto& peer)
                  { return now - peer.second.heard_at >= memory; });
}

} // namespace agateseam

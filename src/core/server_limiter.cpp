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
/// More than a digest is delayed.
constexpr auto relay_margin = 100ms;
/// A digest that is due arrives within this time.
constexpr auto max_digest_delay = 60ms;
/// While no more of the entries are silent, digests were lost; at least one may be.
constexpr double max_missing_share = 0.1;
/// This many entries share a turn at a paced server. With one at a time, the last of 100
/// entries would wait for 4 s; what these take together is below the bound's margin.
constexpr std::size_t entries_per_turn = 3;
/// An entry that sent a server nothing for this long doesn't count for its turns.
constexpr auto active_time = 1s;
/// An entry that asks for no request for this long loses its place.
constexpr auto want_time = 2s;
/// An entry that leaves its turn unused for this long loses its place, so that a burst
/// doesn't find all entries at the end of their waits.
constexpr auto place_time = 40ms;

/// Up to this many entries for each request a second of a bound, an entry's first request
/// after a pause needs no turn: all of them at once stay below what a bound allows in a
/// second, and they are made up for by the requests after them.
constexpr double max_entries_without_turn = 0.75;
/// First requests go on while the bucket lacks no more than those of this time.
constexpr auto max_advance_time = 250ms;

duration silence_limit(std::uint32_t known_entries)
{
    return std::max<duration>(fleet_ledger::base_digest_interval,
                              fleet_ledger::digest_interval_per_entry * known_entries) +
           max_digest_delay;
}

/// Rounding may leave the level just below a full bucket.
constexpr double precision = 1e-6;

double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

duration to_duration(double seconds) noexcept
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
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
                                          const std::set<std::string>& peers,
                                          time_point now) const
{
    const std::uint64_t token =
        server.hash() ^ static_cast<std::uint64_t>(
                            std::llround(state.bucket.net_spent() + state.peer_spending));
    const auto place = [token](const std::string& entry)
    { return XXH3_64bits_withSeed(entry.data(), entry.size(), token); };
    const std::uint64_t own_place = place(this->name);
    // Entries that all begin to send wait for each other; one that sends already waits
    // only for those that do so too, or a few of many entries would use little.
    const bool only_active = state.is_paced(now) && now < state.sent_at + active_time;
    const auto is_ahead = [&](const std::string& entry)
    {
        return place(entry) < own_place &&
               (!only_active || this->is_active(entry, server, now));
    };
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), is_ahead));
}

bool server_limiter::is_active(const std::string& entry, name_key server,
                               time_point now) const
{
    const auto peer = this->peers_heard.find(entry);
    if (peer == this->peers_heard.end())
    {
        return false;
    }
    const auto spending = peer->second.servers.find(server);
    return spending != peer->second.servers.end() &&
           now < spending->second.rose_at + active_time;
}

duration server_limiter::time_waited(limited_server& state, bool has_tokens,
                                     duration turn, time_point now)
{
    const bool keeps_place = has_tokens && now < state.wanted_at + want_time &&
                             now < state.waits_since + turn + place_time;
    state.wanted_at = now;
    if (!keeps_place)
    {
        state.waits_since = now;
    }
    return now - state.waits_since;
}

duration server_limiter::time_until_turn(limited_server& state, std::size_t entries,
                                         double requests, double fraction, time_point now)
{
    const double rate = state.bucket.limits().refill_per_second * fraction;
    const double max_level = state.bucket.limits().burst * fraction;
    const double level = state.bucket.level(now) + precision;
    const double needed = std::min(requests, max_level);
    const duration turn = turn_time * (entries / entries_per_turn);
    if (now < state.sent_at + active_time)
    {
        // A full bucket shows no turns that pass.
        const duration waited = time_waited(state, level >= max_level, turn, now);
        return to_duration((needed - level) / rate) + turn - waited;
    }
    // Entries that begin to send wait for each other whatever the bucket holds, or all
    // would send at once to a server that got nothing for a moment.
    const duration waited = time_waited(state, level >= needed, turn, now);
    return std::max(to_duration((needed - level) / rate), duration::zero()) + turn -
           waited;
}

fleet_view server_limiter::heard_view(const std::set<std::string>& peers, fleet_view view,
                                      time_point now) const
{
    const time_point since = now - silence_limit(view.known_entries);
    const auto heard = std::count_if(peers.begin(), peers.end(),
                                     [&](const std::string& entry)
                                     {
                                         const auto peer = this->peers_heard.find(entry);
                                         return peer != this->peers_heard.end() &&
                                                peer->second.heard_at >= since;
                                     });
    const double missing = static_cast<double>(peers.size()) - static_cast<double>(heard);
    const double max_missing =
        std::max(1.0, max_missing_share * static_cast<double>(peers.size()));
    if (peers.empty() || (heard > 0 && missing <= max_missing))
    {
        return view;
    }
    view.reachable_entries =
        std::min(view.reachable_entries, static_cast<std::uint32_t>(heard) + 1);
    return view;
}

bool server_limiter::needs_no_turn(limited_server& state, const fleet_view& view,
                                   double requests, time_point now)
{
    const double rate = state.bucket.limits().refill_per_second;
    return !state.per_second && now >= state.sent_at + active_time &&
           view.known_entries * requests <= max_entries_without_turn * rate &&
           state.bucket.level(now) >= -rate * to_seconds(max_advance_time);
}

void server_limiter::note_sent(limited_server& state, time_point now)
{
    state.changed_at = now;
    state.sent_at = now;
    state.waits_since = now;
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
    const std::size_t ahead = this->entries_ahead(server, *state, peers, now);
    if (state->is_paced(now))
    {
        view = this->heard_view(peers, view, now);
        state->bucket.set_view(view, now);
        if (needs_no_turn(*state, view, requests, now))
        {
            return duration::zero();
        }
        return std::max(
            duration::zero(),
            time_until_turn(*state, ahead, requests, view.reachable_fraction(), now));
    }
    state->bucket.set_view(view, now);
    const bucket_limits& limits = state->bucket.limits();
    const double rate = limits.refill_per_second * view.reachable_fraction();
    const double needed =
        std::min(limits.burst * view.reachable_fraction(),
                 requests + static_cast<double>(ahead) * rate * to_seconds(turn_time));
    const double missing = needed - state->bucket.level(now);
    return missing <= precision ? duration::zero() : to_duration(missing / rate);
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
    state->bucket.set_view(view, now);
    if (state->is_paced(now) && needs_no_turn(*state, view, requests, now))
    {
        const double level = state->bucket.level(now);
        state->bucket.charge_peer_spending(std::max(0.0, level - requests), now);
        state->bucket.take(requests, now);
        note_sent(*state, now);
        return true;
    }
    // Most calls of a busy fleet end here, before the entries are put in order.
    if (state->bucket.level(now) <= 0)
    {
        state->wanted_at = now;
        state->waits_since = now;
        return false;
    }
    if (this->time_until_send(server, peers, view, now, requests) > duration::zero())
    {
        return false;
    }
    const double level = state->bucket.level(now);
    if (state->is_paced(now) && now >= state->sent_at + active_time && level > requests)
    {
        // What the bucket holds is meant for pauses between requests. After a longer one,
        // each part of a fleet that has just been cut would send all of it.
        state->bucket.charge_peer_spending(level - requests, now);
    }
    if (!state->bucket.try_take(requests, view, now))
    {
        return false;
    }
    note_sent(*state, now);
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
    const auto [found, is_new_server] =
        peer.servers.try_emplace(server, peer_spending{report.spent, began_at, {}});
    peer_spending& known = found->second;
    // A peer that forgot the server counts from 0 again.
    const bool is_first =
        is_new_server || began_at > known.began_at + copy_start_tolerance;
    // What was spent before this entry's own copy can't be told.
    const bool is_new = now - state.bounded_at < new_copy_time;
    const bool is_covered = began_at + learning_time >= state.bounded_at;
    const double first_spent = is_covered ? report.spent
                               : is_new
                                   ? 0
                                   : std::min(report.spent, state.bucket.limits().burst);
    const double spent = is_first ? first_spent : report.spent - known.spent;
    state.bucket.charge_peer_spending(spent, now);
    // The overage is counted in single seconds, so a longer pause serves nothing. After a
    // fleet was cut, totals of a long time arrive at once.
    const double lowest = -state.bucket.limits().refill_per_second;
    const double level = state.bucket.level(now);
    if (state.is_paced(now) && !state.per_second && level < lowest)
    {
        state.bucket.charge_peer_spending(level - lowest, now);
    }
    state.peer_spending += is_first ? report.spent : spent;
    if (spent > 0)
    {
        known.rose_at = now;
    }
    known.spent = report.spent;
    if (is_first)
    {
        known.began_at = began_at;
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
        // Passed on, as those who learned it from the server may have restarted. What was
        // heard is shortened, or delays would prolong it with each report.
        const time_point cold_until =
            std::max(state.own_cold_until, state.cold_until - relay_margin);
        const bool is_cold = now < cold_until;
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
                               is_cold ? to_milliseconds(cold_until - now) : 0};
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

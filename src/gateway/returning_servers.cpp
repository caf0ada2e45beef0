#include <gateway/returning_servers.hpp>

#include <algorithm>

#include <gateway/entry_state.hpp>

namespace agateseam
{

namespace
{

double to_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

bool decodes(const backend_server& server) noexcept
{
    return server.stage == engine_stage::decode || server.stage == engine_stage::both;
}

/// Tells whether a return follows a failure. Slots and memory bound what is sent to a
/// decode server at once, and its places are the scarce ones, so only a failure is a
/// reason to fill it slowly.
bool is_failure(return_cause cause) noexcept
{
    return cause == return_cause::crashed || cause == return_cause::recovered;
}

/// Returns the rate of a server that takes so many requests at once; 0 when unknown.
double rate_of(std::uint32_t slots, duration typical_time) noexcept
{
    return typical_time > duration::zero() ? slots / to_seconds(typical_time) : 0;
}

} // namespace

returning_servers::returning_servers(entry_state& entry)
    : state(&entry)
{
}

void returning_servers::note_listing(time_point now)
{
    for (const auto& [service, servers] : *this->state->backends)
    {
        for (const auto& server : servers)
        {
            const bool is_start = this->note_server(server, now);
            known_server& known = this->known_servers[server->id];
            const bool is_newly_cold = this->apply_cold(known, now);
            if (is_start)
            {
                this->begin_return(known, return_cause::started, now);
            }
            if (is_newly_cold)
            {
                this->begin_return(known, return_cause::cold, now);
            }
        }
    }
    this->has_first_list |= this->state->routing != nullptr;
    for (auto known = this->known_servers.begin(); known != this->known_servers.end();)
    {
        known = now - known->second.last_listed < listing_memory
                    ? std::next(known)
                    : this->known_servers.erase(known);
    }
}

bool returning_servers::note_server(const std::shared_ptr<const backend_server>& server,
                                    time_point now)
{
    const auto [position, is_new] = this->known_servers.try_emplace(server->id);
    known_server& known = position->second;
    const bool is_restart =
        !is_new && server->born_ms > known.server->born_ms && known.server->born_ms != 0;
    const bool is_start = this->has_first_list && (is_new || is_restart);
    // The same statement may be listed again long after it was made.
    const bool is_new_statement =
        is_new || is_restart || server->cold_remaining != known.stated_cold;
    duration cold_time =
        is_new_statement ? duration(server->cold_remaining) : duration::zero();
    if (const service_properties* service = this->service_of(*server);
        is_start && service != nullptr)
    {
        cold_time = std::max<duration>(cold_time, service->cold_start);
    }
    known.cold_until = std::max(known.cold_until, now + cold_time);
    known.stated_cold = server->cold_remaining;
    known.server = server;
    known.last_listed = now;
    return is_start;
}

void returning_servers::record_cold(const backend_server& server,
                                    std::chrono::milliseconds remaining, time_point now)
{
    const auto found = this->known_servers.find(server.id);
    if (remaining <= std::chrono::milliseconds(0) || found == this->known_servers.end() ||
        found->second.server->born_ms != server.born_ms)
    {
        return;
    }
    known_server& known = found->second;
    known.cold_until = std::max(known.cold_until, now + remaining);
    if (this->apply_cold(known, now))
    {
        this->begin_return(known, return_cause::cold, now);
    }
}

void returning_servers::note_cold_reports(const std::vector<name_key>& cold_servers,
                                          time_point now)
{
    for (const name_key key : cold_servers)
    {
        const auto found = this->known_servers.find(key);
        if (found != this->known_servers.end())
        {
            this->begin_return(found->second, return_cause::cold, now);
        }
    }
}

void returning_servers::begin_domain_return(name_key domain, time_point now)
{
    for (backend_server& server : this->state->directory.all())
    {
        if (!(name_key(server.failure_domain) == domain))
        {
            continue;
        }
        known_server& known = this->known_servers[server.id];
        if (!known.server)
        {
            known.server = std::make_shared<const backend_server>(std::move(server));
        }
        known.last_listed = now;
        if (const service_properties* service = this->service_of(*known.server))
        {
            known.cold_until =
                std::max(known.cold_until, now + duration(service->cold_start));
        }
        this->apply_cold(known, now);
        this->begin_return(known, return_cause::taken_back, now);
    }
}

bool returning_servers::apply_cold(known_server& known, time_point now)
{
    const service_properties* service = this->service_of(*known.server);
    if (service == nullptr ||
        !this->state->limiter.set_cold(known.server->id, service->cold_per_second,
                                       known.cold_until, now))
    {
        return false;
    }
    this->state->digest_due.notify();
    log_line(log_level::info, "server is cold",
             {{"server", known.server->id},
              {"service", known.server->service},
              {"cold_ms", whole_milliseconds(known.cold_until - now)},
              {"per_second", service->cold_per_second}});
    return true;
}

void returning_servers::begin_return(known_server& known, return_cause cause,
                                     time_point now)
{
    const backend_server& server = *known.server;
    if (!this->state->settings.pace_servers)
    {
        return;
    }
    if (decodes(server) && !is_failure(cause))
    {
        // A crash soon after this is a failure that begins a return.
        known.returned_at = now;
        return;
    }
    if (this->pacer.begin_return(server.id, cause, this->capacity(server, now),
                                 this->peers_latency(server), now))
    {
        this->state->digest_due.notify();
    }
    this->update(now);
}

void returning_servers::end_attempt(const std::string& id, server_observation observation,
                                    duration elapsed, time_point now,
                                    bool is_servers_doing)
{
    const bool was_ejected =
        this->state->settings.pace_servers && this->state->health.is_ejected(id);
    this->state->health.end(id, observation, elapsed, now);
    if (!this->state->settings.pace_servers || !is_servers_doing)
    {
        return;
    }
    const auto found = this->known_servers.find(id);
    if (found == this->known_servers.end())
    {
        return;
    }
    if (was_ejected && observation != server_observation::unreachable)
    {
        this->begin_return(found->second, return_cause::recovered, now);
    }
    const bool is_returning = this->pacer.pace(id, now).has_value();
    this->pacer.record_answer(id, observation, elapsed,
                              is_returning ? this->peers_latency(*found->second.server)
                                           : duration::zero(),
                              now);
    this->update(now);
}

void returning_servers::record_crash(const backend_server& server, time_point now)
{
    const auto found = this->known_servers.find(server.id);
    if (found != this->known_servers.end() && found->second.returned_at != time_point{} &&
        now - found->second.returned_at < server_pacer::max_return_time)
    {
        this->begin_return(found->second, return_cause::crashed, now);
    }
}

void returning_servers::update(time_point now)
{
    if (!this->state->settings.pace_servers)
    {
        return;
    }
    const std::vector<pace_step> steps = this->pacer.take_steps(now);
    for (const pace_step& step : steps)
    {
        this->state->limiter.set_pace(step.server, step.pace, now);
        const auto found = this->known_servers.find(step.server);
        if (step.is_first && found != this->known_servers.end())
        {
            found->second.returned_at = now;
        }
        this->log_step(step);
    }
    if (!steps.empty())
    {
        this->state->counters.set("agateseam_servers_returning",
                                  static_cast<double>(this->pacer.returning_count()));
    }
}

void returning_servers::log_step(const pace_step& step) const
{
    const auto found = this->known_servers.find(step.server);
    const std::string id = found == this->known_servers.end() ? to_hex(step.server)
                                                              : found->second.server->id;
    if (step.is_first)
    {
        this->state->counters.add("agateseam_server_returns_total{cause=\"" +
                                  std::string(to_string(step.cause)) + "\"}");
        log_line(log_level::info, "server returns",
                 {{"server", id},
                  {"cause", to_string(step.cause)},
                  {"pace", step.pace.value_or(0)}});
        return;
    }
    log_line(log_level::info, step.pace ? "server pace" : "server at full pace",
             {{"server", id},
              {"pace", step.pace.value_or(0)},
              {"good", static_cast<std::int64_t>(step.answers.good)},
              {"slow", static_cast<std::int64_t>(step.answers.slow)},
              {"bad", static_cast<std::int64_t>(step.answers.bad)}});
}

void returning_servers::apply(const std::string& entry, std::uint64_t incarnation,
                              const keyed_map<server_return_report>& reports,
                              time_point now)
{
    if (this->state->settings.pace_servers)
    {
        this->pacer.apply(entry, incarnation, reports, now);
        this->update(now);
    }
}

keyed_map<server_return_report>
returning_servers::make_reports(std::optional<time_point> since, time_point now)
{
    return this->state->settings.pace_servers ? this->pacer.make_reports(since, now)
                                              : keyed_map<server_return_report>{};
}

const service_properties*
returning_servers::service_of(const backend_server& server) const
{
    return this->state->routing ? this->state->routing->service(server.service) : nullptr;
}

/// Returns the median of the typical latencies of the other servers that run the same
/// stage of the service; zero when none is known.
duration returning_servers::peers_latency(const backend_server& server) const
{
    std::vector<duration> latencies;
    for (const auto& peer : this->state->servers_of(server.service))
    {
        const duration latency = this->state->health.typical_latency(peer->id);
        if (peer->id != server.id && peer->stage == server.stage &&
            latency > duration::zero())
        {
            latencies.push_back(latency);
        }
    }
    if (latencies.empty())
    {
        return duration::zero();
    }
    const auto middle =
        latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

/// Returns the requests a second that a server handles at full load, or while it is cold;
/// 0 when unknown.
double returning_servers::capacity(const backend_server& server, time_point now) const
{
    const service_properties* service = this->service_of(server);
    double rate = 0;
    if (server.stage == engine_stage::prefill)
    {
        rate = rate_of(1, this->peers_latency(server));
    }
    else if (service != nullptr && service->engine)
    {
        // The latency of a decode server ends with its answer's head.
        rate =
            rate_of(service->engine->slots,
                    this->state->engines(server.service).latency.typical_stream_time());
    }
    else
    {
        rate = rate_of(server.slots, this->peers_latency(server));
    }
    const bool is_cold = service != nullptr && service->cold_per_second > 0 &&
                         this->state->limiter.is_cold(server.id, now);
    return !is_cold    ? rate
           : rate <= 0 ? service->cold_per_second
                       : std::min(rate, service->cold_per_second);
}

} // namespace agateseam

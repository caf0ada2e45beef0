#include <gateway/entry_state.hpp>

#include <algorithm>

namespace agateseam
{

entry_state::entry_state(event_loop& entry_loop, const gateway_settings& entry_settings,
                         std::uint64_t entry_incarnation)
    : loop(&entry_loop)
    , settings(entry_settings)
    , incarnation(entry_incarnation)
    , backends(nullptr)
    , ledger(entry_settings.vm, entry_incarnation, entry_settings.ledger, boot_now())
    , limiter(entry_settings.vm)
    , returning(*this)
    , quarantine(boot_now())
    , pool(entry_loop, upstream_options{})
    , digest_due(entry_loop)
    , random(entry_incarnation)
{
}

engine_service& entry_state::engines(const std::string& service)
{
    auto& known = this->engine_services[service];
    if (!known)
    {
        known = std::make_unique<engine_service>(*this->loop);
    }
    return *known;
}

const std::vector<std::shared_ptr<const backend_server>>&
entry_state::servers_of(const std::string& service) const
{
    static const std::vector<std::shared_ptr<const backend_server>> none;
    if (!this->backends)
    {
        return none;
    }
    const auto found = this->backends->find(service);
    return found == this->backends->end() ? none : found->second;
}

bool entry_state::accepts_work(const backend_server& server) const
{
    return this->directory.may_serve(server.id) &&
           !this->directory.said_leaving(server) && !this->is_evacuated(server) &&
           this->health.rest_left(server.id, boot_now()) <= duration::zero();
}

bool entry_state::is_evacuated(const backend_server& server) const
{
    return this->follows_evacuations() &&
           this->evacuated_domains.contains(server.failure_domain);
}

std::string_view entry_state::refusal_reason(const backend_server& server) const
{
    return this->is_evacuated(server) ? "failure domain evacuated" : "accepts no work";
}

duration entry_state::limit_wait(const std::string& id, time_point now)
{
    return this->is_limited(id) || this->is_paced(id, now)
               ? this->limiter.time_until_send(id, this->ledger.reachable_peers(now),
                                               this->ledger.view(now), now)
               : duration::zero();
}

duration entry_state::own_limit_wait(const std::string& id, time_point now)
{
    return this->is_limited(id) ? this->limit_wait(id, now) : duration::zero();
}

duration entry_state::pace_wait(const std::string& id, time_point now)
{
    return this->is_paced(id, now) && !this->is_limited(id) ? this->limit_wait(id, now)
                                                            : duration::zero();
}

bool entry_state::try_begin_send(const backend_server& server)
{
    return this->accepts_work(server) && this->try_take_sends(server.id);
}

bool entry_state::try_take_sends(const std::string& id)
{
    const time_point now = boot_now();
    if (!this->is_limited(id) && !this->is_paced(id, now))
    {
        return true;
    }
    if (!this->limiter.try_take(id, this->ledger.reachable_peers(now),
                                this->ledger.view(now), now))
    {
        return false;
    }
    this->digest_due.notify();
    return true;
}

std::optional<duration> entry_state::time_all_busy(const std::string& service,
                                                   const region_filter& region,
                                                   time_point now)
{
    std::optional<duration> shortest;
    for (const auto& server : this->servers_of(service))
    {
        if (server->stage == engine_stage::prefill || !region.allows(*server))
        {
            continue;
        }
        const duration wait = std::max(this->health.rest_left(server->id, now),
                                       this->own_limit_wait(server->id, now));
        if (wait <= duration::zero())
        {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

std::shared_ptr<const backends_by_service>
entry_state::without_evacuated(std::shared_ptr<const backends_by_service> listed) const
{
    if (!this->follows_evacuations() || this->evacuated_domains.evacuated().empty())
    {
        return listed;
    }
    auto remaining = std::make_shared<backends_by_service>(*listed);
    for (auto& [service, servers] : *remaining)
    {
        std::erase_if(servers,
                      [this](const auto& server) { return this->is_evacuated(*server); });
    }
    return remaining;
}

void entry_state::publish_servers()
{
    if (!this->servers_known ||
        (this->follows_evacuations() && !this->evacuated_domains.is_known()))
    {
        return;
    }
    const auto listed = this->directory.usable();
    this->backends = this->without_evacuated(listed);
    for (const auto& [service, servers] : *listed)
    {
        for (const auto& server : servers)
        {
            this->health.set_incarnation(server->id, server->born_ms);
        }
    }
    // A stream may have begun at a server that has been evacuated since.
    for (const auto& [service, servers] : *listed)
    {
        std::set<name_key> listed_versions;
        for (const auto& server : servers)
        {
            listed_versions.insert(server->version_key);
        }
        this->versions.set_listed(service, std::move(listed_versions), boot_now());
    }
    this->returning.note_listing(boot_now());
    if (!this->routing)
    {
        return;
    }
    for (const service_properties& service : this->routing->services())
    {
        if (service.engine)
        {
            engine_service& known = this->engines(service.name);
            known.placement.set_properties(*service.engine);
            known.placement.set_servers(this->servers_of(service.name));
            std::map<name_key, int> counts;
            known.spare_versions.clear();
            for (const auto& server : known.placement.decode_servers())
            {
                if (++counts[server->version_key] > 1)
                {
                    known.spare_versions.insert(server->version_key);
                }
            }
            known.capacity_changed.notify();
        }
    }
}

std::shared_ptr<const backend_server> entry_state::server(const std::string& service,
                                                          const std::string& id) const
{
    for (const auto& known : this->servers_of(service))
    {
        if (known->id == id)
        {
            return known;
        }
    }
    return nullptr;
}

} // namespace agateseam

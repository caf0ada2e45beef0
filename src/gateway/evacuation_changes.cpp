#include <gateway/evacuation_changes.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

std::int64_t count_servers(const std::vector<backend_server>& servers, name_key domain)
{
    return std::count_if(servers.begin(), servers.end(),
                         [domain](const backend_server& server)
                         { return name_key(server.failure_domain) == domain; });
}

/// Returns the name of a domain that another entry named by its key; the key if neither
/// the settings nor the servers have it.
std::string name_of(const entry_state& state, const std::vector<backend_server>& servers,
                    const evacuation_change& change)
{
    if (!change.name.empty())
    {
        return change.name;
    }
    for (const auto& [domain, region] : state.settings.regions)
    {
        if (name_key(domain) == change.domain)
        {
            return domain;
        }
    }
    for (const backend_server& server : servers)
    {
        if (name_key(server.failure_domain) == change.domain)
        {
            return server.failure_domain;
        }
    }
    return to_hex(change.domain);
}

bool is_in_settings(const entry_state& state, name_key domain)
{
    return std::any_of(state.settings.regions.begin(), state.settings.regions.end(),
                       [domain](const auto& item)
                       { return name_key(item.first) == domain; });
}

} // namespace

void log_unknown_evacuations(const entry_state& state, const evacuation_changes& changes)
{
    if (!state.servers_known)
    {
        return;
    }
    const auto servers = state.directory.all();
    for (const evacuation_change& change : changes)
    {
        if (change.evacuated && !is_in_settings(state, change.domain) &&
            count_servers(servers, change.domain) == 0)
        {
            log_line(log_level::error, "unknown failure domain evacuated",
                     {{"domain", name_of(state, servers, change)}});
        }
    }
}

void apply_evacuation_changes(entry_state& state, const evacuation_changes& changes,
                              bool was_known, std::string_view source)
{
    const bool becomes_known = !was_known && state.evacuated_domains.is_known();
    if (changes.empty() && !becomes_known)
    {
        return;
    }
    state.publish_servers();
    state.digest_due.notify();
    const auto servers = state.directory.all();
    for (const evacuation_change& change : changes)
    {
        state.counters.add("agateseam_evacuation_changes_total");
        log_line(log_level::warning,
                 change.evacuated ? "failure domain evacuated"
                                  : "failure domain taken back",
                 {{"domain", name_of(state, servers, change)},
                  {"servers", count_servers(servers, change.domain)},
                  {"source", source}});
    }
    log_unknown_evacuations(state, changes);
    state.counters.set("agateseam_evacuated_domains",
                       static_cast<double>(state.evacuated_domains.evacuated().size()));
}

} // namespace agateseam

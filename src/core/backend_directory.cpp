#include <agateseam/backend_directory.hpp>

#include <algorithm>
#include <set>

namespace agateseam
{

void backend_directory::put(backend_server server)
{
    server_record& record = this->records[server.id];
    this->departures.erase(server.id);
    record.server = std::make_shared<const backend_server>(std::move(server));
    record.kept_until = {};
    record.withheld_until = {};
}

/// Adds or replaces a server that a list names which may be older than what is known.
void backend_directory::put_from_copy(backend_server server, time_point now)
{
    time_point withheld_until{};
    const auto known = this->records.find(server.id);
    const auto departed = this->departures.find(server.id);
    if (known != this->records.end() && server.born_ms != 0 &&
        server.born_ms < known->second.server->born_ms)
    {
        return; // The copy is older than the server's restart.
    }
    if (known != this->records.end() && known->second.server->born_ms == server.born_ms)
    {
        server.leaving |= known->second.server->leaving;
        withheld_until = known->second.withheld_until;
    }
    else if (departed != this->departures.end() &&
             server.born_ms <= departed->second.born_ms)
    {
        withheld_until = now + outage_grace;
    }
    const std::string id = server.id;
    this->put(std::move(server));
    this->records[id].withheld_until = withheld_until;
}

void backend_directory::note_departure(const backend_server& server, time_point now)
{
    this->departures[server.id] = {server.born_ms, now};
}

void backend_directory::remove(std::string_view id, bool after_outage, time_point now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end() &&
        !this->keep_after_outage(found->second, after_outage, now))
    {
        this->note_departure(*found->second.server, now);
        this->records.erase(found);
    }
}

/// Tells whether a server that is missing from the list is kept for now; sets how long.
bool backend_directory::keep_after_outage(server_record& record, bool after_outage,
                                          time_point now) const
{
    if (!after_outage || record.server->leaving ||
        record.withheld_until != time_point{} || this->said_leaving(*record.server))
    {
        return false;
    }
    if (record.kept_until == time_point{})
    {
        record.kept_until = now + outage_grace;
    }
    return true;
}

void backend_directory::replace(std::vector<backend_server> servers, bool after_outage,
                                time_point now)
{
    std::set<std::string, std::less<>> listed;
    for (backend_server& server : servers)
    {
        listed.insert(server.id);
        if (after_outage)
        {
            this->put_from_copy(std::move(server), now);
            continue;
        }
        this->put(std::move(server));
    }
    for (auto record = this->records.begin(); record != this->records.end();)
    {
        if (listed.contains(record->first) ||
            this->keep_after_outage(record->second, after_outage, now))
        {
            ++record;
            continue;
        }
        this->note_departure(*record->second.server, now);
        record = this->records.erase(record);
    }
}

bool backend_directory::record_leaving(const backend_server& server, time_point now)
{
    if (this->said_leaving(server))
    {
        return false;
    }
    this->leaving_words[server.id] = {server.born_ms, now};
    return true;
}

bool backend_directory::said_leaving(const backend_server& server) const
{
    const auto found = this->leaving_words.find(server.id);
    return found != this->leaving_words.end() && server.born_ms <= found->second.born_ms;
}

bool backend_directory::may_serve(std::string_view id) const
{
    const auto found = this->records.find(id);
    return found != this->records.end() && !found->second.server->leaving;
}

bool backend_directory::expire(time_point now)
{
    for (auto& [id, word] : this->leaving_words)
    {
        word.last_listed = this->records.contains(id) ? now : word.last_listed;
    }
    std::erase_if(this->leaving_words, [now](const auto& item)
                  { return item.second.last_listed + leaving_memory <= now; });
    const auto is_over = [now](time_point until)
    { return until != time_point{} && until <= now; };
    bool changed = false;
    for (auto record = this->records.begin(); record != this->records.end();)
    {
        if (is_over(record->second.kept_until))
        {
            this->note_departure(*record->second.server, now);
            record = this->records.erase(record);
            changed = true;
            continue;
        }
        if (is_over(record->second.withheld_until))
        {
            record->second.withheld_until = {};
            changed = true;
        }
        ++record;
    }
    std::erase_if(this->departures, [now](const auto& item)
                  { return now - item.second.at >= departure_memory; });
    return changed;
}

time_point backend_directory::next_expiry() const
{
    time_point next = time_point::max();
    for (const auto& [id, record] : this->records)
    {
        for (const time_point until : {record.kept_until, record.withheld_until})
        {
            next = until == time_point{} ? next : std::min(next, until);
        }
    }
    return next;
}

std::shared_ptr<const backends_by_service> backend_directory::usable() const
{
    auto list = std::make_shared<backends_by_service>();
    for (const auto& [id, record] : this->records)
    {
        if (!record.server->leaving && record.withheld_until == time_point{} &&
            !this->said_leaving(*record.server))
        {
            (*list)[record.server->service].push_back(record.server);
        }
    }
    return list;
}

std::vector<backend_server> backend_directory::all() const
{
    std::vector<backend_server> servers;
    for (const auto& [id, record] : this->records)
    {
        servers.push_back(*record.server);
    }
    return servers;
}

} // namespace agateseam

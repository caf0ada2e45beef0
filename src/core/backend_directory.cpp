#include <agateseam/backend_directory.hpp>

#include <set>

namespace agateseam
{

void backend_directory::put(backend_server server)
{
    server_record& record = this->records[server.id];
    record.server = std::make_shared<const backend_server>(std::move(server));
    record.kept_until = {};
}

void backend_directory::remove(std::string_view id, bool after_outage, time_point now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end() &&
        !this->keep_after_outage(found->second, after_outage, now))
    {
        this->records.erase(found);
    }
}

/// Tells whether a server that is missing from the list is kept for now; sets how long.
bool backend_directory::keep_after_outage(server_record& record, bool after_outage,
                                          time_point now) const
{
    if (!after_outage || record.server->leaving || this->said_leaving(*record.server))
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
        this->put(std::move(server));
    }
    for (auto record = this->records.begin(); record != this->records.end();)
    {
        const bool keep = listed.contains(record->first) ||
                          this->keep_after_outage(record->second, after_outage, now);
        record = keep ? std::next(record) : this->records.erase(record);
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

bool backend_directory::expire(time_point now)
{
    for (auto& [id, word] : this->leaving_words)
    {
        word.last_listed = this->records.contains(id) ? now : word.last_listed;
    }
    std::erase_if(this->leaving_words, [now](const auto& item)
                  { return item.second.last_listed + leaving_memory <= now; });
    const auto dropped =
        std::erase_if(this->records,
                      [now](const auto& item)
                      {
                          const time_point kept_until = item.second.kept_until;
                          return kept_until != time_point{} && kept_until <= now;
                      });
    return dropped > 0;
}

std::shared_ptr<const backends_by_service> backend_directory::usable() const
{
    auto list = std::make_shared<backends_by_service>();
    for (const auto& [id, record] : this->records)
    {
        if (!record.server->leaving && !this->said_leaving(*record.server))
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

#include <agateseam/stream_origins.hpp>

#include <algorithm>

#include <xxhash.h>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr auto expire_interval = 1s;

} // namespace

void stream_origins::record(name_key stream, name_key version, time_point now)
{
    this->expire(now);
    const auto [found, is_new] =
        this->streams.try_emplace(stream.hash(), origin{version, now});
    if (found->second.version == version)
    {
        found->second.announced_at = now;
    }
}

std::optional<name_key> stream_origins::find(name_key stream, time_point now) const
{
    const auto found = this->streams.find(stream.hash());
    if (found == this->streams.end() || now - found->second.announced_at >= memory)
    {
        return std::nullopt;
    }
    return found->second.version;
}

void stream_origins::expire(time_point now)
{
    if (now < this->expire_at && this->streams.size() < max_streams)
    {
        return;
    }
    this->expire_at = now + expire_interval;
    std::erase_if(this->streams, [now](const auto& item)
                  { return now - item.second.announced_at >= memory; });
    if (this->streams.size() >= max_streams)
    {
        std::vector<time_point> times;
        for (const auto& [stream, known] : this->streams)
        {
            times.push_back(known.announced_at);
        }
        const auto oldest_kept = times.begin() + max_streams / 4;
        std::nth_element(times.begin(), oldest_kept, times.end());
        std::erase_if(this->streams, [limit = *oldest_kept](const auto& item)
                      { return item.second.announced_at <= limit; });
    }
}

std::vector<std::string> rank_stream_holders(name_key stream,
                                             std::span<const std::string> entries,
                                             std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index)
    {
        ranked.emplace_back(XXH3_64bits_withSeed(entries[index].data(),
                                                 entries[index].size(), stream.hash()),
                            index);
    }
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<std::string> names;
    for (auto entry = ranked.begin(); entry != end; ++entry)
    {
        names.push_back(entries[entry->second]);
    }
    return names;
}

void version_history::set_listed(const std::string& service, std::set<name_key> versions,
                                 time_point now)
{
    const auto [found, is_new] = this->services.try_emplace(service);
    service_versions& known = found->second;
    if (is_new)
    {
        known.followed_since = now;
    }
    for (const name_key version : known.listed)
    {
        if (!versions.contains(version))
        {
            known.unlisted_at[version] = now;
        }
    }
    known.listed = std::move(versions);
}

void version_history::interrupt(time_point now)
{
    this->interrupted_at = now;
}

std::optional<name_key> version_history::only_version(const std::string& service,
                                                      duration window,
                                                      time_point now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.listed.size() != 1 ||
        now - std::max(found->second.followed_since, this->interrupted_at) < window)
    {
        return std::nullopt;
    }
    const service_versions& known = found->second;
    const name_key version = *known.listed.begin();
    const bool is_only =
        std::none_of(known.unlisted_at.begin(), known.unlisted_at.end(),
                     [&](const auto& item)
                     { return !(item.first == version) && now - item.second < window; });
    return is_only && !(version == name_key{}) ? std::optional(version) : std::nullopt;
}

} // namespace agateseam

/// Keeps which software version of a service began a stream, so that the stream goes on
/// at that version only.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/keyed_map.hpp>

namespace agateseam
{

/// \brief Remembers the versions of streams by the caller's try that brought the first
/// event.
///
/// Load pattern: an entry that is killed breaks all its streams, and their callers take
/// them up at other entries within milliseconds. So an entry tells what began a stream to
/// a few others as soon as it has the first event. These are chosen by the stream's name,
/// so that any entry knows whom to ask, at a cost that doesn't grow with the entries.
class stream_origins
{
  public:
    /// How long a stream is remembered after it was last announced.
    static constexpr std::chrono::seconds memory{60};
    /// A stream that lasts is announced again at this interval.
    static constexpr std::chrono::seconds announce_interval{20};
    /// Entries that are told of a stream, besides the one that relays it: some still know
    /// of it when most entries are killed at once.
    static constexpr std::size_t holders = 4;
    static constexpr std::size_t max_streams = 16'384;

    /// \brief Records the version that began a stream. The first one stays.
    void record(name_key stream, name_key version, time_point now);

    /// \brief Returns the version that began a stream, if it is known.
    [[nodiscard]] std::optional<name_key> find(name_key stream, time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->streams.size(); }

  private:
    struct origin
    {
        name_key version;
        time_point announced_at{};
    };

    void expire(time_point now);

    std::unordered_map<std::uint64_t, origin> streams;
    time_point expire_at{};
};

/// \brief Returns the entries that are told of a stream, and asked, first ones first.
/// \param entries the names of all of them.
/// \param count at most so many are returned.
[[nodiscard]] std::vector<std::string>
rank_stream_holders(name_key stream, std::span<const std::string> entries,
                    std::size_t count);

/// \brief Follows which versions of each service are listed, to tell when there was only
/// one.
class version_history
{
  public:
    /// \brief Replaces the versions of a service that are listed now.
    void set_listed(const std::string& service, std::set<name_key> versions,
                    time_point now);

    /// \brief Records that the list may have changed unseen until now.
    void interrupt(time_point now);

    /// \brief Returns the version of a service if it was the only one for some time.
    [[nodiscard]] std::optional<name_key>
    only_version(const std::string& service, duration window, time_point now) const;

  private:
    struct service_versions
    {
        std::set<name_key> listed;
        std::map<name_key, time_point> unlisted_at; ///< Those that were listed before.
        time_point followed_since{};
    };

    std::map<std::string, service_versions> services;
    time_point interrupted_at{};
};

} // namespace agateseam

/// Finds out which backend servers are cold or return to service, and has the limiter
/// keep their bounds.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/server_pacer.hpp>

namespace agateseam
{

struct entry_state;
struct service_properties;

/// \brief What an entry knows of servers that are cold or return to service.
///
/// A server is cold by its listing, by its replies, after a start during traffic, after
/// its failure domain was taken back into service, and by what other entries report. Its
/// bound is kept whatever the settings. Paces are set only with `pace_servers`.
class returning_servers
{
  public:
    /// For how long the start time of a server that is not listed is remembered, so that
    /// it doesn't count as started when it is listed again. Evacuations and lapsed
    /// records of the list last some minutes.
    static constexpr std::chrono::minutes listing_memory{10};

    explicit returning_servers(entry_state& entry);

    /// \brief Compares the published servers with those known before. Servers of the
    /// first list that is published together with a configuration were there before this
    /// entry.
    void note_listing(time_point now);

    /// \brief Records for how much longer a server says that it is cold.
    void record_cold(const backend_server& server, std::chrono::milliseconds remaining,
                     time_point now);

    /// \brief Notes that other entries know servers to be cold.
    void note_cold_reports(const std::vector<name_key>& cold_servers, time_point now);

    /// \brief Notes that a failure domain was taken back into service. Its servers may
    /// have become cold shortly before.
    void begin_domain_return(name_key domain, time_point now);

    /// \brief Ends an attempt in the health of its server, and counts its outcome for the
    /// server's pace.
    /// \param is_servers_doing false if the attempt ended for the caller's sake.
    void end_attempt(const std::string& id, server_observation observation,
                     duration elapsed, time_point now, bool is_servers_doing = true);

    /// \brief Notes that a server ended a connection before the answer. If it has
    /// returned of late, it returns anew; otherwise an ejection or its next start tells.
    void record_crash(const backend_server& server, time_point now);

    /// \brief Puts the paces in force that have changed since the last call.
    void update(time_point now);

    /// \brief Merges another entry's reports on returning servers.
    void apply(const std::string& entry, std::uint64_t incarnation,
               const keyed_map<server_return_report>& reports, time_point now);

    /// \brief Returns the reports for other entries that changed since a time, or all.
    [[nodiscard]] keyed_map<server_return_report>
    make_reports(std::optional<time_point> since, time_point now);

  private:
    struct known_server
    {
        std::shared_ptr<const backend_server> server;
        std::chrono::milliseconds stated_cold{0}; ///< By the latest listing.
        time_point cold_until{};
        time_point last_listed{};
        time_point returned_at{}; ///< When its last return began, as this entry knows.
    };

    /// Returns whether the server's start counts as one during traffic.
    bool note_server(const std::shared_ptr<const backend_server>& server, time_point now);
    /// \returns whether the server was not known to be cold.
    bool apply_cold(known_server& known, time_point now);
    void begin_return(known_server& known, return_cause cause, time_point now);
    [[nodiscard]] const service_properties*
    service_of(const backend_server& server) const;
    [[nodiscard]] duration peers_latency(const backend_server& server) const;
    [[nodiscard]] double capacity(const backend_server& server, time_point now) const;
    void log_step(const pace_step& step) const;

    entry_state* state;
    server_pacer pacer;
    keyed_map<known_server> known_servers;
    bool has_first_list = false;
};

} // namespace agateseam

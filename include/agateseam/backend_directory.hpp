/// The backend servers that exist according to the platform's list.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/keyed_map.hpp>

namespace agateseam
{

/// The stages of a model request that a backend server runs.
enum class engine_stage : std::uint8_t
{
    none,    ///< The server runs a plain service.
    prefill, ///< Computes the KV cache of prompts.
    decode,  ///< Generates output tokens.
    both     ///< Runs prefill and decode.
};

/// \brief One incarnation of a backend server as it announced itself.
struct backend_server
{
    std::string id; ///< Of the incarnation; a restart may keep it (see `born_ms`).
    std::string service;
    std::string address; ///< "IP:port".
    std::string failure_domain;
    engine_stage stage = engine_stage::none;
    std::uint32_t slots = 1;
    bool leaving = false;      ///< The server shuts down and takes no new work.
    std::uint64_t born_ms = 0; ///< Start time in Unix milliseconds; 0 when unknown.
    std::string version;       ///< Of its software; empty when unknown.
    name_key version_key;      ///< Of the service and the version; empty when unknown.
    /// How long the server stayed cold when it announced this; zero when not cold.
    std::chrono::milliseconds cold_remaining{0};
};

/// The servers that may be given work, by service; immutable.
using backends_by_service =
    std::unordered_map<std::string, std::vector<std::shared_ptr<const backend_server>>>;

/// \brief Keeps the list of backend servers through lost history and outages of the list.
///
/// Load pattern: during an outage of the platform's store the servers' records lapse, and
/// they come back up to `outage_grace` after it. Dropping them all at the first complete
/// list would leave no server. So a record that went missing while the list was out of
/// reach is kept that long, unless its server was leaving. Any other missing record is
/// dropped at once, since its server may already be replaced.
///
/// A server that leaves may say so only in its replies, while the list calls it ready or
/// is out of reach. Its word holds for that incarnation, whatever the list says later.
///
/// After an outage the list may also come from a copy that is some seconds old: a server
/// that was leaving then still is, and one that was gone gets no work for `outage_grace`,
/// in which its removal is usually repeated.
class backend_directory
{
  public:
    /// How long after an outage a lapsed record may still come back. The platform's
    /// documentation says about two seconds, and allows work to be sent for at most that
    /// long to a server that is gone.
    static constexpr std::chrono::milliseconds outage_grace{1'800};
    /// How long a server that is gone is remembered, many times the age of a copy.
    static constexpr std::chrono::seconds departure_memory{60};

    /// How long after its last appearance on the list an incarnation that said it leaves
    /// is remembered. A list from a relay or a stale read may still name it.
    static constexpr std::chrono::minutes leaving_memory{10};

    /// \brief Adds or replaces a server.
    void put(backend_server server);

    /// \brief Handles the removal of a server from the list.
    /// \param after_outage whether its record may have lapsed while the list was out of
    /// reach.
    void remove(std::string_view id, bool after_outage, time_point now);

    /// \brief Replaces the whole list.
    /// \param servers every server on the list that can be used.
    /// \param after_outage whether the list was out of reach until now.
    void replace(std::vector<backend_server> servers, bool after_outage, time_point now);

    /// \brief Records that an incarnation of a server said itself that it leaves.
    /// \returns whether that was unknown.
    bool record_leaving(const backend_server& server, time_point now);

    /// \brief Tells whether an incarnation of a server, or a later one under its id, said
    /// itself that it leaves.
    [[nodiscard]] bool said_leaving(const backend_server& server) const;

    /// \brief Tells whether a server's id is known and its record doesn't say that it
    /// leaves.
    [[nodiscard]] bool may_serve(std::string_view id) const;

    /// \brief Drops servers that were kept for `outage_grace` and did not come back, and
    /// releases those that did and were withheld as long.
    /// \returns whether any server was dropped or released.
    bool expire(time_point now);

    /// \brief Returns when `expire` next has a server to drop or release, or the latest
    /// time if it has none.
    [[nodiscard]] time_point next_expiry() const;

    /// \brief Returns the servers that are neither leaving nor withheld, by service.
    [[nodiscard]] std::shared_ptr<const backends_by_service> usable() const;

    /// \brief Returns all known servers, including those that are leaving.
    [[nodiscard]] std::vector<backend_server> all() const;

    /// \brief Returns the number of known servers, including those that are leaving.
    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }

  private:
    struct server_record;
    bool keep_after_outage(server_record& record, bool after_outage,
                           time_point now) const;
    void put_from_copy(backend_server server, time_point now);
    void note_departure(const backend_server& server, time_point now);

    struct server_record
    {
        std::shared_ptr<const backend_server> server;
        time_point kept_until{};     ///< Zero unless the server is missing from the list.
        time_point withheld_until{}; ///< Zero unless the server was gone before.
    };

    struct departure
    {
        std::uint64_t born_ms = 0;
        time_point at{};
    };

    /// The newest incarnation under an id that said it leaves.
    struct leaving_word
    {
        std::uint64_t born_ms = 0;
        time_point last_listed{};
    };

    std::map<std::string, server_record, std::less<>> records;
    std::map<std::string, leaving_word, std::less<>> leaving_words;
    std::map<std::string, departure, std::less<>> departures;
};

} // namespace agateseam

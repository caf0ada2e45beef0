/// Keeps the request rates that backend servers name, over all entries together.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <agateseam/entry_digest.hpp>
#include <agateseam/fleet_bucket.hpp>

namespace agateseam
{

/// \brief An entry's copies of the buckets of servers that limit their requests.
///
/// Load pattern: a server names some requests a second, less than one for each entry, and
/// many callers wait at all entries. A part of the rate for each entry would leave most
/// of it unused, and a common bucket alone would let all entries take the same token
/// before they hear of each other. So the entries take turns: each token has an order of
/// the entries, by hash, and an entry that is later in it takes the token only when it
/// has stayed unused for as long as the ones before it need to be heard.
///
/// A cold server and one that returns have a bound for each single second, and callers
/// come to it in bursts. There a few entries share a turn, and turns count from when an
/// entry begins to ask, since a full bucket would admit all of them at once. An entry
/// that has sent of late waits only for those that have too. Entries that fall silent are
/// taken for cut off after one interval of digests, not after the time-out of peers.
///
/// In any `window` all entries together send at most rate x window, the bucket's capacity
/// and what is taken at the same time. A limit holds while the newest answer that any
/// entry got names one.
class server_limiter
{
  public:
    /// Time in which the others hear of a request.
    static constexpr std::chrono::milliseconds turn_time{40};
    /// Capacity of a bucket by the server's own limit: one request and those of this
    /// time.
    static constexpr std::chrono::milliseconds burst_time{500};
    /// The same by a cold bound or a pace, whose overage is counted in single seconds.
    static constexpr std::chrono::milliseconds paced_burst_time{100};
    /// Rates below are raised to this one, so that answers tell of the limit's end.
    static constexpr double min_per_second = 0.2;
    /// A limit that no answer has named for this long is forgotten.
    static constexpr std::chrono::seconds memory{60};
    /// The same for a server that was cold or returned and has named no limit.
    static constexpr std::chrono::seconds paced_memory{10};

    explicit server_limiter(std::string entry_name)
        : name(std::move(entry_name))
    {
    }

    /// \brief Records what an answer says about its server's limit.
    /// \param per_second the limit; no value when the answer names none.
    /// \param request_sent_at an answer without a limit doesn't end one that was named
    /// after its request was sent.
    /// \returns whether the limit changed.
    bool record_answer(name_key server, std::optional<double> per_second,
                       time_point request_sent_at, time_point now);

    /// \brief Records that a server is cold until a time. An earlier time than known is
    /// ignored, since a server may also be presumed cold.
    /// \param per_second what it sustains from all entries; no effect if not above 0.
    /// \returns whether it was not known to be cold.
    bool set_cold(name_key server, double per_second, time_point until, time_point now);

    /// \brief Sets the pace of a returning server, in requests a second over all entries;
    /// none ends it.
    void set_pace(name_key server, std::optional<double> per_second, time_point now);

    /// \brief Tells whether a server is known to be cold.
    [[nodiscard]] bool is_cold(name_key server, time_point now) const;

    /// \brief Tells whether a cold bound or a pace limits the requests to a server.
    [[nodiscard]] bool is_paced(name_key server, time_point now) const;

    /// \brief Returns the limit that a server itself named, in requests a second over all
    /// entries.
    [[nodiscard]] std::optional<double> limit(name_key server) const;

    /// \brief Returns how long until this entry may send to a server if nobody else does;
    /// zero when it may now.
    /// \param peers the names of the other entries that are heard.
    /// \param requests how many it sends together.
    [[nodiscard]] duration time_until_send(name_key server,
                                           const std::set<std::string>& peers,
                                           fleet_view view, time_point now,
                                           double requests = 1);

    /// \brief Takes requests from a server's bucket; always succeeds if the server is
    /// neither limited nor paced.
    [[nodiscard]] bool try_take(name_key server, const std::set<std::string>& peers,
                                fleet_view view, time_point now, double requests = 1);

    /// \brief Returns requests that were not sent.
    void refund(name_key server, time_point now, double requests = 1);

    /// \brief Merges another entry's reports. Call it for each digest, also for one
    /// without reports: it tells that the entry is heard.
    /// \returns the servers that this entry didn't know to be cold.
    std::vector<name_key> apply(const std::string& entry, std::uint64_t incarnation,
                                const keyed_map<server_limit_report>& reports,
                                time_point now);

    /// \brief Returns what changed since a time, or everything.
    [[nodiscard]] keyed_map<server_limit_report>
    make_reports(std::optional<time_point> since, time_point now);

  private:
    struct limited_server
    {
        std::optional<double> per_second; ///< By the newest answer to any entry.
        time_point answered_at{};         ///< Of that answer.
        std::optional<double> own_per_second;
        time_point own_answered_at{};
        double cold_per_second = 0;
        time_point cold_until{};
        time_point own_cold_until{}; ///< Not by what others reported.
        std::optional<double> pace;
        bool is_bounded = false; ///< Whether the bucket's limits are in force.
        time_point bounded_at{}; ///< When that began.
        time_point changed_at{};
        time_point added_at{};
        double peer_spending = 0; ///< Requests that other entries have sent.
        time_point sent_at{};     ///< By this entry.
        time_point wanted_at{};   ///< When this entry last asked for a request.
        time_point waits_since{}; ///< Asks for tokens that the bucket has.
        fleet_bucket bucket;

        [[nodiscard]] bool is_paced(time_point now) const noexcept
        {
            return this->pace || now < this->cold_until;
        }
    };
    struct peer_spending
    {
        double spent = 0;
        time_point began_at{}; ///< When the peer's copy was empty.
        time_point rose_at{};  ///< When `spent` last did.
    };
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        time_point heard_at{};
        keyed_map<peer_spending> servers;
    };

    /// \returns whether the limit changed.
    bool note_limit(limited_server& server, std::optional<double> per_second,
                    time_point answered_at, time_point now);
    /// \returns whether the server was not known to be cold.
    bool note_cold(limited_server& server, double per_second, time_point until,
                   time_point now);
    void note_spending(name_key server, limited_server& state, peer_state& peer,
                       const server_limit_report& report, time_point now);
    /// Puts the bounds in force that hold now.
    static void update_bounds(limited_server& server, time_point now);
    [[nodiscard]] limited_server* find_bounded(name_key server, time_point now);
    [[nodiscard]] limited_server& find_or_add(name_key server, time_point now);
    /// Returns how many entries come before this one for the next token.
    [[nodiscard]] std::size_t entries_ahead(name_key server, const limited_server& state,
                                            const std::set<std::string>& peers,
                                            time_point now) const;
    /// Tells whether another entry has sent to a server of late.
    [[nodiscard]] bool is_active(const std::string& entry, name_key server,
                                 time_point now) const;
    /// Returns for how long this entry has asked for tokens that the bucket has.
    [[nodiscard]] static duration time_waited(limited_server& state, bool has_tokens,
                                              duration turn, time_point now);
    /// Returns how long until an entry with others before it may send to a paced server;
    /// not above zero when it may now.
    [[nodiscard]] static duration time_until_turn(limited_server& state,
                                                  std::size_t entries, double requests,
                                                  double fraction, time_point now);
    /// Tells whether this entry may send to a paced server without a turn, as it has sent
    /// nothing there of late and the bound is high for the number of entries.
    [[nodiscard]] static bool needs_no_turn(limited_server& state, const fleet_view& view,
                                            double requests, time_point now);
    static void note_sent(limited_server& state, time_point now);
    /// Returns the view without the entries that have just fallen silent.
    [[nodiscard]] fleet_view heard_view(const std::set<std::string>& peers,
                                        fleet_view view, time_point now) const;
    void expire(time_point now);

    std::string name;
    keyed_map<limited_server> servers;
    std::map<std::string, peer_state> peers_heard;
    time_point expire_at{};
};

} // namespace agateseam

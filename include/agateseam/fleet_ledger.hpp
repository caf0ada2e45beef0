/// Fleet-wide spending limits: the digests that entries exchange and what each entry may
/// spend according to them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/entry_digest.hpp>
#include <agateseam/fleet_bucket.hpp>
#include <agateseam/routing_table.hpp>
#include <agateseam/store_watch_plan.hpp>

namespace agateseam
{

/// \brief Limits from the entry's settings; the routing table has the other ones.
struct fleet_ledger_options
{
    double allowance_reserve_tokens = 0; ///< Tokens a window may be overspent by.
    double allowance_overage = 0;        ///< Fraction of a window's tokens, likewise.
    std::chrono::milliseconds allowance_window{8'000};
    double repeat_extra = 0; ///< Repeats per window beyond those that requests earn.
    double repeat_ratio = 0; ///< Repeats that each request earns.
    std::chrono::milliseconds repeat_window{10'000};

    [[nodiscard]] friend bool operator==(const fleet_ledger_options&,
                                         const fleet_ledger_options&) = default;
};

/// \brief An entry's copies of all fleet-wide buckets, updated by the other entries'
/// digests.
///
/// Over any window all entries together may take rate x window + burst tokens, and beyond
/// that the fraction `allowance_overage` of this sum plus `allowance_reserve_tokens`. The
/// excess is divided up: `burst_part_of_excess` of it enlarges the bucket, so that a
/// burst of some seconds isn't refused while the window still allows it;
/// `initial_part_of_reserve` of the reserve is what restarted entries begin with; the
/// rest covers what is spent while digests are in transit. docs/design/platform.md has
/// the figures.
class fleet_ledger
{
  public:
    /// Time without a digest after which an entry counts as unreachable, in a small
    /// fleet: 3.5 digest intervals. Until then a partitioned fleet spends as a whole one
    /// does.
    static constexpr std::chrono::milliseconds base_peer_timeout{700};
    /// Time between full digests in a small fleet.
    static constexpr std::chrono::milliseconds base_digest_interval{200};
    /// Larger fleets send digests less often, so that an entry doesn't spend its time on
    /// reading them: the interval is at least this long for each entry of the fleet.
    static constexpr std::chrono::microseconds digest_interval_per_entry{4'000};
    /// An entry that started less than this ago takes the levels of an entry that has
    /// run for longer.
    static constexpr std::chrono::milliseconds new_entry_age{3'000};
    /// An entry stays a candidate for watching the store for this long after its last
    /// digest. Digests are late while a link is full, and an entry that takes all others
    /// for lost watches the store itself, over the same link.
    static constexpr std::chrono::milliseconds watch_candidate_timeout{3'000};
    static constexpr double burst_part_of_excess = 0.4;
    static constexpr double initial_part_of_reserve = 0.25;
    /// Fraction of the repeat budget that the bucket's capacity and its refill per window
    /// each get, because a window may hold a full bucket and what is refilled meanwhile.
    static constexpr double usable_part_of_repeats = 0.4;
    /// Fraction of `repeat_extra` that all entries together begin with. All of them may
    /// be killed four times within a window, and the refill is spent besides.
    static constexpr double initial_part_of_repeats = 0.12;

    fleet_ledger(std::string entry_name, std::uint64_t entry_incarnation,
                 fleet_ledger_options initial_options, time_point now);

    /// \brief Sets new options, which apply from the next `set_routing` on.
    void set_options(const fleet_ledger_options& new_options)
    {
        this->options = new_options;
    }

    /// \brief Sets the workspaces and services of the configuration in force.
    void set_routing(const routing_table& table, time_point now);

    /// \brief Sets how many entries there are, including this one.
    void set_entry_count(std::uint32_t count) { this->registered_entries = count; }

    /// \brief Returns the time between full digests in a fleet of the current size.
    [[nodiscard]] duration digest_interval() const;
    /// \brief Returns how long after its last digest an entry counts as reachable.
    [[nodiscard]] duration peer_timeout() const;

    /// \brief Takes tokens of a workspace; always succeeds for one without a limit.
    /// \returns whether they were taken.
    [[nodiscard]] bool try_take_tokens(const std::string& workspace, double tokens,
                                       time_point now);
    /// \brief Returns unused tokens to a workspace.
    void refund_tokens(const std::string& workspace, double tokens, time_point now);
    /// \brief Returns how long until the tokens can be taken if nobody else takes any.
    [[nodiscard]] duration time_until_tokens(const std::string& workspace, double tokens,
                                             time_point now);

    /// \brief Returns a workspace's remaining tokens according to this entry's copy.
    [[nodiscard]] double remaining_tokens(const std::string& workspace, time_point now);

    /// \brief Counts a request for a service, which earns a fraction of a repeat.
    void add_repeat_credit(const std::string& service, time_point now);
    /// \brief Returns a repeat that was taken and not used.
    void return_repeat(const std::string& service, time_point now);
    /// \brief Takes one repeat.
    /// \returns whether it was taken.
    [[nodiscard]] bool try_take_repeat(const std::string& service, time_point now);

    /// \brief Processes a digest of another entry.
    /// \returns false when the digest is this entry's own, or not newer than the last
    /// one of its entry.
    bool apply(const entry_digest& digest, time_point now);

    /// \brief Makes this entry's next digest, without its decode claims.
    [[nodiscard]] entry_digest make_digest(time_point now);

    /// \brief Returns the sum of the other entries' decode claims. An unreachable entry
    /// is assumed to have as many as the reachable ones have on average.
    [[nodiscard]] keyed_map<decode_claim> peer_claims(time_point now);

    /// \brief Returns the servers whose sum of claims changed since the last call.
    /// \returns no value when any may have changed.
    [[nodiscard]] std::optional<std::vector<name_key>> take_claim_changes(time_point now);

    /// \brief Returns one server's sum of claims as of the last `take_claim_changes`.
    [[nodiscard]] decode_claim peer_claim(name_key server) const;

    /// \brief Returns, by server, the largest number of tokens without a claim that any
    /// reachable entry reports.
    [[nodiscard]] keyed_map<std::int64_t> peer_orphan_tokens(time_point now) const;

    /// \brief Returns how often an entry was heard that wasn't reachable before. Such an
    /// entry may know nothing of this one.
    [[nodiscard]] std::uint64_t first_heard_count() const noexcept
    {
        return this->first_heard_entries;
    }

    /// \brief Returns what waits at the other reachable entries.
    [[nodiscard]] fleet_queue peers_waiting(time_point now) const;

    /// \brief Tells whether, among the reachable entries, this one queries the server.
    [[nodiscard]] bool polls_server(std::string_view server, time_point now) const;

    /// \brief Returns the other entries that were heard lately and aren't leaving, as
    /// possible watchers of the store; their links are not known here.
    [[nodiscard]] std::vector<watch_candidate> watch_candidates(time_point now) const;

    [[nodiscard]] fleet_view view(time_point now) const;
    /// \brief Returns the names of the other reachable entries.
    [[nodiscard]] std::set<std::string> reachable_peers(time_point now) const;
    /// \brief Returns the time since which all other reachable entries have been heard;
    /// the present if there are none.
    [[nodiscard]] time_point all_heard_since(time_point now) const;
    /// \brief Returns when the last digest of each other entry came, by entry name.
    [[nodiscard]] std::map<std::string, time_point> last_heard_times() const;
    /// \brief Returns the newest configuration version of the other reachable entries.
    [[nodiscard]] std::uint64_t newest_configuration_version(time_point now) const;

  private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point last_heard{};
        /// All that is known of the entry: digests are merged into it.
        entry_digest state;
        /// Whether a bucket that `state` lacks is known to be unused.
        bool has_all_buckets = false;
        /// Whether its levels are taken, as this process is new and the peer's isn't.
        bool raises_levels = false;
        /// Whether its next reports include what it spent while it was unreachable. Only
        /// a complete digest has the report of each bucket.
        bool has_unseen_spending = false;
        bool is_counted = false; ///< Its claims are part of `claim_sums`.
    };
    using bucket_map = keyed_map<fleet_bucket>;

    /// Charges what a peer spent since its previous reports, or raises levels to the
    /// peer's.
    static void apply_reports(bucket_map& buckets, peer& other,
                              keyed_map<bucket_report>& known_reports,
                              const keyed_map<bucket_report>& reports, time_point now);
    void apply_claims(peer& other, const entry_digest& digest);
    void set_claim(peer& other, name_key server, const decode_claim& claim);
    void remove_claims(peer& other);
    /// Removes the claims of entries that are no longer reachable from the sums.
    void expire_claims(time_point now);
    /// Returns the factor by which the reachable entries' claims stand for those of all.
    [[nodiscard]] double unreachable_factor(time_point now) const;
    void set_bucket(bucket_map& buckets, name_key key, const bucket_limits& limits,
                    double initial_level, time_point now);

    std::string name;
    std::uint64_t incarnation;
    fleet_ledger_options options;
    time_point started_at;
    std::uint64_t sequence = 0;
    std::uint32_t registered_entries = 1; ///< 1 until the platform's list is known.
    bucket_map allowances;
    bucket_map repeats;
    std::map<std::string, peer> peers;
    keyed_map<decode_claim> claim_sums;   ///< Of the reachable entries, by server id.
    std::vector<name_key> changed_claims; ///< Servers whose sum changed.
    double reported_factor = 1; ///< Of the sums that `take_claim_changes` reported last.
    std::uint64_t first_heard_entries = 0;
};

} // namespace agateseam

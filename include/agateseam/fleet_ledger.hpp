/// What the entries tell each other of what they spend, and what each may spend by it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <agateseam/engine_placement.hpp>
#include <agateseam/fleet_bucket.hpp>
#include <agateseam/routing_table.hpp>

namespace agateseam
{

/// \brief One bucket as an entry tells of it.
struct bucket_report
{
    double spent = 0; ///< Total of the entry's incarnation.
    double level = 0; ///< The entry's copy.
};

/// \brief What an entry says of itself; totals, so that a lost one heals with the next.
struct entry_digest
{
    std::string entry;               ///< Name of the VM.
    std::uint64_t incarnation = 0;   ///< Differs for each start of its process.
    std::uint64_t sequence = 0;      ///< Rises within an incarnation.
    std::uint64_t age_ms = 0;        ///< Since its start.
    std::uint64_t configuration = 0; ///< Version in force there; 0: none.
    std::uint32_t entries = 1;       ///< Entries that it knows of, itself included.
    std::uint32_t waiting = 0;       ///< Requests that wait for a decode place there.
    bool leaving = false;
    bool news = false; ///< Holds only what changed; what it doesn't name stays.
    std::unordered_map<std::string, bucket_report> allowances; ///< By workspace.
    std::unordered_map<std::string, bucket_report> repeats;    ///< By service.
    std::unordered_map<std::string, decode_claim> claims;      ///< By server id.
    std::unordered_map<std::string, std::int64_t> orphans;     ///< Tokens, by server id.
};

/// \brief Terms that aren't in the configuration.
struct ledger_terms
{
    double allowance_reserve = 0; ///< Tokens by which a window may be overspent.
    double allowance_overage = 0; ///< Part of a window's tokens, the same.
    std::chrono::milliseconds allowance_window{8'000};
    double repeat_extra = 0; ///< Repeats a window beyond the share.
    double repeat_ratio = 0; ///< Repeats that each request earns.
    std::chrono::milliseconds repeat_window{10'000};

    [[nodiscard]] friend bool operator==(const ledger_terms&,
                                         const ledger_terms&) = default;
};

/// \brief An entry's copies of all fleet-wide buckets, kept by digests.
///
/// Over any window, all entries together may take rate x window + burst, and beyond that
/// `allowance_overage` of it and `allowance_reserve`. What is beyond is divided:
/// `burst_part` of it raises the bucket, so that a burst of some seconds isn't refused
/// where the window allows it; `first_part` of the reserve is what restarted entries
/// begin with; the rest is for what is spent while digests are under way.
/// docs/design/platform.md has the figures.
class fleet_ledger
{
  public:
    /// An entry not heard for this long counts as out of reach: three digests. Until then
    /// a divided fleet spends as a whole one does.
    static constexpr std::chrono::milliseconds heard_within{700};
    static constexpr std::chrono::milliseconds usual_digest{200};
    /// In larger fleets digests are rarer, so that an entry doesn't spend its time on
    /// reading them: one an entry in so many milliseconds for each entry, at least.
    static constexpr std::chrono::microseconds digest_for_each{4'000};
    /// A copy younger than this takes the level of an older peer.
    static constexpr std::chrono::milliseconds young{3'000};
    static constexpr double burst_part = 0.4;
    static constexpr double first_part = 0.25;
    /// Part of the repeats' budget that is used: a window may hold a full bucket and
    /// what flows into it meanwhile.
    static constexpr double repeat_part = 0.4;
    /// Part of the extra that all entries together begin with: four times in a window
    /// they may all be killed, besides what flows in.
    static constexpr double first_repeat_part = 0.12;

    fleet_ledger(std::string chosen_name, std::uint64_t chosen_incarnation,
                 ledger_terms chosen, time_point now);

    /// \brief Sets new terms; they hold from the next `set_routing` on.
    void set_terms(const ledger_terms& chosen) { this->terms = chosen; }

    /// \brief Takes the workspaces and services in force.
    void set_routing(const routing_table& table, time_point now);

    /// \brief Sets how many entries there are, this one included.
    void set_entries(std::uint32_t count) { this->registered = count; }

    /// \brief Returns the time between whole digests of a fleet of this size.
    [[nodiscard]] duration digest_every() const;
    /// \brief Returns how long an entry that isn't heard counts as one that is.
    [[nodiscard]] duration heard_for() const;

    /// \brief Takes tokens of a workspace; one without a limit always has them.
    [[nodiscard]] bool take_tokens(const std::string& workspace, double tokens,
                                   time_point now);
    void give_back_tokens(const std::string& workspace, double tokens, time_point now);
    [[nodiscard]] duration wait_for_tokens(const std::string& workspace, double tokens,
                                           time_point now);

    /// \brief Returns the tokens that are left to a workspace by this entry's copy.
    [[nodiscard]] double tokens_left(const std::string& workspace, time_point now);

    /// \brief Counts a request for a service, which earns a part of a repeat.
    void earn_repeat(const std::string& service, time_point now);
    /// \brief Takes one repeat.
    [[nodiscard]] bool take_repeat(const std::string& service, time_point now);

    /// \brief Takes a peer's digest.
    /// \returns false when it is older than one taken before.
    bool apply(const entry_digest& digest, time_point now);

    /// \brief Returns this entry's digest without its decode claims.
    [[nodiscard]] entry_digest digest(time_point now);

    /// \brief Returns what the other entries have placed, added up; those out of reach
    /// are taken to have placed as much as the heard ones on average.
    [[nodiscard]] std::unordered_map<std::string, decode_claim>
    others_claims(time_point now) const;

    /// \brief Returns the tokens without a claim that the heard entries found.
    [[nodiscard]] std::unordered_map<std::string, std::int64_t>
    others_orphans(time_point now) const;

    /// \brief Returns how many of the heard entries have requests that wait.
    [[nodiscard]] std::uint32_t others_waiting(time_point now) const;

    /// \brief Tells whether this entry is the one of the heard that asks a server.
    [[nodiscard]] bool asks(std::string_view server, time_point now) const;

    [[nodiscard]] fleet_view view(time_point now) const;
    /// \brief Returns when an entry was last heard, by name.
    [[nodiscard]] std::map<std::string, time_point> heard_at() const;
    /// \brief Returns the newest configuration version that a heard entry has.
    [[nodiscard]] std::uint64_t newest_configuration(time_point now) const;

  private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard{};
        entry_digest last;
    };
    using bucket_map = std::unordered_map<std::string, fleet_bucket>;

    void charge(bucket_map& buckets,
                const std::unordered_map<std::string, bucket_report>& now_said,
                const std::unordered_map<std::string, bucket_report>* said_before,
                bool adopt, time_point now);
    /// What a peer has said by now, with its newest digest.
    static entry_digest merged(const entry_digest& before, const entry_digest& digest);
    void put_bucket(bucket_map& buckets, const std::string& name,
                    const bucket_terms& terms, double first_level, time_point now);

    std::string name;
    std::uint64_t incarnation;
    ledger_terms terms;
    time_point started;
    std::uint64_t sequence = 0;
    std::uint32_t registered = 1;
    bucket_map allowances;
    bucket_map repeats;
    std::map<std::string, peer> peers;
};

} // namespace agateseam

/// What entries tell each other about themselves, and how much of it each message has.
#pragma once

#include <cstdint>
#include <string>

#include <agateseam/clock.hpp>
#include <agateseam/engine_placement.hpp>
#include <agateseam/keyed_map.hpp>
#include <agateseam/part_quarantine.hpp>
#include <agateseam/waiting_queue.hpp>

namespace agateseam
{

/// \brief The state of one bucket in an entry's digest.
struct bucket_report
{
    double spent = 0; ///< Net total since the entry's process started.
    double level = 0; ///< Of the entry's copy.
};

/// \brief What an entry knows of a server that limits its requests, or did of late.
struct server_limit_report
{
    double per_second = 0; ///< By the last answer to this entry; below 0: no limit.
    std::uint64_t answer_age_ms = 0; ///< Of that answer.
    double spent = 0;                ///< Requests sent since the entry's process started.
    double level = 0;                ///< Of the entry's copy of the bucket.
    std::uint64_t copy_age_ms = 0;   ///< Of that copy, whose `spent` began at 0.
    double cold_per_second = 0;      ///< While the entry knows that the server is cold.
    std::uint64_t cold_ms = 0;       ///< How much longer.
};

/// \brief Why a server returns to service.
enum class return_cause : std::uint8_t
{
    started,    ///< Newly listed, or listed with a later start.
    cold,       ///< It reports that it is cold.
    taken_back, ///< Its failure domain is no longer evacuated.
    recovered,  ///< From an ejection.
    crashed,
    rested
};

/// \brief Numbers of answers.
struct answer_counts
{
    std::uint64_t good = 0;
    std::uint64_t slow = 0; ///< Good, but far later than those of the server's peers.
    std::uint64_t bad = 0;

    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return this->good + this->slow + this->bad;
    }
    [[nodiscard]] friend bool operator==(const answer_counts&,
                                         const answer_counts&) = default;
};

/// \brief What an entry knows of a server that returns to service.
struct server_return_report
{
    return_cause cause{};
    std::uint32_t number = 0; ///< Increases with each return that the entry records.
    std::uint64_t age_ms = 0; ///< Of the return.
    double capacity_per_second = 0;
    std::uint64_t peers_latency_ms = 0; ///< Typical of the server's peers; 0: not known.
    double start_share = 0;             ///< Of the capacity, at which the pace started.
    double pace = 0;                    ///< Requests a second; 0 after the end.
    answer_counts answers;              ///< To this entry, since the return began.
};

/// \brief How much of an entry's state a digest contains.
enum class digest_scope : std::uint8_t
{
    complete, ///< Everything; a bucket that is missing has not been used.
    recent,   ///< The buckets that changed of late, and all claims and orphans.
    delta     ///< What changed since the digest before.
};

/// \brief What an entry reports about itself. Its numbers are totals, so the next digest
/// makes up for a lost one.
struct entry_digest
{
    std::string entry;                       ///< Name of the VM.
    std::uint64_t incarnation = 0;           ///< Differs for each start of the process.
    std::uint64_t sequence = 0;              ///< Increases within an incarnation.
    std::uint64_t age_ms = 0;                ///< Time since the process started.
    std::uint64_t configuration_version = 0; ///< In force at the entry; 0: none.
    std::uint64_t store_era = 0;        ///< The newest that the entry knows; 0: none.
    std::uint32_t known_entries = 1;    ///< Includes the entry itself.
    std::uint32_t waiting_requests = 0; ///< Wait for a decode place at the entry.
    waiting_rank next_rank = no_waiting_rank; ///< Of the next one of them.
    bool leaving = false;
    bool reaches_store = false; ///< By the entry's latest call to the store.
    digest_scope scope = digest_scope::complete;
    keyed_map<bucket_report> allowances;          ///< By workspace.
    keyed_map<bucket_report> repeats;             ///< By service.
    keyed_map<decode_claim> claims;               ///< By server id.
    keyed_map<std::int64_t> orphan_tokens;        ///< By server id.
    keyed_map<server_limit_report> server_limits; ///< By server id.
    keyed_map<server_return_report> returns;      ///< By server id.
    quarantine_digest quarantine; ///< Whatever the entry knows, from any entry.
};

/// \brief Reduces an entry's digests to what the others don't know yet.
///
/// Load pattern: some hundred entries, each of which reads some hundred digests a second
/// on a tenth of a core, while a fleet has tens of workspaces and an entry uses a few of
/// them at a time. Between whole digests, changes are sent alone. Whole ones leave out
/// the buckets that haven't changed during the last `resent_digests` of them, so that a
/// few lost datagrams in a row are made up for. Every `digests_per_complete`-th one is
/// complete, as is the next one after a new entry was heard, which knows nothing yet.
class digest_reducer
{
  public:
    static constexpr int resent_digests = 2;
    static constexpr int digests_per_complete = 16;

    /// \brief Chooses the scope of the next digest and removes what it leaves out.
    /// \param digest the entry's complete state.
    /// \param interval the time between whole digests.
    /// \param first_heard_entries how many entries were heard for the first time so far.
    void reduce(entry_digest& digest, time_point now, duration interval,
                std::uint64_t first_heard_entries);

    /// \brief Returns when the next whole digest is due.
    [[nodiscard]] time_point next_whole_digest(duration interval) const noexcept
    {
        return this->whole_digest_at + interval;
    }

  private:
    struct sent_bucket
    {
        double spent = 0;
        time_point changed_at{};
    };
    using sent_buckets = keyed_map<sent_bucket>;

    static void note_changes(sent_buckets& sent, const keyed_map<bucket_report>& buckets,
                             time_point now);
    static void keep_changed_since(keyed_map<bucket_report>& buckets,
                                   const sent_buckets& sent, time_point since);
    void reduce_claims(entry_digest& digest) const;

    sent_buckets allowances;
    sent_buckets repeats;
    keyed_map<std::uint32_t> claimed_requests; ///< In the digest before, by server id.
    time_point whole_digest_at{};
    std::uint64_t answered_entries = 0; ///< First heard before the last complete digest.
    int digests_since_complete = digests_per_complete;
};

} // namespace agateseam

/// Finds the requests and the parts of prompts that crash servers, from evidence that the
/// entries share, and blocks requests that have them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/keyed_map.hpp>

namespace agateseam
{

/// What a part of a request is that may be the cause when a server ends under it.
enum class part_kind : std::uint8_t
{
    prompt_part,  ///< A part of the prompt, which other requests may have too.
    request,      ///< The method, target, workspace and body.
    whole_request ///< These and the shared parts of the prompt.
};

/// \brief What may be the cause when a server ends under a request.
struct request_parts
{
    /// The request's own keys, narrowest first, then the parts of its prompt.
    std::vector<name_key> keys;
    std::size_t own_keys = 0; ///< 1 without a prompt, 2 with one.

    [[nodiscard]] static request_parts create(name_key request,
                                              std::span<const name_key> prompt_parts);

    [[nodiscard]] part_kind kind_of(std::size_t index) const noexcept
    {
        return index >= this->own_keys ? part_kind::prompt_part
               : index == 0            ? part_kind::whole_request
                                       : part_kind::request;
    }
};

/// \brief A server ended before it had answered a request with this part for some time.
struct crash_report
{
    name_key part;
    name_key server; ///< One incarnation of it.
    std::uint64_t age_ms = 0;
    bool without_event = false; ///< The request had received nothing of its answer.
    bool cleared = false;       ///< An answer began on the part after the crash.
    bool had_answers = false;   ///< Answers began on the part before the crash.
    part_kind kind = part_kind::prompt_part;
    /// Some of the requests that had it, by their keys of the kind `whole_request`; empty
    /// for such a key itself.
    std::vector<name_key> requests;
};

/// \brief A block of the requests that have all of some parts. Of two states, the one
/// with the higher number is newer; with the same number, the lifted one.
struct part_block
{
    std::vector<name_key> parts; ///< Sorted.
    std::uint32_t number = 0;    ///< 1 at first; rises with each trial and renewed block.
    bool lifted = false;

    [[nodiscard]] name_key key() const;
    /// \brief Tells whether this state replaces another one of the same block.
    [[nodiscard]] bool is_newer_than(const part_block& other) const noexcept
    {
        return this->number != other.number ? this->number > other.number
                                            : this->lifted && !other.lifted;
    }
};

/// \brief What entries tell each other about crashes.
struct quarantine_digest
{
    std::vector<crash_report> crashes;
    std::vector<part_block> blocks;
};

/// \brief An entry's copy of the evidence about crashes and of the blocks that follow
/// from it.
///
/// Load pattern: a few requests a second, at any entry, have one part at which a server
/// ends as soon as it begins to answer; each crash also breaks the sound requests on that
/// server, which share all their other parts with the crashing ones. So one crash
/// implicates many parts, and no entry sees all crashes.
///
/// A crash implicates the parts of the requests that had received no event of their
/// answers at that server; if there is none, or all their parts are cleared, those that
/// had received the first ones just before. Besides the parts of its prompt, it
/// implicates the request itself, so that one that comes again is recognized at any
/// entry, with or without a prompt. A part on which an answer begins afterwards is
/// cleared. Parts that are implicated in `min_crashes` crashes and not cleared since are
/// blocked, unless other blocked parts explain these crashes: parts without any answer
/// before come first. Parts that are implicated in the same crashes can't be told apart,
/// so only requests with all of them are blocked; others go on, and the parts on which
/// they succeed leave the block. Requests that can't be told apart are blocked each by
/// itself, as no request is both. Their trials come soon, one after the other; as
/// soon as one of them explains a crash that another doesn't, the other is free.
///
/// Reports and blocks only ever grow (cleared, lifted, higher numbers), so copies that
/// are merged in any order, and more than once, agree. A block ends by a trial: one
/// request over the whole fleet, claimed at the platform's store. After `max_trials`
/// failed ones, it lasts.
class part_quarantine
{
  public:
    static constexpr std::size_t min_crashes = 3;
    /// How much a crash counts after events of the answer had arrived, of one before, if
    /// no answers had begun on the part earlier: five such crashes are enough.
    static constexpr double weight_after_event = 0.6;
    /// A crash counts when the other entries had this time to report it too, and all of
    /// them have been heard after it.
    static constexpr std::chrono::milliseconds settle_time{150};
    /// A crash counts after this time even if an entry hasn't been heard since.
    static constexpr std::chrono::milliseconds max_settle_time{900};
    /// A new process blocks nothing by itself before this age, as it doesn't hear the
    /// others yet.
    static constexpr std::chrono::milliseconds min_process_age{1'000};
    /// Time from a block, and from its first trial, to the next trial. Each trial may
    /// crash a server, so they are rare.
    static constexpr std::chrono::seconds first_trial_delay{60};
    static constexpr std::chrono::seconds next_trial_delay{600};
    /// Time to the first trial if answers had begun on all parts of the block: such a
    /// block is more likely to be wrong.
    static constexpr std::chrono::seconds known_part_trial_delay{5};
    /// Crashes within this time count once against a part on which answers had begun.
    static constexpr std::chrono::milliseconds common_cause_time{1'000};
    /// Crashes within this time count once against any part, except against a request
    /// that was at all these servers.
    static constexpr std::chrono::milliseconds simultaneous_time{5};
    /// Time from a block, and from its first trial, to the next trial of a request that
    /// can't be told apart from another blocked one.
    static constexpr std::chrono::milliseconds first_ambiguous_trial_delay{500};
    static constexpr std::chrono::seconds next_ambiguous_trial_delay{5};
    /// All trials are at least so far apart, so that not two of them are at the server
    /// that ends under one.
    static constexpr std::chrono::milliseconds trial_spacing{500};
    static constexpr std::uint32_t max_trials = 2;
    /// How long crashes that led to no block are remembered, and answers.
    static constexpr std::chrono::seconds memory{600};
    static constexpr std::chrono::seconds cleared_report_memory{10};
    static constexpr std::size_t max_reports = 1'024;
    static constexpr std::size_t max_parts_with_answers = 4'096;
    static constexpr std::size_t max_blocks = 256;
    static constexpr std::size_t max_parts_in_request = 64;
    /// Requests that a report names; those of the lowest hash.
    static constexpr std::size_t max_requests_in_report = 4;
    /// Largest number of reports in a digest; the newest ones go first.
    static constexpr std::size_t max_reports_in_digest = 128;

    explicit part_quarantine(time_point process_started_at)
        : evaluate_at(process_started_at + min_process_age)
    {
    }

    /// \brief Sets since when all reachable entries have been heard. Until that is well
    /// after a crash, reports of it may be missing, and a part that the sound requests
    /// share looks like the cause.
    void set_heard_since(time_point heard) noexcept { this->heard_since = heard; }

    /// \brief Tells whether there were crashes of which reports may be missing.
    [[nodiscard]] bool has_recent_crashes() const noexcept
    {
        return this->is_unevaluated;
    }

    /// \brief Records that a server ended before the answer to a request had begun.
    /// \param without_event whether nothing of the answer had arrived.
    void record_crash(const request_parts& parts, name_key server, bool without_event,
                      time_point now);

    /// \brief Records that an answer to a request has begun.
    void record_answer(std::span<const name_key> parts, time_point now);

    /// \brief Returns the block of a request's parts; null when it may be sent.
    [[nodiscard]] const part_block* blocked(std::span<const name_key> parts,
                                            time_point now);

    /// \brief Tells whether a trial of a block is due.
    [[nodiscard]] bool is_trial_due(name_key block, time_point now) const;
    /// \brief Returns how long until the next trial of a block; nothing after the last
    /// one.
    [[nodiscard]] std::optional<duration> time_to_trial(name_key block,
                                                        time_point now) const;

    /// \brief Returns the next state of the turn that a trial needs; nothing while the
    /// latest trial is too recent. A turn is kept and told like a block, but blocks
    /// nothing.
    [[nodiscard]] std::optional<part_block> next_trial_turn(time_point now) const;
    [[nodiscard]] static bool is_trial_turn(const part_block& block);

    /// \brief Merges another entry's evidence and blocks, or stored blocks.
    /// \returns whether anything was new, so that it should be passed on.
    bool apply(const quarantine_digest& digest, time_point now);

    /// \brief Returns what changed since a time, or everything.
    [[nodiscard]] quarantine_digest make_digest(std::optional<time_point> since,
                                                time_point now);

    /// \brief Returns the blocks whose state isn't known to be stored.
    [[nodiscard]] std::vector<part_block> unsaved_blocks(time_point now);
    void mark_saved(const part_block& block);
    /// \brief Records that the store may have lost all blocks.
    void mark_all_unsaved();

    /// \brief Takes the blocks that changed since the last call, for the log.
    [[nodiscard]] std::vector<part_block> take_changed_blocks(time_point now);

  private:
    struct crash_state
    {
        time_point happened_at{};
        time_point changed_at{};
        bool without_event = false;
        bool cleared = false;
        bool had_answers = false;
        part_kind kind = part_kind::prompt_part;
        std::vector<name_key> requests; ///< Sorted.

        /// Adds what another report of the same crash tells.
        /// \returns whether anything was new.
        bool merge(const crash_report& report);
    };
    struct block_state
    {
        part_block block;
        time_point learned_at{}; ///< Of the present number.
        time_point changed_at{};
        std::optional<part_block> saved;
        bool is_logged = false;
    };
    using crash_key = std::pair<name_key, name_key>; ///< Part and server.
    using server_set = std::set<name_key>;

    /// A part that may be the cause of crashes.
    struct candidate
    {
        name_key part;
        part_kind kind = part_kind::prompt_part;
        const server_set* servers = nullptr; ///< At which it is implicated.
        server_set without_event;    ///< Of these, where a request had received no event.
        std::set<name_key> requests; ///< That had it, by their keys with the prompt.
        std::size_t reports = 0;     ///< Of servers, also where others had no event.
        bool had_answers = false;
        double crash_weight = 0; ///< Crashes with a common cause count once.
    };

    crash_state& add_crash(const crash_key& key, time_point happened_at, time_point now);
    void clear_crashes(name_key part, time_point now);
    bool merge_block(const part_block& block, time_point now);
    /// Takes parts that are proved sound out of the blocks.
    void narrow_blocks(std::span<const name_key> parts, time_point now);
    [[nodiscard]] bool is_in_block(name_key part) const;
    /// Blocks what the settled evidence implicates.
    void evaluate(time_point now);
    [[nodiscard]] bool is_settled(time_point reported_at, time_point now) const;
    [[nodiscard]] std::map<name_key, server_set> open_crashes(time_point now) const;
    /// \param is_of_parts leaves out the blocks of requests.
    [[nodiscard]] server_set explained_crashes(const std::map<name_key, server_set>& open,
                                               bool is_of_parts) const;
    [[nodiscard]] candidate make_candidate(name_key part,
                                           const server_set& servers) const;
    /// Tells whether a server other than these ended at about a time.
    [[nodiscard]] bool has_other_end(const server_set& servers, time_point time) const;
    /// Tells whether the same crashes implicate two suspects.
    [[nodiscard]] static bool is_alike(const candidate& left, const candidate& right);
    /// Tells whether a suspect is a request that was in all crashes of another blocked
    /// one, so that either may be the cause.
    [[nodiscard]] bool is_tied_request(const candidate& suspect) const;
    [[nodiscard]] part_block make_block(const candidate& suspect,
                                        std::span<const candidate> candidates) const;
    struct request_crashes
    {
        name_key request;
        part_kind kind = part_kind::prompt_part;
        server_set servers;
    };
    /// Returns the crashes of a block of a request; none for any other.
    [[nodiscard]] request_crashes crashes_of_request(const part_block& block) const;
    /// Tells whether one of two keys is of the same request as the other, with its
    /// prompt.
    [[nodiscard]] bool are_of_same_request(name_key left, name_key right) const;
    [[nodiscard]] bool has_request(name_key part, name_key whole_request) const;
    /// Tells whether a prompt's part came with a request at all of its crashes.
    [[nodiscard]] bool is_part_of(const candidate& part, const candidate& request) const;
    /// Tells whether another blocked request has at least the same crashes.
    [[nodiscard]] bool is_ambiguous(const part_block& block) const;
    /// Returns the crashes that implicate all parts of a block.
    [[nodiscard]] server_set crashes_of_block(const part_block& block) const;
    /// Lifts the blocks whose crashes another block explains, beside more.
    void lift_explained_blocks(time_point now);
    [[nodiscard]] bool is_explained(const candidate& suspect, const server_set& explained,
                                    time_point now) const;
    [[nodiscard]] double weight_of(const candidate& suspect, name_key server) const;
    [[nodiscard]] std::vector<name_key> cleared_parts(const part_block& block) const;
    bool make_room_for_block();
    void expire(time_point now);

    std::map<crash_key, crash_state> crashes;
    std::map<name_key, block_state> blocks;
    std::map<name_key, time_point> answered; ///< When answers began last, by part.
    bool is_unevaluated = false;
    time_point evaluate_at{};
    time_point heard_since = time_point::max();
    time_point expire_at{};
};

} // namespace agateseam

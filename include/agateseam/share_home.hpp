/// The home's side of shared allowances: grants tokens to entries and counts them.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <agateseam/share_messages.hpp>
#include <agateseam/token_buckets.hpp>

namespace agateseam
{

/// \brief Keeps the buckets of the shards whose home this entry is.
///
/// A granted token stays reserved in the bucket until its holder has reported it as
/// delivered or returned, however late. So the inequality of `token_buckets` holds over
/// all entries together, and depends on no clock but the home's own. The tokens of a
/// holder that is gone count as delivered.
///
/// \remarks Safe from any thread. It takes a lock; most requests are admitted without it.
class share_home
{
  public:
    /// \param time must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<share_home>>
    create(const clock_source& time);

    /// \brief Replaces the limits of all workspaces.
    void configure(std::span<const allowance_limits> next);

    /// \brief Replaces the list of entries with the platform's.
    ///
    /// An entry that was listed and no longer is counts as gone: the tokens that it held
    /// count as delivered. Only listed entries get grants.
    void set_entries(std::span<const std::string> listed);

    /// \brief Becomes the home of a shard.
    ///
    /// The buckets begin empty, because the previous home may have granted all tokens. At
    /// the shard's first home, a workspace that this home has not had before begins full.
    ///
    /// \param epoch greater than that of every earlier home of the shard.
    /// \param first whether the shard never had a home, so that no entry holds tokens.
    void begin(std::uint32_t shard, std::uint64_t epoch, bool first);

    /// \brief Stops being the home of a shard.
    void end(std::uint32_t shard);

    /// \brief Returns the entries that have not answered the shard's census.
    [[nodiscard]] std::vector<std::string>
    entries_without_census(std::uint32_t shard) const;

    /// \brief Returns the censuses that some entry has not answered.
    [[nodiscard]] std::vector<share_census> open_censuses() const;

    /// \brief Processes an entry's census answer; a repeated or late one changes nothing.
    void handle_census_answer(const share_census_answer& answer);

    /// \brief Counts what a holder reports, and grants the tokens that are available.
    [[nodiscard]] share_answer handle_report(const share_report& report);

    /// \brief Returns the tokens of a workspace that could be granted at once.
    [[nodiscard]] double level(std::string_view workspace) const;

  private:
    struct shard_state
    {
        std::uint64_t epoch = 0;
        bool first = false;                   ///< Whether the shard had no home before.
        std::set<std::string> without_census; ///< Entries without a census answer.
    };

    /// The accounts of one incarnation of an entry in one shard.
    struct holder_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; ///< Of the newest report.
        std::map<std::string, share_account, std::less<>> accounts;
    };

    /// The shard, and the VM of the entry that holds tokens of it.
    using holder_key = std::pair<std::uint32_t, std::string>;

    explicit share_home(std::unique_ptr<token_buckets> initial_buckets)
        : buckets(std::move(initial_buckets))
    {
    }

    void configure_buckets();
    void write_off(const holder_state& holder);
    void
    add_outstanding_to_new_buckets(const std::set<std::string, std::less<>>& previous);
    [[nodiscard]] holder_state* current_holder(std::uint32_t shard, const std::string& vm,
                                               std::uint64_t incarnation);
    void apply_account(holder_state& holder, const share_account& reported);
    [[nodiscard]] share_grant grant(share_account& account, const share_report_line& line,
                                    bool may_grant);

    mutable std::mutex mutex;
    std::unique_ptr<token_buckets> buckets;
    std::map<std::string, allowance_limits, std::less<>> limits;
    std::set<std::string, std::less<>> configured;   ///< Workspaces with a bucket here.
    std::set<std::string, std::less<>> started_full; ///< Those that have begun full once.
    std::set<std::string> entries;
    std::map<std::uint32_t, shard_state> shards;
    std::map<holder_key, holder_state> holders;
};

} // namespace agateseam

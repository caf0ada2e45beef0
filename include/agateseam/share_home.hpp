/// The home's side of shared allowances: grants tokens to entries and counts them back.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <agateseam/allowance.hpp>
#include <agateseam/share_messages.hpp>

namespace agateseam
{

/// \brief Keeps the buckets of the shards whose home this entry is.
///
/// A granted token stays reserved in the bucket until its holder has reported it as
/// delivered or returned, however late, so that the inequality of `allowance` holds over
/// all entries together with no clock but the home's own. The tokens of a holder that is
/// gone count as delivered.
///
/// \remarks Safe from any thread; takes a lock, so it is off the path of most requests.
class share_home
{
  public:
    /// \param time must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<share_home>>
    create(const clock_source& time);

    /// \brief Takes over the terms of all workspaces.
    void configure(std::span<const allowance_terms> terms);

    /// \brief Takes over the platform's list of entries.
    ///
    /// Entries that were listed and are not any more are gone: what they held counts as
    /// delivered. Only listed entries get grants.
    void set_entries(std::span<const std::string> listed);

    /// \brief Becomes the home of a shard.
    ///
    /// The buckets begin empty, because the home before may have granted all it had. At
    /// the first home of all, a workspace that it has not known before begins full.
    ///
    /// \param epoch greater than that of every earlier home of the shard.
    /// \param first whether the shard never had a home, so that nothing is held.
    void begin(std::uint32_t shard, std::uint64_t epoch, bool first);

    /// \brief Stops being the home of a shard.
    void end(std::uint32_t shard);

    /// \brief Returns the entries whose census answers are missing.
    [[nodiscard]] std::vector<std::string> census_due(std::uint32_t shard) const;

    /// \brief Returns the shards that wait for census answers.
    [[nodiscard]] std::vector<share_census> open_censuses() const;

    /// \brief Takes an entry's answer; a repeated or late one changes nothing.
    void take(const share_census_answer& answer);

    /// \brief Counts what a holder reports, and grants what fits.
    [[nodiscard]] share_answer take(const share_report& report);

    /// \brief Returns the tokens of a workspace that could be granted at once.
    [[nodiscard]] double level(std::string_view workspace) const;

  private:
    struct shard_state
    {
        std::uint64_t epoch = 0;
        bool first = false;            ///< Whether the shard had no home before.
        std::set<std::string> missing; ///< Entries that have not answered the census.
    };

    /// What one incarnation of an entry holds of one shard.
    struct holder_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::map<std::string, share_account, std::less<>> accounts;
    };

    using holder_key = std::pair<std::uint32_t, std::string>;

    explicit share_home(std::unique_ptr<allowance> made)
        : buckets(std::move(made))
    {
    }

    void configure_buckets();
    void write_off(const holder_state& holder);
    void adopt_missing(const std::set<std::string, std::less<>>& known);
    [[nodiscard]] holder_state* holder_of(std::uint32_t shard, const std::string& name,
                                          std::uint64_t incarnation);
    void settle(holder_state& holder, const share_account& reported);
    [[nodiscard]] share_grant grant(share_account& account, const share_line& line,
                                    bool fresh);

    mutable std::mutex mutex;
    std::unique_ptr<allowance> buckets;
    std::map<std::string, allowance_terms, std::less<>> terms;
    std::set<std::string, std::less<>> configured; ///< Workspaces with a bucket here.
    std::set<std::string, std::less<>> seen;       ///< Those that ever had one.
    std::set<std::string> entries;
    std::map<std::uint32_t, shard_state> shards;
    std::map<holder_key, holder_state> holders;
};

} // namespace agateseam

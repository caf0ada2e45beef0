/// Messages by which entries share each workspace's allowance.
///
/// Every workspace belongs to a shard, and every shard has one home entry, which keeps
/// the workspace's bucket. Entries hold tokens that the home has granted. Counters in
/// these messages never fall, so that lost, repeated and reordered messages do no harm.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// A count of tokens. In the messages of one incarnation it never falls.
using token_count = std::uint64_t;

/// \brief One workspace's account at an entry.
struct share_account
{
    std::string workspace;
    token_count granted = 0;   ///< Received from the home since the process began.
    token_count delivered = 0; ///< Delivered to callers since then.
    token_count returned = 0;  ///< Given back to the home since then.

    /// \brief Returns the tokens that the entry may still deliver.
    [[nodiscard]] token_count held() const noexcept
    {
        const token_count used = this->delivered + this->returned;
        return this->granted > used ? this->granted - used : 0;
    }
};

/// \brief The part of a report that concerns one workspace.
struct share_report_line
{
    share_account account;
    std::vector<token_count> waiting; ///< The reservations that wait, oldest first.
    token_count wanted = 0;           ///< Tokens wanted for the expected demand.
};

/// \brief An entry's report to the home of a shard.
struct share_report
{
    std::string holder;            ///< The reporting entry's VM.
    std::uint64_t incarnation = 0; ///< The incarnation of the entry's process.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;    ///< The epoch of the home that the entry knows.
    std::uint64_t sequence = 0; ///< Rises with each report of one incarnation.
    std::vector<share_report_line> lines;
};

/// \brief Whether the entry that answers is the shard's home.
enum class share_standing : std::uint8_t
{
    not_home,    ///< Another entry is the home, or there is none yet.
    taking_over, ///< It is the home, but has not had every entry's census answer yet.
    home         ///< It is the home and grants tokens.
};

/// \brief The home's answer for one workspace.
struct share_grant
{
    std::string workspace;
    token_count granted = 0; ///< The total granted to this incarnation of the entry.
    bool scarce = false;     ///< Whether the home wants unused tokens back.
    double limit = 0;        ///< The workspace's burst, in tokens.
    double level = 0;        ///< Tokens left at the home.
    duration retry_after{0}; ///< Until the oldest refused reservation could be granted.
};

/// \brief The answer to a report.
struct share_answer
{
    share_standing standing = share_standing::not_home;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;    ///< The epoch of the entry that answers, when it is home.
    std::uint64_t sequence = 0; ///< The sequence of the report that is answered.
    std::string home;           ///< The home's VM, when the entry knows another home.
    std::vector<share_grant> grants;
};

/// \brief A new home's request to every entry to report the tokens that it holds.
///
/// \remarks An entry that has answered accepts no grant of an older epoch.
struct share_census
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string home;
};

/// \brief The answer to a census.
struct share_census_answer
{
    std::string holder; ///< The answering entry's VM.
    std::uint64_t incarnation = 0;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0; ///< The newest epoch that the entry knows.
    std::vector<share_account> accounts;
};

} // namespace agateseam

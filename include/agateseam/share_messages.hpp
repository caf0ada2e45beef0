/// Messages by which entries share each workspace's allowance.
///
/// Every workspace belongs to a shard, and every shard has one home entry, which keeps
/// the workspace's bucket. Entries hold tokens that the home has granted. Counters in
/// these messages only rise, so that lost, repeated and crossed messages do no harm.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// A count of tokens; only rises in the messages of one incarnation.
using token_count = std::uint64_t;

/// \brief One workspace's account at an entry.
struct share_account
{
    std::string workspace;
    token_count granted = 0;   ///< Taken in since the entry began.
    token_count delivered = 0; ///< Delivered to callers since then.
    token_count returned = 0;  ///< Given back to the home since then.

    /// \brief Returns the tokens that the entry may still deliver.
    [[nodiscard]] token_count held() const noexcept
    {
        const token_count gone = this->delivered + this->returned;
        return this->granted > gone ? this->granted - gone : 0;
    }
};

/// \brief What an entry asks for one workspace.
struct share_line
{
    share_account account;
    std::vector<token_count> waiting; ///< Reservations that wait, oldest first.
    token_count wanted = 0;           ///< Tokens for the demand of the near future.
};

/// \brief An entry's report to the home of a shard.
struct share_report
{
    std::string holder;            ///< The entry's VM.
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;    ///< Of the home that the entry knows.
    std::uint64_t sequence = 0; ///< Rises with each report of one incarnation.
    std::vector<share_line> lines;
};

/// \brief What the asked entry is to a shard.
enum class share_standing : std::uint8_t
{
    not_home,    ///< Another entry is the home, or none yet.
    taking_over, ///< The home, but it has not heard from every entry yet.
    home         ///< The home.
};

/// \brief The home's answer for one workspace.
struct share_grant
{
    std::string workspace;
    token_count granted = 0; ///< In all, to this incarnation of the entry.
    bool scarce = false;     ///< Whether idle tokens are wanted back.
    double limit = 0;        ///< The workspace's burst, in tokens.
    double level = 0;        ///< Tokens left at the home.
    duration retry_after{0}; ///< Until the oldest refused reservation could fit.
};

/// \brief The answer to a report.
struct share_answer
{
    share_standing standing = share_standing::not_home;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Of the report.
    std::string home;           ///< The home's VM, when the asked entry knows of another.
    std::vector<share_grant> grants;
};

/// \brief A new home's question to every entry: what do you hold?
///
/// \remarks An entry that has answered takes no grant of an older epoch.
struct share_census
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string home;
};

/// \brief The answer to a census.
struct share_census_answer
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0; ///< The newest that the entry knows.
    std::vector<share_account> accounts;
};

} // namespace agateseam

/// Dozens of entries that share allowances in virtual time, over a network, a store and a
/// platform's list that can fail.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include <pcg_random.hpp>

#include <agateseam/share_coordinator.hpp>
#include <agateseam/static_admission.hpp>

namespace agateseam::bench
{

/// \brief How entries decide.
enum class share_policy : std::uint8_t
{
    static_split, ///< Each entry holds the same part.
    time_leases,  ///< Shared; a home holds its shard by a lease renewed in the store.
    no_expiry     ///< Shared; a home stays until the platform's list drops it.
};

/// \brief Returns "static_split", "time_leases" or "no_expiry".
[[nodiscard]] std::string_view to_string(share_policy policy) noexcept;

/// \brief Runs actions in the order of their times.
class virtual_loop
{
  public:
    void at(time_point due, std::function<void()> action);
    void after(duration wait, std::function<void()> action);
    void run_until(time_point end);

    manual_clock time;

  private:
    struct event
    {
        time_point due;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const event& left, const event& right) noexcept
        {
            return std::tie(left.due, left.number) > std::tie(right.due, right.number);
        }
    };

    std::priority_queue<event> events;
    std::uint64_t next_number = 0;
};

/// \brief What a fleet sent.
struct fleet_counts
{
    std::uint64_t messages = 0;
    std::uint64_t store_calls = 0;
};

class entry_model;

/// \brief The entries with what lies between them.
class fleet_model
{
  public:
    fleet_model(virtual_loop& shared, share_policy chosen, std::size_t entry_count,
                std::vector<allowance_limits> workspaces, std::uint64_t seed);
    ~fleet_model();
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;

    /// \brief Reserves at an entry; `done` is called unless the entry dies before.
    void ask(std::size_t entry, const std::string& workspace, double tokens,
             share_holder::decision_callback done);

    /// \returns false when the entry may not deliver any more.
    [[nodiscard]] bool deliver(std::size_t entry, const std::string& workspace,
                               double tokens);
    void release(std::size_t entry, const std::string& workspace, double tokens);

    /// \brief Returns the entry that is a workspace's home; the first when none is.
    [[nodiscard]] std::size_t home_of(const std::string& workspace) const;

    /// \brief Returns the part of a workspace's allowance that nobody can grant now.
    [[nodiscard]] double unserved(const std::string& workspace) const;

    void kill(std::size_t entry);
    void pause(std::size_t entry, duration span);
    void part(std::size_t first_group, bool parted); ///< Entries below it from the rest.
    void set_store_down(bool down);
    void set_losing_answers(bool losing);

    [[nodiscard]] bool alive(std::size_t entry) const;
    [[nodiscard]] bool reachable(std::size_t entry) const; ///< Neither dead nor paused.
    [[nodiscard]] time_point paused_until(std::size_t entry) const;

    fleet_counts counts;

  private:
    friend class entry_model;

    void tick();
    void refresh_lists();
    [[nodiscard]] bool connected(std::size_t from, std::size_t to) const;
    [[nodiscard]] duration latency();
    [[nodiscard]] std::size_t index_of(const std::string& vm) const;
    void carry(std::size_t from, std::size_t to, std::function<void()> action);
    void renew(std::size_t entry);
    [[nodiscard]] std::vector<std::string> leased() const;

    virtual_loop* loop;
    share_policy policy;
    std::vector<allowance_limits> terms;
    pcg32 random;
    std::vector<std::unique_ptr<entry_model>> entries;
    std::map<std::uint32_t, stored_shard_home_record> records;
    std::vector<std::string> listed;
    std::size_t parted_below = 0;
    bool store_down = false;
    bool losing_answers = false;
};

} // namespace agateseam::bench

/// Models dozens of entries that share allowances in virtual time. The network between
/// them and the store can fail, and the platform's list of entries lags behind.
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

/// \brief How the entries divide each workspace's allowance.
enum class share_policy : std::uint8_t
{
    static_split, ///< Each entry holds an equal, fixed part.
    time_leases, ///< Shared; a home keeps its shard through a lease renewed in the store.
    no_expiry    ///< Shared; a home keeps its shard until the platform's list drops it.
};

/// \brief Returns "static_split", "time_leases" or "no_expiry".
[[nodiscard]] std::string_view to_string(share_policy policy) noexcept;

/// \brief Runs actions in the order of their virtual due times.
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
        std::uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const event& left, const event& right) noexcept
        {
            return std::tie(left.due, left.sequence) >
                   std::tie(right.due, right.sequence);
        }
    };

    std::priority_queue<event> events;
    std::uint64_t last_sequence = 0;
};

/// \brief Counts of what the entries of a fleet sent.
struct fleet_counts
{
    std::uint64_t messages = 0;
    std::uint64_t store_calls = 0;
};

class entry_model;

/// \brief Models the entries, their network, the store and the platform's list.
class fleet_model
{
  public:
    fleet_model(virtual_loop& event_loop, share_policy fleet_policy,
                std::size_t entry_count, std::vector<allowance_limits> workspaces,
                std::uint64_t seed);
    ~fleet_model();
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;

    /// \brief Reserves tokens at an entry; `done` is called unless the entry dies first.
    void reserve(std::size_t entry, const std::string& workspace, double tokens,
                 share_holder::decision_callback done);

    /// \brief Delivers reserved tokens at an entry.
    /// \returns false when the entry's lease no longer allows deliveries.
    [[nodiscard]] bool deliver(std::size_t entry, const std::string& workspace,
                               double tokens);
    void release(std::size_t entry, const std::string& workspace, double tokens);

    /// \brief Returns the index of a workspace's home entry; 0 when it has no home.
    [[nodiscard]] std::size_t home_of(const std::string& workspace) const;

    /// \brief Returns the share (0 to 1) of a workspace's allowance that no running entry
    /// can grant now.
    [[nodiscard]] double unserved_share(const std::string& workspace) const;

    void kill(std::size_t entry);
    void pause(std::size_t entry, duration length);
    /// \brief Cuts the network between the entries below an index and the others, or
    /// restores it.
    void set_partition(std::size_t first_group_size, bool partitioned);
    void set_store_down(bool down);
    /// \brief Makes the store apply writes whose answers never arrive.
    void set_lose_write_answers(bool lose);

    [[nodiscard]] bool alive(std::size_t entry) const;
    /// \brief Returns whether an entry is neither dead nor paused.
    [[nodiscard]] bool reachable(std::size_t entry) const;
    [[nodiscard]] time_point paused_until(std::size_t entry) const;

    fleet_counts counts;

  private:
    friend class entry_model;

    void poll_entries();
    void refresh_entry_lists();
    [[nodiscard]] bool connected(std::size_t from, std::size_t to) const;
    [[nodiscard]] duration draw_latency();
    [[nodiscard]] std::size_t index_of(const std::string& vm) const;
    void send_message(std::size_t from, std::size_t to, std::function<void()> action);
    void renew_lease(std::size_t entry);
    [[nodiscard]] std::vector<std::string> leased_entries() const;

    virtual_loop* loop;
    share_policy policy;
    std::vector<allowance_limits> limits;
    pcg32 random;
    std::vector<std::unique_ptr<entry_model>> entries;
    std::map<std::uint32_t, stored_shard_home_record> records;
    std::vector<std::string> listed_entries;
    std::size_t partition_boundary = 0;
    bool store_down = false;
    bool lose_write_answers = false;
};

} // namespace agateseam::bench

/// Coordinates one entry's part in the sharing of allowances: it runs the entry's holder
/// and home, and finds the homes of shards.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <agateseam/share_holder.hpp>
#include <agateseam/share_home.hpp>
#include <agateseam/share_transport.hpp>

namespace agateseam
{

/// \brief Reports to the homes of shards, answers as a home, and becomes the home of
/// shards that have none.
///
/// The owner calls `poll` every few milliseconds and after each `reserve_async`.
///
/// \remarks Safe from any thread. The transport must not call back after the object has
/// been destroyed.
class share_coordinator
{
  public:
    /// \param time and `transport` must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<share_coordinator>>
    create(const clock_source& time, std::string vm, std::uint64_t incarnation,
           const share_holder_options& options, share_transport& transport);

    /// \brief Replaces the limits of all workspaces.
    void configure(std::span<const allowance_limits> limits);

    /// \brief Replaces the list of entries with the platform's.
    /// \remarks Call it with each list that is read, also when nothing has changed: an
    /// entry takes a shard over only when its home is missing from a list that was
    /// requested after the shard's record was read.
    void set_entries(std::span<const std::string> listed);

    /// \brief Reserves tokens, and asks the home if the held tokens are not enough.
    /// \param done called once: at once or later.
    void reserve_async(std::string_view workspace, double tokens,
                       share_holder::decision_callback done);

    /// \brief Sends the reports and censuses that are due.
    void poll();

    /// \brief Answers another entry's report.
    [[nodiscard]] share_answer handle_report(const share_report& report);

    /// \brief Answers another entry's census.
    [[nodiscard]] share_census_answer answer_census(const share_census& census);

    /// \brief Returns the admission that uses the tokens held by this entry.
    [[nodiscard]] share_holder& holder() noexcept { return *this->own_holder; }

    /// \brief Tells whether this entry is a shard's home and grants tokens.
    [[nodiscard]] bool serves_as_home(std::uint32_t shard) const;

  private:
    /// What is known of a shard's home.
    struct route
    {
        std::string home;             ///< The home's VM; empty while unknown.
        bool read_pending = false;    ///< Whether a read of the record is under way.
        time_point next_read;         ///< The earliest time of the record's next read.
        duration read_interval{0};    ///< Before `next_read`; doubles with each read.
        std::uint64_t gone_epoch = 0; ///< Epoch of a home that the list did not name.
        std::uint64_t gone_list = 0;  ///< The number of that list.
    };

    share_coordinator(const clock_source& clock, std::string vm_name,
                      std::uint64_t process_incarnation, share_transport& entry_transport)
        : time(&clock)
        , vm(std::move(vm_name))
        , incarnation(process_incarnation)
        , transport(&entry_transport)
    {
    }

    [[nodiscard]] std::string report_target(std::uint32_t shard);
    void send_report(std::uint32_t shard);
    void send_censuses();
    void handle_answer(std::uint32_t shard, const std::string& asked_vm,
                       const std::optional<share_answer>& answer);
    void read_home_record(std::uint32_t shard);
    void handle_home_record(std::uint32_t shard,
                            const result<stored_shard_home_record>& stored);
    void take_over(std::uint32_t shard, const stored_shard_home_record& stored);
    [[nodiscard]] bool should_take_over(std::uint32_t shard,
                                        const shard_home_record& record);
    void set_home(std::uint32_t shard, const std::string& home_vm);

    const clock_source* time;
    std::string vm;
    std::uint64_t incarnation;
    share_transport* transport;
    std::unique_ptr<share_holder> own_holder;
    std::unique_ptr<share_home> own_home;
    mutable std::mutex mutex;
    std::vector<std::string> entries;
    std::uint64_t list_number = 0; ///< Rises with each list.
    std::map<std::uint32_t, route> routes;
    std::set<std::uint32_t> home_shards; ///< Shards whose home this entry has become.
    /// The shard and VM of each census that is under way.
    std::set<std::pair<std::uint32_t, std::string>> pending_censuses;
};

} // namespace agateseam

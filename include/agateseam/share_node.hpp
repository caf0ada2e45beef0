/// One entry's part in the sharing of allowances: holder, home and the way to homes.
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

/// \brief Reports to homes, serves as a home, and takes shards over.
///
/// The driver calls `poll` every few milliseconds and after each `ask`.
///
/// \remarks Safe from any thread. The transport must not call back after the object's
/// end.
class share_node
{
  public:
    /// \param time and `transport` must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<share_node>>
    create(const clock_source& time, std::string vm, std::uint64_t incarnation,
           const share_options& options, share_transport& transport);

    /// \brief Takes over the terms of all workspaces.
    void configure(std::span<const allowance_terms> terms);

    /// \brief Takes over the entries that the platform lists.
    /// \remarks Call it with each list read, also when nothing has changed: a home must
    /// be missing from a list that was asked for after its record was read.
    void set_entries(std::span<const std::string> listed);

    /// \brief Reserves, if need be by asking the home.
    /// \param done called once, at once or later.
    void ask(std::string_view workspace, double tokens, share_holder::callback done);

    /// \brief Sends what is due.
    void poll();

    /// \brief Serves another entry's report.
    [[nodiscard]] share_answer take(const share_report& report);

    /// \brief Serves another entry's census.
    [[nodiscard]] share_census_answer take(const share_census& census);

    /// \brief Returns the admission from tokens that are held here.
    [[nodiscard]] share_holder& holder() noexcept { return *this->own; }

    /// \brief Tells whether this entry is a shard's home and grants.
    [[nodiscard]] bool serves(std::uint32_t shard) const;

  private:
    /// The way to a shard's home.
    struct route
    {
        std::string home;             ///< Empty while unknown.
        bool reading = false;         ///< Whether a read of the record is under way.
        time_point read_next;         ///< Before it the record isn't read again.
        duration read_pause{0};       ///< Before the read after the next.
        std::uint64_t gone_epoch = 0; ///< Of a home that the list did not name.
        std::uint64_t gone_list = 0;  ///< The number of that list.
    };

    share_node(const clock_source& clock, std::string name, std::uint64_t start,
               share_transport& carrier)
        : time(&clock)
        , vm(std::move(name))
        , incarnation(start)
        , transport(&carrier)
    {
    }

    [[nodiscard]] std::string target_of(std::uint32_t shard);
    void send_report(std::uint32_t shard);
    void send_censuses();
    void answered(std::uint32_t shard, const std::string& asked,
                  const std::optional<share_answer>& answer);
    void look_up(std::uint32_t shard);
    void looked_up(std::uint32_t shard, const result<stored_share_record>& found);
    void take_over(std::uint32_t shard, const stored_share_record& found);
    [[nodiscard]] bool may_begin(std::uint32_t shard, const share_record& record);
    void note_home(std::uint32_t shard, const std::string& home);

    const clock_source* time;
    std::string vm;
    std::uint64_t incarnation;
    share_transport* transport;
    std::unique_ptr<share_holder> own;
    std::unique_ptr<share_home> home;
    mutable std::mutex mutex;
    std::vector<std::string> entries;
    std::uint64_t list_number = 0; ///< Rises with each list.
    std::map<std::uint32_t, route> routes;
    std::set<std::uint32_t> serving;
    std::set<std::pair<std::uint32_t, std::string>> asking; ///< Censuses under way.
};

} // namespace agateseam

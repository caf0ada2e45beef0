#include <bench/allowance_fleet.hpp>

#include <algorithm>

namespace agateseam::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration poll_interval = milliseconds(10);
constexpr duration list_refresh_interval = milliseconds(500);
constexpr duration list_removal_delay = seconds(5);
constexpr duration call_timeout = milliseconds(200);
constexpr duration store_latency = milliseconds(3);
constexpr duration lease_duration = seconds(3);
constexpr duration lease_renewal_interval = seconds(1);
/// Time that a reservation may deliver past the lease.
constexpr duration max_delivery_duration = seconds(12);
constexpr double max_clock_drift = 0.1; ///< Relative drift between two clocks.
constexpr int min_latency_us = 1'000;
constexpr int max_latency_us = 2'000;

} // namespace

std::string_view to_string(share_policy policy) noexcept
{
    switch (policy)
    {
    case share_policy::static_split:
        return "static_split";
    case share_policy::time_leases:
        return "time_leases";
    default:
        return "no_expiry";
    }
}

void virtual_loop::at(time_point due, std::function<void()> action)
{
    this->events.push({due, ++this->last_sequence, std::move(action)});
}

void virtual_loop::after(duration wait, std::function<void()> action)
{
    this->at(this->time.now() + wait, std::move(action));
}

void virtual_loop::run_until(time_point end)
{
    while (!this->events.empty() && this->events.top().due <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->time.set(std::max(next.due, this->time.now()));
        next.action();
    }
    this->time.set(end);
}

/// Models one entry: its admission state and its calls to other entries and the store.
class entry_model final : public share_transport
{
  public:
    entry_model(fleet_model& owner, std::size_t entry_index)
        : fleet(&owner)
        , index(entry_index)
        , vm("entry-" + std::to_string(entry_index + 1))
    {
        this->start();
    }

    void start()
    {
        ++this->incarnation;
        this->lease_renewed_at = this->fleet->loop->time.now();
        if (this->fleet->policy == share_policy::static_split)
        {
            const auto count = this->fleet->listed_entries.size();
            this->split = std::move(*static_admission::create(
                this->fleet->loop->time, static_cast<unsigned>(count)));
            configuration current;
            for (const allowance_limits& each : this->fleet->limits)
            {
                current.workspaces[each.workspace].rate = each.rate;
                current.workspaces[each.workspace].burst = each.burst;
            }
            this->split->configure(current);
            return;
        }
        if (this->node)
        {
            this->retired.push_back(std::move(this->node));
        }
        this->node = std::move(*share_coordinator::create(this->fleet->loop->time,
                                                          this->vm, this->incarnation,
                                                          share_holder_options{}, *this));
        this->node->configure(this->fleet->limits);
        this->node->set_entries(this->fleet->listed_entries);
    }

    [[nodiscard]] bool is_running() const
    {
        return this->alive && this->fleet->loop->time.now() >= this->paused_end;
    }

    /// Returns whether the lease, extended by a duration, is still valid; without leases,
    /// always true.
    [[nodiscard]] bool has_lease(duration extension) const
    {
        return this->fleet->policy != share_policy::time_leases ||
               this->fleet->loop->time.now() <
                   this->lease_renewed_at + lease_duration + extension;
    }

    void send_report(const std::string& target, const share_report& report,
                     answer_callback done) override
    {
        this->call<share_answer>(target, std::move(done),
                                 [report](entry_model& at)
                                 { return at.serve_report(report); });
    }

    void send_census(const std::string& target, const share_census& census,
                     census_callback done) override
    {
        this->call<share_census_answer>(target, std::move(done),
                                        [census](entry_model& at)
                                        { return at.node->answer_census(census); });
    }

    void read_record(std::uint32_t shard, read_callback done) override
    {
        ++this->fleet->counts.store_calls;
        this->fleet->loop->after(
            store_latency,
            [this, shard, done = std::move(done)]
            {
                if (!this->is_running())
                {
                    return;
                }
                if (this->fleet->store_down)
                {
                    done(fail(error_code::unavailable, "read", "store", "down"));
                    return;
                }
                done(this->fleet->records[shard]);
            });
    }

    void write_record(std::uint32_t shard, const shard_home_record& record,
                      std::uint64_t expected, write_callback done) override
    {
        ++this->fleet->counts.store_calls;
        this->fleet->loop->after(
            store_latency,
            [this, shard, record, expected, done = std::move(done)]
            {
                stored_shard_home_record& stored = this->fleet->records[shard];
                if (this->fleet->store_down || stored.version != expected)
                {
                    done(fail(error_code::conflict, "write", "store", "refused"));
                    return;
                }
                stored = {record, expected + 1};
                if (this->fleet->lose_write_answers)
                {
                    done(fail(error_code::timeout, "write", "store", "lost"));
                    return;
                }
                done(stored.version);
            });
    }

    fleet_model* fleet;
    std::size_t index;
    std::string vm;
    std::uint64_t incarnation = 0;
    bool alive = true;
    time_point paused_end;
    time_point lease_renewed_at;
    time_point stored_renewal_at;
    std::unique_ptr<share_coordinator> node;
    std::unique_ptr<static_admission> split;

  private:
    [[nodiscard]] share_answer serve_report(const share_report& report)
    {
        return this->has_lease(duration{0}) ? this->node->handle_report(report)
                                            : share_answer{};
    }

    /// Calls another entry; the callback gets no value when no answer comes in time.
    template <typename Answer>
    void call(const std::string& target,
              std::function<void(const std::optional<Answer>&)> done,
              std::function<Answer(entry_model&)> handler)
    {
        auto pending = std::make_shared<bool>(true);
        const auto finish = [this, pending, done, start = this->incarnation](
                                const std::optional<Answer>& answer)
        {
            if (std::exchange(*pending, false) && this->incarnation == start)
            {
                done(answer);
            }
        };
        const std::size_t target_index = this->fleet->index_of(target);
        this->fleet->send_message(
            this->index, target_index,
            [this, target_index, handler, finish]
            {
                const Answer answer = handler(*this->fleet->entries[target_index]);
                this->fleet->send_message(target_index, this->index,
                                          [answer, finish] { finish(answer); });
            });
        this->fleet->loop->after(call_timeout,
                                 [this, finish]
                                 {
                                     if (this->is_running())
                                     {
                                         finish(std::nullopt);
                                     }
                                 });
    }

    std::vector<std::unique_ptr<share_coordinator>>
        retired; ///< Kept alive because pending callbacks may still refer to them.
};

fleet_model::fleet_model(virtual_loop& event_loop, share_policy fleet_policy,
                         std::size_t entry_count,
                         std::vector<allowance_limits> workspaces, std::uint64_t seed)
    : loop(&event_loop)
    , policy(fleet_policy)
    , limits(std::move(workspaces))
    , random(seed)
{
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->listed_entries.push_back("entry-" + std::to_string(at + 1));
    }
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->entries.push_back(std::make_unique<entry_model>(*this, at));
    }
    this->poll_entries();
    this->refresh_entry_lists();
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->renew_lease(at);
    }
}

fleet_model::~fleet_model() = default;

void fleet_model::poll_entries()
{
    if (this->policy == share_policy::static_split)
    {
        return;
    }
    for (const auto& each : this->entries)
    {
        if (each->is_running() && each->has_lease(duration{0}))
        {
            each->node->poll();
        }
    }
    this->loop->after(poll_interval, [this] { this->poll_entries(); });
}

/// Returns the entries whose leases in the store may not yet have expired: each one is
/// listed until its lease has expired on every clock, drift included, and the deliveries
/// that may follow it have ended.
std::vector<std::string> fleet_model::leased_entries() const
{
    constexpr auto reclaim_delay = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(lease_duration) * (1 + max_clock_drift) +
        max_delivery_duration);
    std::vector<std::string> names;
    for (const auto& each : this->entries)
    {
        if (this->loop->time.now() < each->stored_renewal_at + reclaim_delay)
        {
            names.push_back(each->vm);
        }
    }
    return names;
}

void fleet_model::refresh_entry_lists()
{
    if (this->policy == share_policy::static_split)
    {
        return;
    }
    for (const auto& each : this->entries)
    {
        const bool leases = this->policy == share_policy::time_leases;
        if (each->is_running() && !this->store_down)
        {
            this->counts.store_calls += leases ? 1 : 0;
            each->node->set_entries(leases ? this->leased_entries()
                                           : this->listed_entries);
        }
    }
    this->loop->after(list_refresh_interval, [this] { this->refresh_entry_lists(); });
}

/// Renews an entry's lease and schedules the next renewal. An entry whose lease has
/// expired for longer than its deliveries last starts a new incarnation.
void fleet_model::renew_lease(std::size_t entry)
{
    if (this->policy != share_policy::time_leases)
    {
        return;
    }
    entry_model& model = *this->entries[entry];
    if (model.is_running())
    {
        ++this->counts.store_calls;
        if (!this->store_down)
        {
            if (!model.has_lease(max_delivery_duration))
            {
                model.start();
            }
            model.lease_renewed_at = this->loop->time.now();
            model.stored_renewal_at = model.lease_renewed_at + store_latency;
        }
    }
    this->loop->after(lease_renewal_interval,
                      [this, entry] { this->renew_lease(entry); });
}

bool fleet_model::connected(std::size_t from, std::size_t to) const
{
    return (from < this->partition_boundary) == (to < this->partition_boundary);
}

duration fleet_model::draw_latency()
{
    const auto spread = static_cast<std::uint32_t>(max_latency_us - min_latency_us);
    return std::chrono::microseconds(min_latency_us + this->random(spread));
}

std::size_t fleet_model::index_of(const std::string& vm) const
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&](const auto& each) { return each->vm == vm; });
    return static_cast<std::size_t>(found - this->entries.begin());
}

void fleet_model::send_message(std::size_t from, std::size_t to,
                               std::function<void()> action)
{
    ++this->counts.messages;
    if (!this->connected(from, to))
    {
        return;
    }
    this->loop->after(this->draw_latency(),
                      [this, to, action = std::move(action)]
                      {
                          const entry_model& target = *this->entries[to];
                          if (target.is_running())
                          {
                              action();
                          }
                          else if (target.alive)
                          {
                              this->loop->at(target.paused_end, action);
                          }
                      });
}

void fleet_model::reserve(std::size_t entry, const std::string& workspace, double tokens,
                          share_holder::decision_callback done)
{
    entry_model& model = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        done(model.split->reserve(workspace, tokens));
    }
    else if (!model.has_lease(duration{0}))
    {
        done({});
    }
    else
    {
        model.node->reserve_async(
            workspace, tokens,
            [&model, start = model.incarnation,
             done = std::move(done)](const admission_decision& decision)
            {
                if (model.alive && model.incarnation == start)
                {
                    done(decision);
                }
            });
        model.node->poll();
    }
}

bool fleet_model::deliver(std::size_t entry, const std::string& workspace, double tokens)
{
    entry_model& model = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        model.split->deliver(workspace, tokens);
        return true;
    }
    if (!model.has_lease(max_delivery_duration))
    {
        return false;
    }
    model.node->holder().deliver(workspace, tokens);
    return true;
}

void fleet_model::release(std::size_t entry, const std::string& workspace, double tokens)
{
    entry_model& model = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        model.split->release(workspace, tokens);
        return;
    }
    model.node->holder().release(workspace, tokens);
}

std::size_t fleet_model::home_of(const std::string& workspace) const
{
    const auto found = this->records.find(share_shard_of(workspace));
    return found == this->records.end() || found->second.record.home.empty()
               ? 0
               : this->index_of(found->second.record.home);
}

double fleet_model::unserved_share(const std::string& workspace) const
{
    if (this->policy == share_policy::static_split)
    {
        const auto idle =
            std::count_if(this->entries.begin(), this->entries.end(),
                          [](const auto& each) { return !each->is_running(); });
        return static_cast<double>(idle) / static_cast<double>(this->entries.size());
    }
    const std::uint32_t shard = share_shard_of(workspace);
    const bool served = std::any_of(this->entries.begin(), this->entries.end(),
                                    [&](const auto& each)
                                    {
                                        return each->is_running() &&
                                               each->has_lease(duration{0}) &&
                                               each->node->serves_as_home(shard);
                                    });
    return served ? 0 : 1;
}

/// Ends an entry; the platform's list still contains it for `list_removal_delay`.
void fleet_model::kill(std::size_t entry)
{
    entry_model& model = *this->entries[entry];
    model.alive = false;
    this->loop->after(list_removal_delay,
                      [this, vm = model.vm] { std::erase(this->listed_entries, vm); });
}

void fleet_model::pause(std::size_t entry, duration length)
{
    this->entries[entry]->paused_end = this->loop->time.now() + length;
}

void fleet_model::set_partition(std::size_t first_group_size, bool partitioned)
{
    this->partition_boundary = partitioned ? first_group_size : 0;
}

void fleet_model::set_store_down(bool down)
{
    this->store_down = down;
}

void fleet_model::set_lose_write_answers(bool lose)
{
    this->lose_write_answers = lose;
}

bool fleet_model::alive(std::size_t entry) const
{
    return this->entries[entry]->alive;
}

bool fleet_model::reachable(std::size_t entry) const
{
    return this->entries[entry]->is_running();
}

time_point fleet_model::paused_until(std::size_t entry) const
{
    return this->entries[entry]->paused_end;
}

} // namespace agateseam::bench

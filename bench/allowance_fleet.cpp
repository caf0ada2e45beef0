#include <bench/allowance_fleet.hpp>

#include <algorithm>

namespace agateseam::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_pause = milliseconds(10);
constexpr duration list_pause = milliseconds(500);
constexpr duration list_lag = seconds(5);
constexpr duration call_timeout = milliseconds(200);
constexpr duration store_latency = milliseconds(3);
constexpr duration lease_length = seconds(3);
constexpr duration lease_renewal = seconds(1);
constexpr duration longest_delivery = seconds(12); ///< Of a reservation, past a lease.
constexpr double drift = 0.1;                      ///< Of one clock against another.
constexpr int least_latency_us = 1'000;
constexpr int most_latency_us = 2'000;

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
    this->events.push({due, ++this->next_number, std::move(action)});
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

/// One entry: its node, and its ways to the others.
class entry_model final : public share_transport
{
  public:
    entry_model(fleet_model& shared, std::size_t place)
        : fleet(&shared)
        , index(place)
        , vm("entry-" + std::to_string(place + 1))
    {
        this->start();
    }

    void start()
    {
        ++this->incarnation;
        this->renewed = this->fleet->loop->time.now();
        if (this->fleet->policy == share_policy::static_split)
        {
            const auto count = this->fleet->listed.size();
            this->split = std::move(*static_admission::create(
                this->fleet->loop->time, static_cast<unsigned>(count)));
            configuration current;
            for (const allowance_limits& each : this->fleet->terms)
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
        this->node->configure(this->fleet->terms);
        this->node->set_entries(this->fleet->listed);
    }

    [[nodiscard]] bool runs() const
    {
        return this->alive && this->fleet->loop->time.now() >= this->paused;
    }

    /// Whether it may still admit by its lease.
    [[nodiscard]] bool leased(duration longer) const
    {
        return this->fleet->policy != share_policy::time_leases ||
               this->fleet->loop->time.now() < this->renewed + lease_length + longer;
    }

    void send_report(const std::string& target, const share_report& report,
                     answer_callback done) override
    {
        this->call<share_answer>(target, std::move(done),
                                 [report](entry_model& at) { return at.serve(report); });
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
                if (!this->runs())
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
                if (this->fleet->losing_answers)
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
    time_point paused;
    time_point renewed;
    time_point stored_renewal;
    std::unique_ptr<share_coordinator> node;
    std::unique_ptr<static_admission> split;

  private:
    [[nodiscard]] share_answer serve(const share_report& report)
    {
        return this->leased(duration{0}) ? this->node->handle_report(report)
                                         : share_answer{};
    }

    /// Calls another entry; without an answer in time the callback hears of nothing.
    template <typename Answer>
    void call(const std::string& target,
              std::function<void(const std::optional<Answer>&)> done,
              std::function<Answer(entry_model&)> serve_at)
    {
        auto open = std::make_shared<bool>(true);
        const auto finish = [this, open, done, start = this->incarnation](
                                const std::optional<Answer>& answer)
        {
            if (std::exchange(*open, false) && this->incarnation == start)
            {
                done(answer);
            }
        };
        const std::size_t place = this->fleet->index_of(target);
        this->fleet->carry(this->index, place,
                           [this, place, serve_at, finish]
                           {
                               const Answer answer =
                                   serve_at(*this->fleet->entries[place]);
                               this->fleet->carry(place, this->index,
                                                  [answer, finish] { finish(answer); });
                           });
        this->fleet->loop->after(call_timeout,
                                 [this, finish]
                                 {
                                     if (this->runs())
                                     {
                                         finish(std::nullopt);
                                     }
                                 });
    }

    std::vector<std::unique_ptr<share_coordinator>>
        retired; ///< Callbacks may still name them.
};

fleet_model::fleet_model(virtual_loop& shared, share_policy chosen,
                         std::size_t entry_count,
                         std::vector<allowance_limits> workspaces, std::uint64_t seed)
    : loop(&shared)
    , policy(chosen)
    , terms(std::move(workspaces))
    , random(seed)
{
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->listed.push_back("entry-" + std::to_string(at + 1));
    }
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->entries.push_back(std::make_unique<entry_model>(*this, at));
    }
    this->tick();
    this->refresh_lists();
    for (std::size_t at = 0; at < entry_count; ++at)
    {
        this->renew(at);
    }
}

fleet_model::~fleet_model() = default;

void fleet_model::tick()
{
    if (this->policy == share_policy::static_split)
    {
        return;
    }
    for (const auto& each : this->entries)
    {
        if (each->runs() && each->leased(duration{0}))
        {
            each->node->poll();
        }
    }
    this->loop->after(tick_pause, [this] { this->tick(); });
}

/// The entries whose leases have not lapsed on every clock, by the store.
std::vector<std::string> fleet_model::leased() const
{
    constexpr auto reclaim = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(lease_length) * (1 + drift) + longest_delivery);
    std::vector<std::string> names;
    for (const auto& each : this->entries)
    {
        if (this->loop->time.now() < each->stored_renewal + reclaim)
        {
            names.push_back(each->vm);
        }
    }
    return names;
}

void fleet_model::refresh_lists()
{
    if (this->policy == share_policy::static_split)
    {
        return;
    }
    for (const auto& each : this->entries)
    {
        const bool leases = this->policy == share_policy::time_leases;
        if (each->runs() && !this->store_down)
        {
            this->counts.store_calls += leases ? 1 : 0;
            each->node->set_entries(leases ? this->leased() : this->listed);
        }
    }
    this->loop->after(list_pause, [this] { this->refresh_lists(); });
}

/// Keeps an entry's lease; one that has lapsed for good begins anew.
void fleet_model::renew(std::size_t entry)
{
    if (this->policy != share_policy::time_leases)
    {
        return;
    }
    entry_model& one = *this->entries[entry];
    if (one.runs())
    {
        ++this->counts.store_calls;
        if (!this->store_down)
        {
            if (!one.leased(longest_delivery))
            {
                one.start();
            }
            one.renewed = this->loop->time.now();
            one.stored_renewal = one.renewed + store_latency;
        }
    }
    this->loop->after(lease_renewal, [this, entry] { this->renew(entry); });
}

bool fleet_model::connected(std::size_t from, std::size_t to) const
{
    return (from < this->parted_below) == (to < this->parted_below);
}

duration fleet_model::latency()
{
    const auto spread = static_cast<std::uint32_t>(most_latency_us - least_latency_us);
    return std::chrono::microseconds(least_latency_us + this->random(spread));
}

std::size_t fleet_model::index_of(const std::string& vm) const
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&](const auto& each) { return each->vm == vm; });
    return static_cast<std::size_t>(found - this->entries.begin());
}

void fleet_model::carry(std::size_t from, std::size_t to, std::function<void()> action)
{
    ++this->counts.messages;
    if (!this->connected(from, to))
    {
        return;
    }
    this->loop->after(this->latency(),
                      [this, to, action = std::move(action)]
                      {
                          const entry_model& target = *this->entries[to];
                          if (target.runs())
                          {
                              action();
                          }
                          else if (target.alive)
                          {
                              this->loop->at(target.paused, action);
                          }
                      });
}

void fleet_model::ask(std::size_t entry, const std::string& workspace, double tokens,
                      share_holder::decision_callback done)
{
    entry_model& one = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        done(one.split->reserve(workspace, tokens));
    }
    else if (!one.leased(duration{0}))
    {
        done({});
    }
    else
    {
        one.node->reserve_async(workspace, tokens,
                                [&one, start = one.incarnation, done = std::move(done)](
                                    const admission_decision& decision)
                                {
                                    if (one.alive && one.incarnation == start)
                                    {
                                        done(decision);
                                    }
                                });
        one.node->poll();
    }
}

bool fleet_model::deliver(std::size_t entry, const std::string& workspace, double tokens)
{
    entry_model& one = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        one.split->deliver(workspace, tokens);
        return true;
    }
    if (!one.leased(longest_delivery))
    {
        return false;
    }
    one.node->holder().deliver(workspace, tokens);
    return true;
}

void fleet_model::release(std::size_t entry, const std::string& workspace, double tokens)
{
    entry_model& one = *this->entries[entry];
    if (this->policy == share_policy::static_split)
    {
        one.split->release(workspace, tokens);
        return;
    }
    one.node->holder().release(workspace, tokens);
}

std::size_t fleet_model::home_of(const std::string& workspace) const
{
    const auto found = this->records.find(share_shard_of(workspace));
    return found == this->records.end() || found->second.record.home.empty()
               ? 0
               : this->index_of(found->second.record.home);
}

double fleet_model::unserved(const std::string& workspace) const
{
    if (this->policy == share_policy::static_split)
    {
        const auto idle = std::count_if(this->entries.begin(), this->entries.end(),
                                        [](const auto& each) { return !each->runs(); });
        return static_cast<double>(idle) / static_cast<double>(this->entries.size());
    }
    const std::uint32_t shard = share_shard_of(workspace);
    const bool served = std::any_of(this->entries.begin(), this->entries.end(),
                                    [&](const auto& each)
                                    {
                                        return each->runs() &&
                                               each->leased(duration{0}) &&
                                               each->node->serves_as_home(shard);
                                    });
    return served ? 0 : 1;
}

/// Ends an entry; the platform's list names it for a while longer.
void fleet_model::kill(std::size_t entry)
{
    entry_model& one = *this->entries[entry];
    one.alive = false;
    this->loop->after(list_lag, [this, vm = one.vm] { std::erase(this->listed, vm); });
}

void fleet_model::pause(std::size_t entry, duration span)
{
    this->entries[entry]->paused = this->loop->time.now() + span;
}

void fleet_model::part(std::size_t first_group, bool parted)
{
    this->parted_below = parted ? first_group : 0;
}

void fleet_model::set_store_down(bool down)
{
    this->store_down = down;
}

void fleet_model::set_losing_answers(bool losing)
{
    this->losing_answers = losing;
}

bool fleet_model::alive(std::size_t entry) const
{
    return this->entries[entry]->alive;
}

bool fleet_model::reachable(std::size_t entry) const
{
    return this->entries[entry]->runs();
}

time_point fleet_model::paused_until(std::size_t entry) const
{
    return this->entries[entry]->paused;
}

} // namespace agateseam::bench

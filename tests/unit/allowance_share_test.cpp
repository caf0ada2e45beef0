#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <vector>

#include <rapidcheck.h>

#include <agateseam/share_directory.hpp>
#include <agateseam/share_holder.hpp>
#include <agateseam/share_home.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr double rate = 100;
constexpr double burst = 500;
constexpr double rounding_tolerance = 0.01; // tokens
constexpr std::string_view workspace = "labs";
constexpr std::size_t entry_count = 3;

/// Draws from the whole range [min, end), whatever rapidcheck's current size is.
template <typename T>
T random_between(T min, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, end));
}

std::vector<allowance_limits> limits()
{
    return {{std::string(workspace), rate, burst}};
}

struct delivery
{
    time_point at;
    double tokens = 0;
};

/// One entry with its process, which may have died.
struct entry_process
{
    std::string vm;
    std::uint64_t incarnation = 0;
    bool alive = false;
    std::unique_ptr<share_home> home;
    std::unique_ptr<share_holder> holder;
    std::vector<double> reservations; ///< Admitted, and not yet delivered or released.

    void start(const clock_source& time)
    {
        ++this->incarnation;
        this->alive = true;
        this->reservations.clear();
        this->home = std::move(*share_home::create(time));
        this->home->configure(limits());
        this->holder = std::move(*share_holder::create(time, this->vm, this->incarnation,
                                                       share_holder_options{}));
        this->holder->configure(limits());
    }
};

/// A message on its way to an entry.
struct pending_message
{
    std::size_t target = 0;
    std::function<void(entry_process&)> deliver;
};

/// Three entries, the store's record and the platform's list. Messages may be lost,
/// repeated, delayed and reordered.
class simulated_fleet
{
  public:
    simulated_fleet()
    {
        for (std::size_t index = 0; index < entry_count; ++index)
        {
            this->entries[index].vm = "entry-" + std::to_string(index);
            this->entries[index].start(this->time);
            this->listed.push_back(this->entries[index].vm);
        }
        for (entry_process& each : this->entries)
        {
            each.home->set_entries(this->listed);
        }
    }

    void step()
    {
        entry_process& entry = this->entries[random_between<std::size_t>(0, entry_count)];
        const int kind = random_between(0, 100);
        if (kind < 15)
        {
            this->reserve(entry, random_between(1, 300));
        }
        else if (kind < 50)
        {
            this->deliver_random_message();
            this->deliver_random_message();
            this->deliver_random_message();
        }
        else if (kind < 60)
        {
            this->send_due_reports(entry);
        }
        else if (kind < 64)
        {
            this->run_reliably(2);
        }
        else if (kind < 78)
        {
            this->deliver(entry);
        }
        else if (kind < 80)
        {
            this->release(entry);
        }
        else if (kind < 86)
        {
            this->time.advance(std::chrono::milliseconds(random_between(1, 3'000)));
        }
        else if (kind < 94)
        {
            this->maintain_home(entry);
        }
        else
        {
            this->inject_fault(entry);
        }
    }

    void reserve(entry_process& entry, double tokens)
    {
        if (entry.alive)
        {
            entry.holder->reserve_async(
                workspace, tokens,
                [&entry, tokens, start = entry.incarnation](const auto& decision)
                {
                    if (decision.admitted && entry.incarnation == start)
                    {
                        entry.reservations.push_back(tokens);
                    }
                });
        }
    }

    /// Sends the due reports to a random entry, which may not be the home.
    void send_due_reports(entry_process& entry)
    {
        if (!entry.alive)
        {
            return;
        }
        for (const std::uint32_t due_shard : entry.holder->shards_due(this->time.now()))
        {
            this->post(entry, this->random_target(),
                       entry.holder->make_report(due_shard, this->time.now()));
        }
    }

    /// Delivers or loses a random pending message. One that is delivered may stay
    /// pending, so that it arrives again.
    void deliver_random_message()
    {
        if (this->pending_messages.empty())
        {
            return;
        }
        const auto index = random_between<std::size_t>(0, this->pending_messages.size());
        const pending_message next = this->pending_messages[index];
        const int outcome = random_between(0, 10);
        if (outcome > 1)
        {
            this->pending_messages.erase(this->pending_messages.begin() +
                                         static_cast<std::ptrdiff_t>(index));
        }
        if (outcome != 9)
        {
            this->deliver_message(next);
        }
    }

    /// Takes the shard over if the record and the list allow it, and sends censuses to
    /// random entries.
    void maintain_home(entry_process& entry)
    {
        if (!entry.alive)
        {
            return;
        }
        entry.home->set_entries(this->listed);
        const bool is_listed = std::find(this->listed.begin(), this->listed.end(),
                                         entry.vm) != this->listed.end();
        const bool is_home = this->record.home == entry.vm &&
                             this->record.incarnation == entry.incarnation;
        if (!is_home && is_listed &&
            may_take_over(this->record, entry.vm, entry.incarnation, this->listed))
        {
            this->record = {entry.vm, entry.incarnation, this->record.epoch + 1};
            if (random_between(0, 3) == 0)
            {
                return; // The write's answer is lost; the entry reads the record later.
            }
        }
        if (this->record.home == entry.vm &&
            this->record.incarnation == entry.incarnation)
        {
            entry.home->begin(this->shard, this->record.epoch, this->record.epoch == 1);
        }
        for (const share_census& census : entry.home->open_censuses())
        {
            this->post(entry, this->random_target(), census);
        }
    }

    void kill(entry_process& entry)
    {
        entry.alive = false;
        entry.reservations.clear();
    }

    void remove_from_list(entry_process& entry) { std::erase(this->listed, entry.vm); }

    void restart(entry_process& entry)
    {
        if (std::find(this->listed.begin(), this->listed.end(), entry.vm) ==
            this->listed.end())
        {
            entry.vm += "-new"; // A replacement VM has another name.
            this->listed.push_back(entry.vm);
        }
        entry.start(this->time);
        entry.home->set_entries(this->listed);
    }

    /// Runs the fleet without faults and delivers every message in order.
    void run_reliably(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            this->time.advance(250ms);
            for (entry_process& each : this->entries)
            {
                this->maintain_home_reliably(each);
                if (each.alive)
                {
                    this->report_to_home(each);
                }
            }
            while (!this->pending_messages.empty())
            {
                const pending_message next = this->pending_messages.front();
                this->pending_messages.erase(this->pending_messages.begin());
                this->deliver_message(next);
            }
        }
    }

    /// Lets every bucket fill up, then spends all available tokens within a short time.
    void spend_everything()
    {
        this->run_reliably(4);
        this->time.advance(20s);
        for (int round = 0; round < 3; ++round)
        {
            for (entry_process& each : this->entries)
            {
                for (int call = 0; call < 10; ++call)
                {
                    this->reserve(each, burst / 10);
                }
            }
            this->run_reliably(2);
        }
        for (entry_process& each : this->entries)
        {
            while (each.alive && !each.reservations.empty())
            {
                this->deliver(each);
            }
        }
    }

    /// Checks every window that begins and ends with a delivery.
    void check_windows() const
    {
        for (std::size_t first = 0; first < this->deliveries.size(); ++first)
        {
            double sum = 0;
            for (std::size_t last = first; last < this->deliveries.size(); ++last)
            {
                sum += this->deliveries[last].tokens;
                const std::chrono::duration<double> window =
                    this->deliveries[last].at - this->deliveries[first].at;
                RC_ASSERT(sum <= rate * window.count() + burst + rounding_tolerance);
            }
        }
    }

    void deliver(entry_process& entry)
    {
        if (!entry.alive || entry.reservations.empty())
        {
            return;
        }
        const auto index = random_between<std::size_t>(0, entry.reservations.size());
        const double tokens = entry.reservations[index];
        entry.reservations.erase(entry.reservations.begin() +
                                 static_cast<std::ptrdiff_t>(index));
        this->deliveries.push_back({this->time.now(), tokens});
        entry.holder->deliver(workspace, tokens);
    }

    manual_clock time;
    std::array<entry_process, entry_count> entries;

  private:
    void release(entry_process& entry)
    {
        if (entry.alive && !entry.reservations.empty())
        {
            entry.holder->release(workspace, entry.reservations.back());
            entry.reservations.pop_back();
        }
    }

    void inject_fault(entry_process& entry)
    {
        const int kind = random_between(0, 3);
        if (entry.alive && kind == 0)
        {
            this->kill(entry);
        }
        else if (entry.alive)
        {
            entry.holder->report_failed(this->shard, 100ms);
        }
        else if (kind == 0)
        {
            this->remove_from_list(entry);
        }
        else
        {
            this->restart(entry);
        }
    }

    void maintain_home_reliably(entry_process& entry)
    {
        if (!entry.alive)
        {
            return;
        }
        entry.home->set_entries(this->listed);
        if (may_take_over(this->record, entry.vm, entry.incarnation, this->listed))
        {
            this->record = {entry.vm, entry.incarnation, this->record.epoch + 1};
        }
        if (this->record.home == entry.vm &&
            this->record.incarnation == entry.incarnation)
        {
            entry.home->begin(this->shard, this->record.epoch, this->record.epoch == 1);
        }
        for (const share_census& census : entry.home->open_censuses())
        {
            for (std::size_t index = 0; index < entry_count; ++index)
            {
                this->post(entry, index, census);
            }
        }
    }

    void report_to_home(entry_process& entry)
    {
        for (const std::uint32_t due_shard : entry.holder->shards_due(this->time.now()))
        {
            for (std::size_t index = 0; index < entry_count; ++index)
            {
                if (this->entries[index].vm == this->record.home &&
                    this->entries[index].alive)
                {
                    this->post(entry, index,
                               entry.holder->make_report(due_shard, this->time.now()));
                }
            }
        }
    }

    [[nodiscard]] std::size_t random_target() const
    {
        for (std::size_t index = 0; index < entry_count; ++index)
        {
            if (this->entries[index].vm == this->record.home && random_between(0, 4) != 0)
            {
                return index;
            }
        }
        return random_between<std::size_t>(0, entry_count);
    }

    [[nodiscard]] std::size_t index_of(const entry_process& entry) const
    {
        return static_cast<std::size_t>(&entry - this->entries.data());
    }

    void post(const entry_process& from, std::size_t target, const share_report& report)
    {
        const std::size_t source = this->index_of(from);
        this->pending_messages.push_back(
            {target, [this, report, source](entry_process& receiver)
             {
                 const share_answer answer = receiver.home->handle_report(report);
                 this->pending_messages.push_back(
                     {source, [answer](entry_process& sender)
                      { sender.holder->handle_answer(answer); }});
             }});
    }

    void post(const entry_process& from, std::size_t target, const share_census& census)
    {
        const std::size_t source = this->index_of(from);
        this->pending_messages.push_back(
            {target, [this, census, source](entry_process& receiver)
             {
                 const share_census_answer answer =
                     receiver.holder->answer_census(census);
                 this->pending_messages.push_back(
                     {source, [answer](entry_process& sender)
                      { sender.home->handle_census_answer(answer); }});
             }});
    }

    void deliver_message(const pending_message& next)
    {
        entry_process& target = this->entries[next.target];
        if (target.alive)
        {
            next.deliver(target);
        }
    }

    std::vector<std::string> listed;
    std::uint32_t shard = share_shard_of(workspace);
    shard_home_record record;
    std::vector<pending_message> pending_messages;
    std::vector<delivery> deliveries;
};

double reserved_tokens(const entry_process& entry)
{
    double sum = 0;
    for (const double tokens : entry.reservations)
    {
        sum += tokens;
    }
    return sum;
}

} // namespace

TEST_CASE("entries share one allowance and together admit no more than the burst")
{
    simulated_fleet fleet;
    fleet.run_reliably(2);
    fleet.time.advance(1h);
    fleet.reserve(fleet.entries[0], 300);
    fleet.reserve(fleet.entries[1], 200);
    fleet.reserve(fleet.entries[2], 1);
    fleet.run_reliably(2);
    CHECK(reserved_tokens(fleet.entries[0]) + reserved_tokens(fleet.entries[1]) +
              reserved_tokens(fleet.entries[2]) <=
          500);
    CHECK(reserved_tokens(fleet.entries[0]) == 300);
    CHECK(reserved_tokens(fleet.entries[1]) == 200);
    CHECK(reserved_tokens(fleet.entries[2]) == 0);
}

TEST_CASE("tokens that one entry releases can be reserved at another")
{
    simulated_fleet fleet;
    fleet.run_reliably(2);
    fleet.time.advance(1h);
    fleet.reserve(fleet.entries[0], 500);
    fleet.run_reliably(2);
    REQUIRE(reserved_tokens(fleet.entries[0]) == 500);
    fleet.entries[0].holder->release(workspace, 500);
    fleet.entries[0].reservations.clear();
    fleet.run_reliably(4);
    fleet.reserve(fleet.entries[1], 500);
    fleet.run_reliably(2);
    CHECK(reserved_tokens(fleet.entries[1]) == 500);
}

TEST_CASE("the home that replaces one that is gone counts the tokens still held")
{
    simulated_fleet fleet;
    fleet.run_reliably(2);
    fleet.time.advance(1h);
    std::size_t home = 0;
    for (std::size_t index = 0; index < entry_count; ++index)
    {
        home = fleet.entries[index].home->level(workspace) > 0 ? index : home;
    }
    entry_process& other = fleet.entries[(home + 1) % entry_count];
    fleet.reserve(other, 400);
    fleet.run_reliably(2);
    REQUIRE(reserved_tokens(other) == 400);
    fleet.kill(fleet.entries[home]);
    fleet.run_reliably(4);
    entry_process& third = fleet.entries[(home + 2) % entry_count];
    fleet.reserve(third, 50);
    fleet.run_reliably(2);
    CHECK(reserved_tokens(third) ==
          0); // The dead home is still listed, so it is not replaced yet.
    fleet.remove_from_list(fleet.entries[home]);
    fleet.run_reliably(4);
    fleet.time.advance(1h);
    fleet.reserve(third, 101);
    fleet.run_reliably(2);
    CHECK(reserved_tokens(third) == 0);
    fleet.reserve(third, 100);
    fleet.run_reliably(2);
    CHECK(reserved_tokens(third) == 100);
}

TEST_CASE("a grant of an older home that arrives after the new home's census is ignored")
{
    manual_clock time;
    entry_process entry{"entry-1"};
    entry.start(time);
    const std::uint32_t shard = share_shard_of(workspace);
    static_cast<void>(entry.holder->answer_census(share_census{shard, 1, "entry-2"}));
    entry.holder->reserve_async(workspace, 100, [](const admission_decision&) {});
    const share_report report = entry.holder->make_report(shard, time.now());
    const share_census_answer census_answer =
        entry.holder->answer_census(share_census{shard, 2, "entry-3"});
    CHECK(census_answer.epoch == 2);
    CHECK(census_answer.accounts.empty());
    share_answer late_answer;
    late_answer.standing = share_standing::home;
    late_answer.shard = shard;
    late_answer.epoch = 1;
    late_answer.sequence = report.sequence;
    late_answer.grants.push_back({std::string(workspace), 100});
    entry.holder->handle_answer(late_answer);
    CHECK(entry.holder->credit(workspace) == 0);
}

TEST_CASE("tokens of an entry that is gone count as delivered")
{
    manual_clock time;
    const std::uint32_t shard = share_shard_of(workspace);
    auto home = std::move(*share_home::create(time));
    home->configure(limits());
    home->set_entries(std::vector<std::string>{"entry-1", "entry-2"});
    home->begin(shard, 1, true);
    time.advance(1h);
    share_report report{"entry-1", 1, shard, 1, 1, {}};
    report.lines.push_back({{std::string(workspace)}, {300}, 0});
    CHECK(home->handle_report(report).grants.at(0).granted == 300);
    CHECK(home->level(workspace) == doctest::Approx(200));
    home->set_entries(std::vector<std::string>{"entry-2"});
    CHECK(home->level(workspace) == doctest::Approx(200));
    time.advance(1s);
    CHECK(home->level(workspace) == doctest::Approx(300));
}

TEST_CASE("a repeated report gets no second grant")
{
    manual_clock time;
    const std::uint32_t shard = share_shard_of(workspace);
    auto home = std::move(*share_home::create(time));
    home->configure(limits());
    home->set_entries(std::vector<std::string>{"entry-1"});
    home->begin(shard, 1, true);
    time.advance(1h);
    share_report report{"entry-1", 1, shard, 1, 1, {}};
    report.lines.push_back({{std::string(workspace)}, {100}, 0});
    CHECK(home->handle_report(report).grants.at(0).granted == 100);
    CHECK(home->handle_report(report).grants.at(0).granted == 100);
    CHECK(home->level(workspace) == doctest::Approx(400));
}

TEST_CASE("buckets begin full once at a shard's first home, and empty at a later home")
{
    manual_clock time;
    const std::uint32_t shard = share_shard_of(workspace);
    auto first = std::move(*share_home::create(time));
    first->configure(limits());
    first->begin(shard, 1, true);
    CHECK(first->level(workspace) == doctest::Approx(burst));
    first->configure({});
    first->configure(limits());
    CHECK(first->level(workspace) == doctest::Approx(0));
    auto second = std::move(*share_home::create(time));
    second->configure(limits());
    second->begin(shard, 2, false);
    CHECK(second->level(workspace) == doctest::Approx(0));
}

TEST_CASE("an entry may take over only a shard that no other home can still serve")
{
    const std::vector<std::string> listed{"entry-1", "entry-2"};
    CHECK(may_take_over({}, "entry-1", 5, listed));
    CHECK_FALSE(may_take_over({"entry-2", 3, 1}, "entry-1", 5, listed));
    CHECK(may_take_over({"entry-3", 3, 1}, "entry-1", 5, listed));
    CHECK(may_take_over({"entry-1", 4, 1}, "entry-1", 5, listed));
    CHECK_FALSE(may_take_over({"entry-1", 5, 1}, "entry-1", 5, listed));
}

TEST_CASE("a shard's home record keeps its values as text")
{
    const shard_home_record record{"entry-1", 17, 4};
    CHECK(parse_shard_home_record(to_text(record)) == record);
    CHECK_FALSE(parse_shard_home_record("{}"));
}

TEST_CASE("no window delivers more than the allowance over the fleet, whatever fails")
{
    CHECK(rc::check("the fleet stays within the allowance",
                    []
                    {
                        simulated_fleet fleet;
                        const int steps = random_between(50, 400);
                        for (int step = 0; step < steps; ++step)
                        {
                            fleet.step();
                        }
                        fleet.spend_everything();
                        fleet.check_windows();
                    }));
}

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
constexpr double rounding = 0.01; // tokens
constexpr std::string_view workspace = "labs";
constexpr std::size_t node_count = 3;

template <typename T>
T drawn(T least, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(least, end));
}

std::vector<allowance_terms> terms()
{
    return {{std::string(workspace), rate, burst}};
}

struct delivery
{
    time_point at;
    double tokens = 0;
};

/// One entry's process, or the place of one that died.
struct node
{
    std::string vm;
    std::uint64_t incarnation = 0;
    bool alive = false;
    std::unique_ptr<share_home> home;
    std::unique_ptr<share_holder> holder;
    std::vector<double> held; ///< Reservations that were admitted and are open.

    void start(const clock_source& time)
    {
        ++this->incarnation;
        this->alive = true;
        this->held.clear();
        this->home = std::move(*share_home::create(time));
        this->home->configure(terms());
        this->holder = std::move(
            *share_holder::create(time, this->vm, this->incarnation, share_options{}));
        this->holder->configure(terms());
    }
};

/// A message on its way to a node.
struct message
{
    std::size_t target = 0;
    std::function<void(node&)> arrive;
};

/// Three entries, a store's record and a platform's list, with messages that may be
/// lost, repeated, delayed and crossed.
class fleet
{
  public:
    fleet()
    {
        for (std::size_t at = 0; at < node_count; ++at)
        {
            this->nodes[at].vm = "entry-" + std::to_string(at);
            this->nodes[at].start(this->time);
            this->listed.push_back(this->nodes[at].vm);
        }
        for (node& each : this->nodes)
        {
            each.home->set_entries(this->listed);
        }
    }

    void step()
    {
        node& one = this->nodes[drawn<std::size_t>(0, node_count)];
        const int kind = drawn(0, 100);
        if (kind < 15)
        {
            this->ask(one, drawn(1, 300));
        }
        else if (kind < 50)
        {
            this->carry();
            this->carry();
            this->carry();
        }
        else if (kind < 60)
        {
            this->report(one);
        }
        else if (kind < 64)
        {
            this->settle(2);
        }
        else if (kind < 78)
        {
            this->deliver(one);
        }
        else if (kind < 80)
        {
            this->release(one);
        }
        else if (kind < 86)
        {
            this->time.advance(std::chrono::milliseconds(drawn(1, 3'000)));
        }
        else if (kind < 94)
        {
            this->look_after_home(one);
        }
        else
        {
            this->disturb(one);
        }
    }

    void ask(node& one, double tokens)
    {
        if (one.alive)
        {
            one.holder->ask(workspace, tokens,
                            [&one, tokens, start = one.incarnation](const auto& decision)
                            {
                                if (decision.admitted && one.incarnation == start)
                                {
                                    one.held.push_back(tokens);
                                }
                            });
        }
    }

    /// Sends a report to some entry, be it the home or not.
    void report(node& one)
    {
        if (!one.alive)
        {
            return;
        }
        for (const std::uint32_t due : one.holder->due(this->time.now()))
        {
            this->post(one, this->pick_target(),
                       one.holder->report(due, this->time.now()));
        }
    }

    /// Takes some message off the wire; a copy may stay behind.
    void carry()
    {
        if (this->wire.empty())
        {
            return;
        }
        const auto at = drawn<std::size_t>(0, this->wire.size());
        const message next = this->wire[at];
        const int fate = drawn(0, 10);
        if (fate > 1)
        {
            this->wire.erase(this->wire.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (fate != 9)
        {
            this->arrive(next);
        }
    }

    /// Takes the shard over where the record and the list allow it, and asks around.
    void look_after_home(node& one)
    {
        if (!one.alive)
        {
            return;
        }
        one.home->set_entries(this->listed);
        const bool own = std::find(this->listed.begin(), this->listed.end(), one.vm) !=
                         this->listed.end();
        const bool mine =
            this->record.home == one.vm && this->record.incarnation == one.incarnation;
        if (!mine && own &&
            may_take_over(this->record, one.vm, one.incarnation, this->listed))
        {
            this->record = {one.vm, one.incarnation, this->record.epoch + 1};
            if (drawn(0, 3) == 0)
            {
                return; // the answer is lost: it finds itself in the record later
            }
        }
        if (this->record.home == one.vm && this->record.incarnation == one.incarnation)
        {
            one.home->begin(this->shard, this->record.epoch, this->record.epoch == 1);
        }
        for (const share_census& census : one.home->open_censuses())
        {
            this->post(one, this->pick_target(), census);
        }
    }

    void kill(node& one)
    {
        one.alive = false;
        one.held.clear();
    }

    void unlist(node& one) { std::erase(this->listed, one.vm); }

    void restart(node& one)
    {
        if (std::find(this->listed.begin(), this->listed.end(), one.vm) ==
            this->listed.end())
        {
            one.vm += "-new"; // a replacement has another name
            this->listed.push_back(one.vm);
        }
        one.start(this->time);
        one.home->set_entries(this->listed);
    }

    /// Carries every message in order until none is left, without faults.
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            this->time.advance(250ms);
            for (node& each : this->nodes)
            {
                this->look_after_home_quietly(each);
                if (each.alive)
                {
                    this->report_to_home(each);
                }
            }
            while (!this->wire.empty())
            {
                const message next = this->wire.front();
                this->wire.erase(this->wire.begin());
                this->arrive(next);
            }
        }
    }

    /// Lets every bucket fill up, then spends all that can be had within moments.
    void spend_all()
    {
        this->settle(4);
        this->time.advance(20s);
        for (int round = 0; round < 3; ++round)
        {
            for (node& each : this->nodes)
            {
                for (int turn = 0; turn < 10; ++turn)
                {
                    this->ask(each, burst / 10);
                }
            }
            this->settle(2);
        }
        for (node& each : this->nodes)
        {
            while (each.alive && !each.held.empty())
            {
                this->deliver(each);
            }
        }
    }

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
                RC_ASSERT(sum <= rate * window.count() + burst + rounding);
            }
        }
    }

    void deliver(node& one)
    {
        if (!one.alive || one.held.empty())
        {
            return;
        }
        const auto at = drawn<std::size_t>(0, one.held.size());
        const double tokens = one.held[at];
        one.held.erase(one.held.begin() + static_cast<std::ptrdiff_t>(at));
        this->deliveries.push_back({this->time.now(), tokens});
        one.holder->deliver(workspace, tokens);
    }

    manual_clock time;
    std::array<node, node_count> nodes;

  private:
    void release(node& one)
    {
        if (one.alive && !one.held.empty())
        {
            one.holder->release(workspace, one.held.back());
            one.held.pop_back();
        }
    }

    void disturb(node& one)
    {
        const int kind = drawn(0, 3);
        if (one.alive && kind == 0)
        {
            this->kill(one);
        }
        else if (one.alive)
        {
            one.holder->failed(this->shard, 100ms);
        }
        else if (kind == 0)
        {
            this->unlist(one);
        }
        else
        {
            this->restart(one);
        }
    }

    void look_after_home_quietly(node& one)
    {
        if (!one.alive)
        {
            return;
        }
        one.home->set_entries(this->listed);
        if (may_take_over(this->record, one.vm, one.incarnation, this->listed))
        {
            this->record = {one.vm, one.incarnation, this->record.epoch + 1};
        }
        if (this->record.home == one.vm && this->record.incarnation == one.incarnation)
        {
            one.home->begin(this->shard, this->record.epoch, this->record.epoch == 1);
        }
        for (const share_census& census : one.home->open_censuses())
        {
            for (std::size_t at = 0; at < node_count; ++at)
            {
                this->post(one, at, census);
            }
        }
    }

    void report_to_home(node& one)
    {
        for (const std::uint32_t due : one.holder->due(this->time.now()))
        {
            for (std::size_t at = 0; at < node_count; ++at)
            {
                if (this->nodes[at].vm == this->record.home && this->nodes[at].alive)
                {
                    this->post(one, at, one.holder->report(due, this->time.now()));
                }
            }
        }
    }

    [[nodiscard]] std::size_t pick_target() const
    {
        for (std::size_t at = 0; at < node_count; ++at)
        {
            if (this->nodes[at].vm == this->record.home && drawn(0, 4) != 0)
            {
                return at;
            }
        }
        return drawn<std::size_t>(0, node_count);
    }

    [[nodiscard]] std::size_t place_of(const node& one) const
    {
        return static_cast<std::size_t>(&one - this->nodes.data());
    }

    void post(const node& from, std::size_t target, const share_report& report)
    {
        const std::size_t source = this->place_of(from);
        this->wire.push_back({target, [this, report, source](node& at)
                              {
                                  const share_answer answer = at.home->take(report);
                                  this->wire.push_back({source, [answer](node& back)
                                                        { back.holder->take(answer); }});
                              }});
    }

    void post(const node& from, std::size_t target, const share_census& census)
    {
        const std::size_t source = this->place_of(from);
        this->wire.push_back({target, [this, census, source](node& at)
                              {
                                  const share_census_answer answer =
                                      at.holder->take(census);
                                  this->wire.push_back({source, [answer](node& back)
                                                        { back.home->take(answer); }});
                              }});
    }

    void arrive(const message& next)
    {
        node& target = this->nodes[next.target];
        if (target.alive)
        {
            next.arrive(target);
        }
    }

    std::vector<std::string> listed;
    std::uint32_t shard = share_shard(workspace);
    share_record record;
    std::vector<message> wire;
    std::vector<delivery> deliveries;
};

double held_by(const node& one)
{
    double sum = 0;
    for (const double tokens : one.held)
    {
        sum += tokens;
    }
    return sum;
}

} // namespace

TEST_CASE("entries share one allowance: what fits is admitted, what does not is refused")
{
    fleet all;
    all.settle(2);
    all.time.advance(1h);
    all.ask(all.nodes[0], 300);
    all.ask(all.nodes[1], 200);
    all.ask(all.nodes[2], 1);
    all.settle(2);
    CHECK(held_by(all.nodes[0]) + held_by(all.nodes[1]) + held_by(all.nodes[2]) <= 500);
    CHECK(held_by(all.nodes[0]) == 300);
    CHECK(held_by(all.nodes[1]) == 200);
    CHECK(held_by(all.nodes[2]) == 0);
}

TEST_CASE("what an entry releases can be had at another")
{
    fleet all;
    all.settle(2);
    all.time.advance(1h);
    all.ask(all.nodes[0], 500);
    all.settle(2);
    REQUIRE(held_by(all.nodes[0]) == 500);
    all.nodes[0].holder->release(workspace, 500);
    all.nodes[0].held.clear();
    all.settle(4);
    all.ask(all.nodes[1], 500);
    all.settle(2);
    CHECK(held_by(all.nodes[1]) == 500);
}

TEST_CASE("a home that is gone is replaced by one that counts what is still held")
{
    fleet all;
    all.settle(2);
    all.time.advance(1h);
    std::size_t home = 0;
    for (std::size_t at = 0; at < node_count; ++at)
    {
        home = all.nodes[at].home->level(workspace) > 0 ? at : home;
    }
    node& other = all.nodes[(home + 1) % node_count];
    all.ask(other, 400);
    all.settle(2);
    REQUIRE(held_by(other) == 400);
    all.kill(all.nodes[home]);
    all.settle(4);
    node& third = all.nodes[(home + 2) % node_count];
    all.ask(third, 50);
    all.settle(2);
    CHECK(held_by(third) == 0); // listed, so it may only be silent
    all.unlist(all.nodes[home]);
    all.settle(4);
    all.time.advance(1h);
    all.ask(third, 101);
    all.settle(2);
    CHECK(held_by(third) == 0);
    all.ask(third, 100);
    all.settle(2);
    CHECK(held_by(third) == 100);
}

TEST_CASE("a grant of an older home that arrives after the census is dropped")
{
    manual_clock time;
    node holder{"entry-1"};
    holder.start(time);
    const std::uint32_t shard = share_shard(workspace);
    static_cast<void>(holder.holder->take(share_census{shard, 1, "entry-2"}));
    holder.holder->ask(workspace, 100, [](const admission_decision&) {});
    const share_report report = holder.holder->report(shard, time.now());
    const share_census_answer held =
        holder.holder->take(share_census{shard, 2, "entry-3"});
    CHECK(held.epoch == 2);
    CHECK(held.accounts.empty());
    share_answer late;
    late.standing = share_standing::home;
    late.shard = shard;
    late.epoch = 1;
    late.sequence = report.sequence;
    late.grants.push_back({std::string(workspace), 100});
    holder.holder->take(late);
    CHECK(holder.holder->credit(workspace) == 0);
}

TEST_CASE("tokens of an entry that is gone count as delivered")
{
    manual_clock time;
    const std::uint32_t shard = share_shard(workspace);
    auto home = std::move(*share_home::create(time));
    home->configure(terms());
    home->set_entries(std::vector<std::string>{"entry-1", "entry-2"});
    home->begin(shard, 1, true);
    time.advance(1h);
    share_report report{"entry-1", 1, shard, 1, 1, {}};
    report.lines.push_back({{std::string(workspace)}, {300}, 0});
    CHECK(home->take(report).grants.at(0).granted == 300);
    CHECK(home->level(workspace) == doctest::Approx(200));
    home->set_entries(std::vector<std::string>{"entry-2"});
    CHECK(home->level(workspace) == doctest::Approx(200));
    time.advance(1s);
    CHECK(home->level(workspace) == doctest::Approx(300));
}

TEST_CASE("a repeated report brings no second grant")
{
    manual_clock time;
    const std::uint32_t shard = share_shard(workspace);
    auto home = std::move(*share_home::create(time));
    home->configure(terms());
    home->set_entries(std::vector<std::string>{"entry-1"});
    home->begin(shard, 1, true);
    time.advance(1h);
    share_report report{"entry-1", 1, shard, 1, 1, {}};
    report.lines.push_back({{std::string(workspace)}, {100}, 0});
    CHECK(home->take(report).grants.at(0).granted == 100);
    CHECK(home->take(report).grants.at(0).granted == 100);
    CHECK(home->level(workspace) == doctest::Approx(400));
}

TEST_CASE("buckets begin full at the first home of all, once, and empty at a later one")
{
    manual_clock time;
    const std::uint32_t shard = share_shard(workspace);
    auto first = std::move(*share_home::create(time));
    first->configure(terms());
    first->begin(shard, 1, true);
    CHECK(first->level(workspace) == doctest::Approx(burst));
    first->configure({});
    first->configure(terms());
    CHECK(first->level(workspace) == doctest::Approx(0));
    auto second = std::move(*share_home::create(time));
    second->configure(terms());
    second->begin(shard, 2, false);
    CHECK(second->level(workspace) == doctest::Approx(0));
}

TEST_CASE("a home takes over only what nobody can still be serving")
{
    const std::vector<std::string> listed{"entry-1", "entry-2"};
    CHECK(may_take_over({}, "entry-1", 5, listed));
    CHECK_FALSE(may_take_over({"entry-2", 3, 1}, "entry-1", 5, listed));
    CHECK(may_take_over({"entry-3", 3, 1}, "entry-1", 5, listed));
    CHECK(may_take_over({"entry-1", 4, 1}, "entry-1", 5, listed));
    CHECK_FALSE(may_take_over({"entry-1", 5, 1}, "entry-1", 5, listed));
}

TEST_CASE("a shard's record survives its form as text")
{
    const share_record record{"entry-1", 17, 4};
    CHECK(parse_share_record(to_text(record)) == record);
    CHECK_FALSE(parse_share_record("{}"));
}

TEST_CASE("no window brings more than the allowance over the fleet, whatever fails")
{
    CHECK(rc::check("the fleet stays inside the allowance",
                    []
                    {
                        fleet all;
                        const int steps = drawn(50, 400);
                        for (int step = 0; step < steps; ++step)
                        {
                            all.step();
                        }
                        all.spend_all();
                        all.check_windows();
                    }));
}

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <agateseam/server_limiter.hpp>
#include <agateseam/server_pacer.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr auto tick = 10ms;
/// Between changes of an entry that it tells, and until they arrive.
constexpr auto digest_time = 20ms;
constexpr double cold_rate = 32;
/// That all entries together may send a cold server in any one second.
constexpr std::size_t max_sent_per_second = 53;
constexpr duration typical_latency = 600ms;
constexpr double normal_rate = 80; ///< Of a server with 50 slots; slightly below.

/// A server that runs a number of requests at once.
struct fake_server
{
    std::string id;
    duration latency = typical_latency;
    std::size_t slots = 50;
    bool fails = false;
    std::vector<time_point> running; ///< When they end.
    std::vector<time_point> sent;

    [[nodiscard]] std::size_t sent_between(time_point from, time_point until) const
    {
        const auto first = std::lower_bound(this->sent.begin(), this->sent.end(), from);
        return static_cast<std::size_t>(std::lower_bound(first, this->sent.end(), until) -
                                        first);
    }
    /// Returns the most requests in one second that begins between two times.
    [[nodiscard]] std::size_t busiest_second(time_point from, time_point until) const
    {
        std::size_t most = 0;
        for (const time_point begin : this->sent)
        {
            if (begin >= from && begin < until)
            {
                most = std::max(most, this->sent_between(begin, begin + 1s));
            }
        }
        return most;
    }
};

/// Entries in virtual time, each of which always has requests for all servers unless
/// `demand` limits them.
class pacing_fleet
{
  public:
    struct entry
    {
        server_limiter limiter;
        server_pacer pacer;
        std::uint64_t incarnation = 1;
        bool has_changes = false; ///< To tell the others.
        time_point digest_sent_at{};
        std::set<std::string> peers;
        duration delay{}; ///< With which it sees a return.
        std::vector<double> waiting;
        std::vector<time_point> backoff_until;
    };

    explicit pacing_fleet(std::size_t size, std::size_t server_count = 1)
        : servers(server_count)
        , random(20261204)
    {
        for (std::size_t number = 0; number < size; ++number)
        {
            this->entries.push_back({server_limiter(this->name(number))});
            this->restart(number);
            this->entries[number].delay = this->random() % 10 * tick;
        }
        for (std::size_t number = 0; number < server_count; ++number)
        {
            this->servers[number].id = "server-" + std::to_string(number);
        }
        this->divide([](std::size_t) { return 0; });
        this->advance(1s, false);
    }

    [[nodiscard]] static std::string name(std::size_t number)
    {
        return "entry-" + std::to_string(number);
    }

    void restart(std::size_t number)
    {
        entry& restarted = this->entries[number];
        restarted.limiter = server_limiter(this->name(number));
        restarted.pacer = server_pacer();
        restarted.waiting.assign(this->servers.size(), 0);
        restarted.backoff_until.assign(this->servers.size(), {});
        ++restarted.incarnation;
        this->complete_until = this->now + this->whole_interval();
    }

    /// Cuts the fleet into parts; the entries notice after their time-out.
    void divide(const std::function<std::size_t(std::size_t)>& part_of)
    {
        this->part = part_of;
        this->notice_at =
            this->now + std::max<duration>(700ms, this->whole_interval() * 2);
    }

    /// All entries see the servers return, each with its delay, or presume it.
    void begin_return(return_cause new_cause, duration cold_time)
    {
        this->returned_at = this->now;
        this->cause = new_cause;
        this->cold_until = this->now + cold_time;
        for (entry& member : this->entries)
        {
            this->sees.push_back({&member, this->now + member.delay});
        }
    }

    void learn(entry& member)
    {
        for (const fake_server& server : this->servers)
        {
            if (this->now < this->cold_until)
            {
                member.limiter.set_cold(server.id, cold_rate, this->cold_until,
                                        this->now);
            }
            if (this->paces)
            {
                member.pacer.begin_return(server.id, this->cause, normal_rate,
                                          server.latency, this->now);
            }
        }
    }

    void advance(duration time, bool sends = true)
    {
        for (const time_point end = this->now + time; this->now < end; this->now += tick)
        {
            this->deliver();
            std::erase_if(this->sees,
                          [this](const auto& item)
                          {
                              if (this->now < item.second)
                              {
                                  return false;
                              }
                              this->learn(*item.first);
                              return true;
                          });
            if (this->now >= this->notice_at)
            {
                this->notice_at = time_point::max();
                this->update_peers();
            }
            const std::size_t first = this->random() % this->entries.size();
            for (std::size_t count = 0; count < this->entries.size(); ++count)
            {
                this->run(this->entries[(first + count) % this->entries.size()], sends);
            }
            this->send_digests();
        }
    }

    void set_latency(duration latency)
    {
        for (fake_server& server : this->servers)
        {
            server.latency = latency;
            server.slots = static_cast<std::size_t>(std::ceil(
                1.05 * normal_rate * std::chrono::duration<double>(latency).count()));
        }
    }

    std::vector<entry> entries;
    std::vector<fake_server> servers;
    double demand = 1e6; ///< For each server, in requests a second.
    bool paces = true;
    bool is_listed = false;     ///< Also entries that haven't seen the return send.
    bool is_overloaded = false; ///< Requests are sent also to a server without slots.
    double loss = 0.05;
    double requests_together = 1;
    time_point now{1h};
    time_point returned_at{};

  private:
    struct message
    {
        time_point arrives_at;
        std::size_t from;
        std::uint64_t incarnation;
        keyed_map<server_limit_report> limits;
        keyed_map<server_return_report> returns;
    };
    struct answer
    {
        time_point at;
        entry* to;
        std::size_t server;
        server_observation observation;
    };

    [[nodiscard]] duration whole_interval() const
    {
        return std::max<duration>(200ms, 4ms * this->entries.size());
    }

    [[nodiscard]] fleet_view view_of(const entry& member) const
    {
        return {static_cast<std::uint32_t>(this->entries.size()),
                static_cast<std::uint32_t>(member.peers.size() + 1)};
    }

    void update_peers()
    {
        for (std::size_t number = 0; number < this->entries.size(); ++number)
        {
            this->entries[number].peers.clear();
            for (std::size_t other = 0; other < this->entries.size(); ++other)
            {
                if (other != number && this->part(other) == this->part(number))
                {
                    this->entries[number].peers.insert(this->name(other));
                }
            }
        }
    }

    void run(entry& member, bool sends)
    {
        for (const pace_step& step : member.pacer.take_steps(this->now))
        {
            member.limiter.set_pace(step.server, step.pace, this->now);
            member.has_changes = true;
        }
        for (std::size_t server = 0; !sends && server < this->servers.size(); ++server)
        {
            // Choices between servers ask also for those that get nothing then.
            (void)member.limiter.time_until_send(this->servers[server].id, member.peers,
                                                 this->view_of(member), this->now);
        }
        for (std::size_t server = 0; sends && server < this->servers.size(); ++server)
        {
            double& waiting = member.waiting[server];
            waiting += this->demand * std::chrono::duration<double>(tick).count() /
                       static_cast<double>(this->entries.size());
            const bool is_seen =
                std::none_of(this->sees.begin(), this->sees.end(),
                             [&](const auto& item) { return item.first == &member; });
            if ((this->is_listed || is_seen) && this->now >= member.backoff_until[server])
            {
                while (waiting >= 1 && this->try_send(member, server))
                {
                    waiting -= 1;
                }
            }
        }
    }

    /// \returns whether another request may be sent in this tick.
    bool try_send(entry& member, std::size_t number)
    {
        fake_server& server = this->servers[number];
        std::erase_if(server.running,
                      [this](time_point end) { return end <= this->now; });
        // Entries know how many requests run at a server.
        if (!server.fails && server.running.size() >= server.slots)
        {
            return false;
        }
        if (!member.limiter.try_take(server.id, member.peers, this->view_of(member),
                                     this->now, this->requests_together))
        {
            return false;
        }
        member.has_changes |= member.limiter.is_paced(server.id, this->now);
        server.sent.insert(server.sent.end(),
                           static_cast<std::size_t>(this->requests_together), this->now);
        if (server.fails)
        {
            member.pacer.record_answer(server.id, server_observation::unreachable, 10ms,
                                       server.latency, this->now);
            member.backoff_until[number] = this->now + 60ms;
            return false;
        }
        server.running.push_back(this->now + server.latency);
        this->answers.push_back(
            {this->now + server.latency, &member, number, server_observation::good});
        return true;
    }

    void deliver()
    {
        while (!this->answers.empty() && this->answers.front().at <= this->now)
        {
            const answer& got = this->answers.front();
            const fake_server& server = this->servers[got.server];
            got.to->pacer.record_answer(server.id, got.observation, server.latency,
                                        server.latency, this->now);
            got.to->has_changes |= got.to->pacer.returning_count() > 0;
            this->answers.pop_front();
        }
        while (!this->messages.empty() && this->messages.front().arrives_at <= this->now)
        {
            const message& sent = this->messages.front();
            for (std::size_t to = 0; to < this->entries.size(); ++to)
            {
                if (to == sent.from || this->part(to) != this->part(sent.from) ||
                    this->random() < this->loss * 4294967295.0)
                {
                    continue;
                }
                entry& member = this->entries[to];
                const std::string from = this->name(sent.from);
                member.limiter.apply(from, sent.incarnation, sent.limits, this->now);
                member.pacer.apply(from, sent.incarnation, sent.returns, this->now);
            }
            this->messages.pop_front();
        }
    }

    void send_digests()
    {
        const duration interval = this->whole_interval();
        const std::optional<time_point> since =
            this->now < this->complete_until ? std::nullopt
                                             : std::optional(this->now - 2 * interval);
        for (std::size_t number = 0; number < this->entries.size(); ++number)
        {
            entry& member = this->entries[number];
            const duration phase = (this->now.time_since_epoch() +
                                    number * interval / this->entries.size()) %
                                   interval;
            const bool is_due =
                member.has_changes && this->now >= member.digest_sent_at + digest_time;
            if (phase < duration(tick) || is_due)
            {
                member.has_changes = false;
                member.digest_sent_at = this->now;
                this->messages.push_back({this->now + digest_time, number,
                                          member.incarnation,
                                          member.limiter.make_reports(since, this->now),
                                          member.pacer.make_reports(since, this->now)});
            }
        }
    }

    pcg32 random;
    std::function<std::size_t(std::size_t)> part;
    time_point notice_at{};
    std::vector<std::pair<entry*, time_point>> sees;
    return_cause cause{};
    time_point cold_until{};
    std::deque<answer> answers;
    std::deque<message> messages;
    time_point complete_until{};
};

void check_cold_bound(const pacing_fleet& fleet)
{
    for (const fake_server& server : fleet.servers)
    {
        CHECK(server.busiest_second(fleet.returned_at, fleet.now) <= max_sent_per_second);
    }
}

/// Checks the parts of a rate that a server gets 1, 3 and 10 s after its return.
void check_rates(const pacing_fleet& fleet, double rate)
{
    // Of the window for all of the rate, as much as a bucket holds may come before it,
    // and be left at its end.
    const double shift = 2 * (1 + 0.1 * rate);
    for (const fake_server& server : fleet.servers)
    {
        // In other times a full server gets more or less, as its slots become free.
        const duration window = server.latency * (duration(3s) / server.latency);
        for (const auto& [after, length, share] :
             {std::tuple{1s, duration(1s), 0.25}, {3s, window, 0.9}, {10s, 10s, 1.0}})
        {
            CAPTURE(after.count());
            const time_point from = fleet.returned_at + after;
            const auto sent =
                static_cast<double>(server.sent_between(from, from + length));
            const double due =
                share * rate * std::chrono::duration<double>(length).count();
            CHECK(sent + 1 > due - (share == 1 ? shift : 0));
        }
    }
}

std::optional<double> pace_after(server_pacer& pacer, std::size_t intervals,
                                 const answer_counts& answers, duration latency,
                                 time_point& now)
{
    for (std::size_t count = 0; count < intervals; ++count)
    {
        for (std::uint64_t number = 0; number < answers.good + answers.bad; ++number)
        {
            pacer.record_answer("server",
                                number < answers.good ? server_observation::good
                                                      : server_observation::unreachable,
                                latency, typical_latency, now + 100ms);
        }
        now += server_pacer::interval;
    }
    return pacer.pace("server", now);
}

} // namespace

TEST_CASE("a cold server gets its rate and no more from entries that see it at once")
{
    // Guards against entries that all take the same token, and against idle ones.
    for (const std::size_t size : {1, 6, 24, 40, 100})
    {
        for (const bool paces : {false, true})
        {
            CAPTURE(size);
            CAPTURE(paces);
            pacing_fleet fleet(size);
            fleet.paces = paces;
            fleet.begin_return(return_cause::cold, 30s);
            fleet.advance(20s);
            check_cold_bound(fleet);
            check_rates(fleet, cold_rate);
        }
    }
}

TEST_CASE("a server that becomes cold under load is paced although entries learn late")
{
    for (const std::size_t size : {6, 24, 40, 100})
    {
        for (const bool paces : {false, true})
        {
            CAPTURE(size);
            CAPTURE(paces);
            pacing_fleet fleet(size);
            fleet.paces = paces;
            fleet.demand = normal_rate;
            fleet.is_listed = true;
            fleet.advance(3s);
            fleet.begin_return(return_cause::cold, 30s);
            fleet.advance(20s);
            check_cold_bound(fleet);
            check_rates(fleet, cold_rate);
        }
    }
}

TEST_CASE("a healthy server is paced up to its whole rate under a burst")
{
    // Load: twice the server's capacity. The latency of 2.5 s gives no answers before.
    for (const std::size_t size : {1, 6, 24, 40, 100})
    {
        for (const duration latency :
             {duration(200ms), typical_latency, duration(2500ms)})
        {
            CAPTURE(size);
            CAPTURE(whole_milliseconds(latency));
            pacing_fleet fleet(size);
            fleet.set_latency(latency);
            fleet.demand = 2 * normal_rate;
            fleet.begin_return(return_cause::started, 0s);
            fleet.advance(500ms);
            CHECK(fleet.servers[0].sent.size() <= normal_rate / 4);
            fleet.advance(19500ms);
            check_rates(fleet, normal_rate);
            CHECK(fleet.entries[0].pacer.returning_count() == 0);
        }
    }
}

TEST_CASE("the servers of a failure domain that returns cold keep their bounds")
{
    pacing_fleet fleet(40, 11);
    fleet.begin_return(return_cause::taken_back, 30s);
    fleet.advance(20s);
    check_cold_bound(fleet);
    check_rates(fleet, cold_rate);
}

TEST_CASE("a server that restarts repeatedly starts slower each time")
{
    pacing_fleet fleet(40);
    const time_point first = fleet.now;
    for (int round = 0; round < 6; ++round)
    {
        fleet.servers[0].fails = false;
        fleet.begin_return(return_cause::started, 4s);
        fleet.advance(2s);
        fleet.servers[0].fails = true;
        fleet.advance(1s);
    }
    fleet.returned_at = first;
    check_cold_bound(fleet);
    fleet.servers[0].fails = false;
    fleet.begin_return(return_cause::started, 0s);
    fleet.advance(150ms);
    for (auto& member : fleet.entries)
    {
        CHECK(member.pacer.pace("server-0", fleet.now).value_or(normal_rate) <=
              normal_rate / 32);
    }
}

TEST_CASE(
    "an entry that is cut off, has a stale list or has just started keeps the bound")
{
    for (const std::size_t size : {6, 24, 40, 100})
    {
        CAPTURE(size);
        for (const bool paces : {false, true})
        {
            CAPTURE(paces);
            pacing_fleet fleet(size);
            fleet.paces = paces;
            fleet.demand = 2 * normal_rate;
            fleet.is_listed = true;
            fleet.entries[1].delay = 6s;
            fleet.begin_return(return_cause::taken_back, 60s);
            for (std::size_t round = 2; round < 8; ++round)
            {
                fleet.advance(500ms);
                fleet.restart(round % size);
            }
            fleet.advance(500ms);
            CHECK(fleet.entries[1].limiter.is_cold("server-0", fleet.now));
            fleet.divide([](std::size_t number) { return number == 0 ? 1 : 0; });
            fleet.advance(4s);
            fleet.divide([](std::size_t) { return 0; });
            fleet.advance(4s);
            check_cold_bound(fleet);
        }
    }
}

TEST_CASE("the halves of a fleet keep the bound of a cold server together")
{
    // Guards against halves that both spend the whole until their time-outs, also when a
    // burst begins at that moment.
    for (const std::size_t size : {2, 6, 24, 40, 100})
    {
        for (const bool had_load : {false, true})
        {
            CAPTURE(size);
            CAPTURE(had_load);
            pacing_fleet fleet(size);
            fleet.paces = false;
            fleet.begin_return(return_cause::cold, 60s);
            fleet.advance(5s, had_load);
            fleet.divide([](std::size_t number) { return number % 2; });
            fleet.advance(5s);
            fleet.divide([](std::size_t) { return 0; });
            fleet.advance(5s);
            check_cold_bound(fleet);
        }
    }
}

TEST_CASE("two requests that are taken together keep the bound of a cold server")
{
    for (const std::size_t size : {6, 24, 40, 100})
    {
        CAPTURE(size);
        pacing_fleet fleet(size);
        fleet.requests_together = 2;
        fleet.begin_return(return_cause::cold, 30s);
        fleet.advance(20s);
        check_cold_bound(fleet);
        check_rates(fleet, cold_rate);
    }
}

TEST_CASE("a pace is halved by failures, held by slow answers, and doubled by good ones")
{
    server_pacer pacer;
    time_point now{1h};
    CHECK(pacer.begin_return("server", return_cause::started, 64, typical_latency, now));
    CHECK(!pacer.begin_return("server", return_cause::cold, 64, typical_latency, now));
    CHECK(pacer.pace("server", now) == 8);
    CHECK(pace_after(pacer, 1, {9, 0, 1}, 600ms, now) == 16);
    CHECK(pace_after(pacer, 1, {8, 0, 1}, 600ms, now) == 8);
    CHECK(pace_after(pacer, 3, {10, 0, 0}, 1300ms, now) == 8);
    CHECK(pace_after(pacer, 4, {0, 0, 1}, 600ms, now) == 2);
    CHECK(pace_after(pacer, 36, {0, 0, 1}, 600ms, now) == 2);
    // After 10 s the return ends, but not while answers are bad.
    CHECK(pace_after(pacer, 7, {10, 0, 0}, 1300ms, now) == 2);
    CHECK(!pace_after(pacer, 1, {10, 0, 0}, 1300ms, now));
    CHECK(pacer.take_steps(now).back().pace == std::nullopt);
    CHECK(pacer.make_reports(std::nullopt, now).empty());
}

TEST_CASE("a return after one that ended badly starts at half of its pace")
{
    server_pacer pacer;
    time_point now{1h};
    for (const double first : {8.0, 4.0, 2.0, 2.0})
    {
        CHECK(pacer.begin_return("server", return_cause::started, 64, typical_latency,
                                 now));
        CHECK(pacer.pace("server", now) == first);
        pace_after(pacer, 2, {0, 0, 1}, 600ms, now);
    }
    now += 45s;
    CHECK(!pacer.pace("server", now));
    CHECK(pacer.begin_return("server", return_cause::started, 64, typical_latency, now));
    CHECK(pacer.pace("server", now) == 8);
}

TEST_CASE("answers of all entries decide a pace, also those of lost reports")
{
    server_pacer pacer;
    server_pacer peer;
    time_point now{1h};
    pacer.begin_return("server", return_cause::started, 64, typical_latency, now);
    peer.begin_return("server", return_cause::started, 64, typical_latency, now);
    pace_after(peer, 1, {0, 0, 1}, 600ms, now);
    (void)peer.make_reports(std::nullopt, now); // Lost.
    pacer.apply("peer", 1, peer.make_reports(std::nullopt, now), now);
    CHECK(pace_after(pacer, 1, {5, 0, 0}, 600ms, now) == 4);
    // A report that comes again counts once.
    pacer.apply("peer", 1, peer.make_reports(std::nullopt, now), now);
    CHECK(pace_after(pacer, 1, {5, 0, 0}, 600ms, now) == 8);

    server_pacer started;
    started.apply("entry", 1, pacer.make_reports(std::nullopt, now), now);
    CHECK(started.pace("server", now) == 8);
    CHECK(
        !started.begin_return("server", return_cause::started, 64, typical_latency, now));
}

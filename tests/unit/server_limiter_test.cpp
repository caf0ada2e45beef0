#include <deque>
#include <functional>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <agateseam/server_limiter.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr auto tick = 10ms;
constexpr auto rule_window = 4s;
/// By the users' rule.
double allowed_requests(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

/// Entries in virtual time that all have requests for one server, or some of them. A
/// digest takes two ticks; changes are told after two ticks, and all of it at the whole
/// interval.
class fleet
{
  public:
    fleet(std::size_t size, double server_rate)
        : rate(server_rate)
    {
        for (std::size_t number = 0; number < size; ++number)
        {
            this->names.push_back("entry-" + std::to_string(number));
            this->entries.emplace_back(this->names.back());
            this->incarnations.push_back(1);
            this->due.push_back({});
        }
        this->divide(1);
    }

    /// Cuts the fleet into parts that can't reach each other.
    void divide(std::size_t part_count)
    {
        this->parts = part_count;
        this->peers.assign(this->entries.size(), {});
        for (std::size_t from = 0; from < this->entries.size(); ++from)
        {
            for (std::size_t to = 0; to < this->entries.size(); ++to)
            {
                if (from != to && from % part_count == to % part_count)
                {
                    this->peers[from].insert(this->names[to]);
                }
            }
        }
    }

    void restart(std::size_t number)
    {
        this->entries[number] = server_limiter(this->names[number]);
        ++this->incarnations[number];
        this->first_heard = true;
    }

    void advance(duration time)
    {
        const duration whole_interval =
            std::max<duration>(200ms, 4ms * this->entries.size());
        for (const time_point end = this->now + time; this->now < end; this->now += tick)
        {
            this->deliver();
            for (std::size_t number = 0; number < this->entries.size(); ++number)
            {
                if (this->wants(number))
                {
                    this->try_send(number);
                }
                const auto phase = (this->now.time_since_epoch() +
                                    number * whole_interval / this->entries.size()) %
                                   whole_interval;
                const bool is_whole = phase < duration(tick);
                if (is_whole ||
                    (this->due[number] != time_point{} && this->now >= this->due[number]))
                {
                    this->send_digest(number, whole_interval);
                }
            }
            this->first_heard = false;
        }
    }

    /// Returns the most requests in a window of the rule since a time.
    [[nodiscard]] std::size_t busiest_window(time_point since) const
    {
        std::size_t most = 0;
        for (auto begin = this->sends.begin(); begin != this->sends.end(); ++begin)
        {
            if (*begin >= since)
            {
                const auto end =
                    std::lower_bound(begin, this->sends.end(), *begin + rule_window);
                most = std::max(most, static_cast<std::size_t>(end - begin));
            }
        }
        return most;
    }

    [[nodiscard]] std::size_t sent_since(time_point since) const
    {
        return static_cast<std::size_t>(
            this->sends.end() -
            std::lower_bound(this->sends.begin(), this->sends.end(), since));
    }

    std::optional<double> rate; ///< That the server names.
    std::function<bool(std::size_t)> wants = [](std::size_t) { return true; };
    time_point now{1h};
    pcg32 random{20261204};

  private:
    struct message
    {
        time_point arrives_at;
        std::size_t from;
        std::uint64_t incarnation;
        keyed_map<server_limit_report> reports;
    };

    void try_send(std::size_t number)
    {
        const fleet_view view{static_cast<std::uint32_t>(this->entries.size()),
                              static_cast<std::uint32_t>(this->peers[number].size() + 1)};
        server_limiter& entry = this->entries[number];
        const bool is_limited = entry.limit("server").has_value();
        if (entry.try_take("server", this->peers[number], view, this->now))
        {
            this->sends.push_back(this->now);
            entry.record_answer("server", this->rate, this->now, this->now);
            if (is_limited || this->rate)
            {
                time_point& send_at = this->due[number];
                send_at = send_at == time_point{} ? this->now + 2 * tick : send_at;
            }
        }
    }

    void send_digest(std::size_t number, duration whole_interval)
    {
        this->due[number] = {};
        const auto since = this->first_heard
                               ? std::nullopt
                               : std::optional(this->now - 2 * whole_interval);
        this->messages.push_back({this->now + 2 * tick, number,
                                  this->incarnations[number],
                                  this->entries[number].make_reports(since, this->now)});
    }

    void deliver()
    {
        while (!this->messages.empty() && this->messages.front().arrives_at <= this->now)
        {
            const message sent = std::move(this->messages.front());
            this->messages.pop_front();
            for (std::size_t to = 0; to < this->entries.size(); ++to)
            {
                if (to != sent.from && to % this->parts == sent.from % this->parts &&
                    this->random() % 100 >= 2)
                {
                    this->entries[to].apply(this->names[sent.from], sent.incarnation,
                                            sent.reports, this->now);
                }
            }
        }
    }

    std::vector<std::string> names;
    std::size_t parts = 1;
    std::vector<std::set<std::string>> peers; ///< That each entry reaches.
    std::vector<server_limiter> entries;
    std::vector<std::uint64_t> incarnations;
    std::vector<time_point> due;
    std::deque<message> messages;
    std::vector<time_point> sends;
    bool first_heard = true;
};

} // namespace

TEST_CASE("all entries together keep a server's limit and use most of it")
{
    for (const std::size_t size : {1, 6, 100})
    {
        for (const double rate : {0.4, 3.8, 25.0})
        {
            CAPTURE(size);
            CAPTURE(rate);
            fleet site(size, rate);
            site.advance(3s);
            const time_point since = site.now;
            site.advance(10s);
            CHECK(static_cast<double>(site.busiest_window(since)) <=
                  allowed_requests(rate));
            CHECK(static_cast<double>(site.sent_since(since)) >= 0.7 * rate * 10);
        }
    }
}

TEST_CASE("a few of many entries keep a server's limit")
{
    for (const std::size_t wanting : {1, 8, 30})
    {
        CAPTURE(wanting);
        fleet site(100, 3.8);
        site.advance(3s);
        site.wants = [wanting](std::size_t number) { return number < wanting; };
        const time_point since = site.now;
        site.advance(10s);
        CHECK(static_cast<double>(site.busiest_window(since)) <= allowed_requests(3.8));
        CHECK(static_cast<double>(site.sent_since(since)) >= 0.4 * 3.8 * 10);
    }
}

TEST_CASE("the parts of a divided fleet keep a server's limit together")
{
    for (const std::size_t size : {6, 100})
    {
        for (const std::size_t parts : {std::size_t{2}, size})
        {
            CAPTURE(size);
            CAPTURE(parts);
            fleet site(size, 3.8);
            site.advance(3s);
            site.divide(parts);
            const time_point since = site.now;
            site.advance(8s);
            site.divide(1);
            site.advance(5s);
            // The rule excuses an entry that is cut off; here all are. Each of them may
            // send one request before it knows.
            const bool is_excused = size == 100 && parts == size;
            const double excused = is_excused ? static_cast<double>(size) : 0;
            CHECK(static_cast<double>(site.busiest_window(since)) <=
                  allowed_requests(3.8) + excused);
        }
    }
}

TEST_CASE("an entry that restarts keeps the limit that the others know")
{
    fleet site(6, 3.8);
    site.advance(3s);
    const time_point since = site.now;
    for (std::size_t round = 0; round < 12; ++round)
    {
        site.restart(round % 6);
        site.advance(1s);
    }
    CHECK(static_cast<double>(site.busiest_window(since)) <= allowed_requests(3.8));
}

TEST_CASE("a limit ends when answers name none, and a late answer doesn't end it")
{
    fleet site(6, 2.0);
    site.advance(5s);
    site.rate.reset();
    site.advance(3s);
    const time_point since = site.now;
    site.advance(1s);
    CHECK(site.sent_since(since) >= 300);

    server_limiter copy("entry");
    const time_point now{1h};
    CHECK(copy.record_answer("server", 2.0, now - 10ms, now));
    CHECK(!copy.record_answer("server", std::nullopt, now - 50ms, now + 1ms));
    CHECK(copy.limit("server") == 2.0);
    CHECK(copy.record_answer("server", std::nullopt, now + 1ms, now + 60ms));
    CHECK(!copy.limit("server"));
}

TEST_CASE("the least of a server's limit, its cold bound and its pace holds")
{
    server_limiter entry("entry");
    time_point now{1h};
    const auto sent_in_10s = [&]
    {
        int sent = 0;
        for (int step = 0; step < 1'000; ++step, now += tick)
        {
            sent += entry.try_take("server", {}, {}, now) ? 1 : 0;
        }
        return sent;
    };
    CHECK(!entry.set_cold("server", 0, now + 10s, now));
    CHECK(!entry.is_paced("server", now));
    CHECK(entry.set_cold("server", 8, now + 30s, now));
    CHECK(!entry.set_cold("server", 8, now + 25s, now));
    CHECK(sent_in_10s() == doctest::Approx(80).epsilon(0.03));
    entry.set_pace("server", 4, now);
    CHECK(sent_in_10s() == doctest::Approx(40).epsilon(0.03));
    CHECK(!entry.limit("server"));
    entry.record_answer("server", 2, now, now);
    CHECK(sent_in_10s() == doctest::Approx(20).epsilon(0.06));
    CHECK(entry.limit("server") == 2);
    CHECK(!entry.is_cold("server", now));
    entry.record_answer("server", std::nullopt, now, now);
    CHECK(entry.is_paced("server", now));
    entry.set_pace("server", std::nullopt, now);
    CHECK(!entry.is_paced("server", now));
    CHECK(sent_in_10s() == 1'000);
    now += server_limiter::memory;
    CHECK(entry.make_reports(std::nullopt, now).empty());
}

TEST_CASE("entries learn from each other that a server is cold, and not for longer")
{
    // Guards against a cold time that grows with the delay of each report.
    server_limiter first("first");
    server_limiter second("second");
    time_point now{1h};
    const time_point cold_until = now + 3s;
    first.set_cold("server", 8, cold_until, now);
    CHECK(second.apply("first", 1, first.make_reports(std::nullopt, now), now).size() ==
          1);
    for (; now < cold_until; now += 100ms)
    {
        const auto reports = first.make_reports(std::nullopt, now);
        CHECK(second.apply("first", 1, reports, now + 50ms).empty());
        first.apply("second", 1, second.make_reports(std::nullopt, now + 50ms),
                    now + 99ms);
    }
    CHECK(!first.is_cold("server", cold_until));
    CHECK(!second.is_cold("server", cold_until + 50ms));
}

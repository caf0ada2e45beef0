#include <doctest/doctest.h>

#include <gateway/request_scope.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr double cold_per_second = 32;

backend_server make_server(const std::string& id, std::uint64_t born_ms = 1,
                           std::chrono::milliseconds cold_remaining = 0ms)
{
    backend_server server;
    server.id = id;
    server.service = "work";
    server.failure_domain = "north-a";
    server.slots = 4;
    server.born_ms = born_ms;
    server.cold_remaining = cold_remaining;
    return server;
}

gateway_settings make_settings(bool pace_servers)
{
    gateway_settings settings;
    settings.vm = "entry-1";
    settings.pace_servers = pace_servers;
    return settings;
}

/// An entry whose service has cold servers, and to which lists come at chosen times.
struct site
{
    explicit site(bool pace_servers, double cold_rate = cold_per_second)
        : state(this->loop, make_settings(pace_servers), 1)
    {
        routing_parts parts;
        parts.version = 1;
        service_properties service;
        service.name = "work";
        service.cold_start = 5s;
        service.cold_per_second = cold_rate;
        parts.services.push_back(service);
        this->state.routing = *routing_table::create(std::move(parts));
    }

    void list(std::vector<backend_server> servers, duration at)
    {
        this->state.directory.replace(std::move(servers), false, this->began + at);
        this->state.servers_known = true;
        this->state.backends = this->state.directory.usable();
        this->state.returning.note_listing(this->began + at);
    }

    [[nodiscard]] bool is_cold(const std::string& id, duration at) const
    {
        return this->state.limiter.is_cold(id, this->began + at);
    }
    [[nodiscard]] bool is_paced(const std::string& id, duration at) const
    {
        return this->state.is_paced(id, this->began + at);
    }
    void answer(const std::string& id, server_observation observation, duration at,
                duration elapsed = 50ms)
    {
        this->state.health.begin(id);
        this->state.returning.end_attempt(id, observation, elapsed, this->began + at);
    }

    time_point began = boot_now();
    event_loop loop{1};
    entry_state state;
};

} // namespace

TEST_CASE("a server is cold for as long as its listing says")
{
    site entry(false);
    entry.list({make_server("a", 1, 3s), make_server("b")}, 0s);
    CHECK(entry.is_cold("a", 2'999ms));
    CHECK(!entry.is_cold("a", 3s));
    CHECK(!entry.is_cold("b", 1ms));
}

TEST_CASE("a listing that is seen again doesn't prolong the cold time")
{
    // Guards against a server that stays bounded for as long as its record is unchanged.
    site entry(false);
    entry.list({make_server("a", 1, 3s)}, 0s);
    entry.list({make_server("a", 1, 3s)}, 2s);
    CHECK(!entry.is_cold("a", 3s));
    entry.list({make_server("a", 1, 4s)}, 10s);
    CHECK(entry.is_cold("a", 13s));
    CHECK(!entry.is_cold("a", 14s));
    entry.list({make_server("a", 2, 8s)}, 20s);
    CHECK(entry.is_cold("a", 27s));
    CHECK(!entry.is_cold("a", 28s));
}

TEST_CASE("a server that starts during traffic is cold though it doesn't say so")
{
    site entry(false);
    entry.list({make_server("a")}, 0s);
    CHECK(!entry.is_cold("a", 1ms));
    entry.list({make_server("a"), make_server("b")}, 10s);
    CHECK(!entry.is_cold("a", 11s));
    CHECK(entry.is_cold("b", 14'999ms));
    CHECK(!entry.is_cold("b", 15s));
    entry.list({make_server("a", 2), make_server("b")}, 20s);
    CHECK(entry.is_cold("a", 24'999ms));
    CHECK(!entry.is_cold("b", 21s));
    entry.list({make_server("a", 2), make_server("b"), make_server("c", 1, 9s)}, 30s);
    CHECK(entry.is_cold("c", 38'999ms));
    CHECK(!entry.is_cold("c", 39s));
}

TEST_CASE("a server that is listed again after a lapse of its record hasn't started")
{
    // Guards against a fleet that becomes cold when the store's list comes back.
    site entry(true);
    entry.list({make_server("a"), make_server("b")}, 0s);
    entry.list({make_server("b")}, 5s);
    entry.list({make_server("a"), make_server("b")}, 60s);
    CHECK(!entry.is_cold("a", 61s));
    CHECK(!entry.is_paced("a", 61s));
}

TEST_CASE("a server is cold by its replies, which don't shorten the time")
{
    site entry(false);
    entry.list({make_server("a")}, 0s);
    entry.state.returning.record_cold(make_server("a"), 4s, entry.began + 1s);
    entry.state.returning.record_cold(make_server("a"), 1s, entry.began + 2s);
    entry.state.returning.record_cold(make_server("a"), 0s, entry.began + 2s);
    CHECK(entry.is_cold("a", 4'999ms));
    CHECK(!entry.is_cold("a", 5s));
    // A late reply of the process before a restart.
    entry.list({make_server("a", 7)}, 20s);
    entry.state.returning.record_cold(make_server("a", 1), 60s, entry.began + 21s);
    CHECK(!entry.is_cold("a", 26s));
}

TEST_CASE("the servers of a failure domain that is taken back are cold")
{
    site entry(false);
    backend_server elsewhere = make_server("b");
    elsewhere.failure_domain = "south-a";
    entry.list({make_server("a"), elsewhere}, 0s);
    entry.state.begin_domain_return("north-a", entry.began + 10s);
    CHECK(entry.is_cold("a", 14'999ms));
    CHECK(!entry.is_cold("a", 15s));
    CHECK(!entry.is_cold("b", 11s));
}

TEST_CASE("a domain that is taken back is cold though its servers were never published")
{
    // An entry that started during the evacuation knows them from the directory alone.
    site entry(false);
    entry.list({make_server("b")}, 0s);
    entry.state.directory.put(make_server("a"));
    entry.state.begin_domain_return("north-a", entry.began + 10s);
    CHECK(entry.is_cold("a", 14'999ms));
}

TEST_CASE("without settings for it no server is bounded")
{
    site entry(false, 0);
    entry.list({make_server("a", 1, 3s)}, 0s);
    entry.list({make_server("a", 2, 3s), make_server("b")}, 1s);
    entry.state.begin_domain_return("north-a", entry.began + 1s);
    CHECK(!entry.is_paced("a", 1s));
    CHECK(!entry.is_paced("b", 1s));
    for (int sent = 0; sent < 1'000; ++sent)
    {
        REQUIRE(entry.state.try_take_sends("a"));
    }
    CHECK(entry.state.limiter.make_reports(std::nullopt, entry.began + 1s).empty());
    CHECK(entry.state.returning.make_reports(std::nullopt, entry.began + 1s).empty());
}

TEST_CASE("a server that starts during traffic gets to full pace by good answers")
{
    site entry(true, 0);
    entry.list({make_server("a")}, 0s);
    CHECK(!entry.is_paced("a", 0s));
    entry.answer("a", server_observation::good, 1s);
    entry.list({make_server("a"), make_server("b")}, 2s);
    CHECK(!entry.is_paced("a", 2s));
    REQUIRE(entry.is_paced("b", 2s));
    // Four slots and 50 ms for each request at its peer.
    const auto reports =
        entry.state.returning.make_reports(std::nullopt, entry.began + 2s);
    REQUIRE(reports.contains("b"));
    CHECK(reports.at("b").capacity_per_second == doctest::Approx(80));
    CHECK(reports.at("b").cause == return_cause::started);
    for (duration at = 2s; at < 5s; at += 50ms)
    {
        entry.answer("b", server_observation::good, at);
    }
    entry.state.returning.update(entry.began + 5s);
    CHECK(!entry.is_paced("b", 5s));
    CHECK(entry.state.counters.text().find(
              "agateseam_server_returns_total{cause=\"started\"} 1") !=
          std::string::npos);
    CHECK(entry.state.counters.text().find("agateseam_servers_returning 0") !=
          std::string::npos);
}

TEST_CASE("a server that was ejected returns at a pace when an attempt reaches it")
{
    site entry(true, 0);
    entry.list({make_server("a"), make_server("b")}, 0s);
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        entry.answer("a", server_observation::unreachable, 1s);
    }
    CHECK(!entry.is_paced("a", 1s));
    entry.answer("a", server_observation::good, 2s);
    CHECK(entry.is_paced("a", 2s));
    entry.answer("b", server_observation::unreachable, 2s);
    entry.answer("b", server_observation::good, 2s);
    CHECK(!entry.is_paced("b", 2s));
}

TEST_CASE("a decode server returns at a pace after a failure only")
{
    // Guards against callers who wait while the places of a server that started are free.
    site entry(true, 0);
    auto started = make_server("b");
    started.stage = engine_stage::decode;
    entry.list({make_server("a")}, 0s);
    entry.list({make_server("a"), started}, 1s);
    CHECK(!entry.is_paced("b", 1s));
    entry.answer("b", server_observation::unreachable, 2s);
    entry.answer("b", server_observation::unreachable, 2s);
    entry.answer("b", server_observation::good, 3s);
    CHECK(entry.is_paced("b", 3s));
    auto other = make_server("c");
    other.stage = engine_stage::decode;
    entry.list({make_server("a"), started, other}, 4s);
    CHECK(!entry.is_paced("c", 4s));
    entry.state.returning.record_crash(other, entry.began + 5s);
    CHECK(entry.is_paced("c", 5s));
}

TEST_CASE("a cold server's pace rises to its cold bound")
{
    site entry(true);
    entry.list({make_server("a")}, 0s);
    entry.answer("a", server_observation::good, 1s, 10ms);
    entry.list({make_server("a"), make_server("b")}, 2s);
    const auto reports =
        entry.state.returning.make_reports(std::nullopt, entry.began + 2s);
    REQUIRE(reports.contains("b"));
    CHECK(reports.at("b").capacity_per_second == doctest::Approx(cold_per_second));
}

TEST_CASE("a server that other entries report to be cold returns at a pace")
{
    site entry(true);
    entry.list({make_server("a")}, 0s);
    server_limit_report report;
    report.per_second = -1;
    report.cold_per_second = cold_per_second;
    report.cold_ms = 3'000;
    keyed_map<server_limit_report> reports;
    reports["a"] = report;
    entry.state.returning.note_cold_reports(
        entry.state.limiter.apply("entry-2", 1, reports, entry.began + 1s),
        entry.began + 1s);
    CHECK(entry.is_cold("a", 3'999ms));
    CHECK(
        entry.state.returning.make_reports(std::nullopt, entry.began + 1s).contains("a"));
}

TEST_CASE("servers that wait for their pace don't rest")
{
    // Guards against callers who are told to come back while a server takes requests.
    site entry(true);
    entry.list({make_server("a", 1, 60s)}, 0s);
    const time_point now = boot_now();
    // An entry's first request needs no turn.
    REQUIRE(entry.state.try_begin_send(make_server("a")));
    CHECK(entry.state.pace_wait("a", now) > 0s);
    CHECK(!entry.state.time_all_busy("work", region_filter(), now));
    CHECK(!entry.state.try_begin_send(make_server("a")));
    entry.state.limiter.record_answer("a", 1.0, now, now);
    CHECK(entry.state.pace_wait("a", now) == 0s);
    CHECK(entry.state.time_all_busy("work", region_filter(), now) > 0s);
}

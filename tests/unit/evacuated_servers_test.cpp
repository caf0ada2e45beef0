#include <doctest/doctest.h>

#include <gateway/entry_state.hpp>
#include <gateway/evacuation_changes.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

backend_server make_server(std::string id, std::string domain, const std::string& version)
{
    backend_server server;
    server.id = std::move(id);
    server.service = "drafts";
    server.address = "127.0.0.1:1";
    server.failure_domain = std::move(domain);
    server.version = version;
    server.version_key = name_key("drafts" + version);
    return server;
}

gateway_settings make_settings(std::chrono::milliseconds evacuation_time)
{
    gateway_settings settings;
    settings.vm = "front-1";
    settings.evacuation_time = evacuation_time;
    return settings;
}

/// An entry that knows one server in each of two domains.
struct listed_entry
{
    explicit listed_entry(std::chrono::milliseconds evacuation_time)
        : state(loop, make_settings(evacuation_time), 1)
    {
        this->state.directory.put(make_server("i-1", "zone-a", "v1"));
        this->state.directory.put(make_server("i-2", "zone-b", "v2"));
        this->state.servers_known = true;
        this->state.publish_servers();
    }

    void list(const std::vector<std::string>& domains, store_position position)
    {
        const bool was_known = this->state.evacuated_domains.is_known();
        apply_evacuation_changes(
            this->state,
            this->state.evacuated_domains.replace(domains, position, boot_now()),
            was_known, "store");
    }

    [[nodiscard]] std::vector<std::string> published() const
    {
        std::vector<std::string> ids;
        for (const auto& server : this->state.servers_of("drafts"))
        {
            ids.push_back(server->id);
        }
        return ids;
    }

    event_loop loop{1};
    entry_state state;
};

using ids = std::vector<std::string>;

} // namespace

TEST_CASE("an entry publishes no servers before it knows the evacuations")
{
    // An entry that starts while the store turns it away would send to emptied domains.
    listed_entry entry(5s);
    CHECK(!entry.state.backends);
    entry.list({}, {1, 10});
    REQUIRE(entry.state.backends);
    CHECK(entry.published() == ids{"i-1", "i-2"});
}

TEST_CASE("where evacuations aren't followed, servers are published without them")
{
    listed_entry entry(0s);
    CHECK(entry.published() == ids{"i-1", "i-2"});
    entry.list({"zone-b"}, {1, 10});
    CHECK(entry.published() == ids{"i-1", "i-2"});
    CHECK(entry.state.accepts_work(make_server("i-2", "zone-b", "v2")));
}

TEST_CASE("servers of an evacuated domain are out of use until it is taken back")
{
    listed_entry entry(5s);
    entry.list({"zone-b"}, {1, 10});
    CHECK(entry.published() == ids{"i-1"});
    CHECK(!entry.state.accepts_work(make_server("i-2", "zone-b", "v2")));
    CHECK(!entry.state.try_begin_send(make_server("i-2", "zone-b", "v2")));
    CHECK(entry.state.try_begin_send(make_server("i-1", "zone-a", "v1")));
    CHECK(entry.state.refusal_reason(make_server("i-2", "zone-b", "v2")) ==
          "failure domain evacuated");
    // A server that starts there later is out of use, too.
    entry.state.directory.put(make_server("i-3", "zone-b", "v2"));
    entry.state.publish_servers();
    CHECK(entry.published() == ids{"i-1"});
    entry.list({}, {1, 20});
    CHECK(entry.published() == ids{"i-1", "i-2", "i-3"});
    CHECK(entry.state.accepts_work(make_server("i-2", "zone-b", "v2")));
    const std::string metrics = entry.state.counters.text();
    CHECK(metrics.find("agateseam_evacuated_domains 0\n") != std::string::npos);
    CHECK(metrics.find("agateseam_evacuation_changes_total 2\n") != std::string::npos);
}

TEST_CASE("the versions of evacuated servers count as listed")
{
    // Otherwise a stream that began at an evacuated server is taken up at one of another
    // version, which seems to be the only one.
    listed_entry entry(5s);
    entry.list({"zone-b"}, {1, 10});
    CHECK(!entry.state.versions.only_version("drafts", 0s, boot_now()));
}

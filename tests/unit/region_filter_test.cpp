#include <doctest/doctest.h>

#include <gateway/request_scope.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

const std::map<std::string, std::string, std::less<>> regions{
    {"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}};

backend_server make_server(const std::string& id, const std::string& domain,
                           engine_stage stage = engine_stage::none)
{
    backend_server server;
    server.id = id;
    server.service = "work";
    server.failure_domain = domain;
    server.stage = stage;
    return server;
}

/// The state of an entry that lists servers, and a request to them.
struct listed_site
{
    explicit listed_site(std::vector<backend_server> servers)
        : state(this->loop, gateway_settings{}, 1)
    {
        this->state.directory.replace(std::move(servers), false, boot_now());
        this->state.servers_known = true;
        this->state.publish_servers();
        this->scope.state = &this->state;
        this->scope.service = "work";
    }

    event_loop loop{1};
    entry_state state;
    request_scope scope;
};

} // namespace

TEST_CASE("a request without regions may run anywhere")
{
    const region_filter filter(regions, {}, {});
    CHECK(!filter.is_restricted());
    CHECK(filter.allows(make_server("a", "south-a")));
    CHECK(filter.allows(make_server("a", "unmapped")));
    CHECK(region_filter().allows(make_server("a", "unmapped")));
}

TEST_CASE("a request runs only in the regions that both its route and workspace name")
{
    const region_filter by_route(regions, {"north"}, {});
    CHECK(by_route.allows(make_server("a", "north-a")));
    CHECK(by_route.allows(make_server("a", "north-b")));
    CHECK(!by_route.allows(make_server("a", "south-a")));
    const region_filter by_workspace(regions, {}, {"south"});
    CHECK(!by_workspace.allows(make_server("a", "north-a")));
    CHECK(by_workspace.allows(make_server("a", "south-a")));
    const region_filter by_both(regions, {"north", "south"}, {"south"});
    CHECK(!by_both.allows(make_server("a", "north-a")));
    CHECK(by_both.allows(make_server("a", "south-a")));
    const region_filter by_none(regions, {"north"}, {"south"});
    CHECK(!by_none.allows(make_server("a", "north-a")));
    CHECK(!by_none.allows(make_server("a", "south-a")));
}

TEST_CASE("a server of an unknown failure domain or an unknown region takes no "
          "restricted request")
{
    const region_filter filter(regions, {"north", "west"}, {});
    CHECK(!filter.allows(make_server("a", "unmapped")));
    CHECK(!filter.allows(make_server("a", "")));
    CHECK(!region_filter(regions, {"west"}, {}).allows(make_server("a", "north-a")));
    CHECK(!region_filter({}, {"north"}, {}).allows(make_server("a", "north-a")));
}

TEST_CASE("a request has no server in its region where all are elsewhere")
{
    // Guards against a request that waits for, or runs at, a server of another region.
    listed_site site({make_server("a", "north-a"), make_server("b", "unmapped")});
    CHECK(site.scope.has_server_in_region(false));
    site.scope.region = region_filter(regions, {"north"}, {});
    CHECK(site.scope.has_server_in_region(false));
    site.scope.region = region_filter(regions, {"south"}, {});
    CHECK(!site.scope.has_server_in_region(false));
}

TEST_CASE("a prefill server alone doesn't serve model requests of its region")
{
    // Guards against a wait for a decode place that can't come.
    listed_site site({make_server("a", "north-a", engine_stage::prefill),
                      make_server("b", "south-a", engine_stage::decode)});
    site.scope.region = region_filter(regions, {"north"}, {});
    CHECK(site.scope.has_server_in_region(false));
    CHECK(!site.scope.has_server_in_region(true));
    site.scope.region = region_filter(regions, {"south"}, {});
    CHECK(site.scope.has_server_in_region(true));
}

TEST_CASE("servers rest for a request when all in its region rest")
{
    // Guards against a wait until the end of the target while a server of a region that
    // is out of the question works.
    listed_site site({make_server("a", "north-a"), make_server("b", "south-a")});
    const time_point now = boot_now();
    site.state.health.record_rest("a", 10s, now);
    CHECK(!site.scope.time_all_busy(now));
    site.scope.region = region_filter(regions, {"north"}, {});
    CHECK(site.scope.time_all_busy(now) == duration(10s));
    site.scope.region = region_filter(regions, {"south"}, {});
    CHECK(!site.scope.time_all_busy(now));
}

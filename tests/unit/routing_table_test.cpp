#include <doctest/doctest.h>

#include <agateseam/routing_table.hpp>

using namespace agateseam;

namespace
{

service_route make_route(std::string name, std::string host, std::string prefix)
{
    service_route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.path_prefix = std::move(prefix);
    route.weighted_services = {{"plain", 1}};
    return route;
}

std::shared_ptr<const routing_table> make_table(std::vector<service_route> routes)
{
    routing_parts parts;
    parts.version = 3;
    parts.routes = std::move(routes);
    parts.workspaces = {{"oshana", 100, 100, true, 10, {}}};
    parts.workspace_index_by_key = {{"key-1", 0}};
    auto table = routing_table::create(std::move(parts));
    REQUIRE(table);
    return *table;
}

} // namespace

TEST_CASE("the host's route with the longest matching path prefix is chosen")
{
    const auto table = make_table({make_route("short", "a.example", "/x/"),
                                   make_route("long", "a.example", "/x/y/"),
                                   make_route("b", "b.example", "/")});
    CHECK(table->route_for("a.example", "/x/y/z")->name == "long");
    CHECK(table->route_for("A.Example:8080", "/x/z")->name == "short");
    CHECK(table->route_for("a.example", "/xy") == nullptr);
    CHECK(table->route_for("b.example", "/x/y/")->name == "b");
    CHECK(table->route_for("c.example", "/x/") == nullptr);
}

TEST_CASE("a key leads to its own workspace, and an unknown workspace is rejected")
{
    const auto table = make_table({});
    CHECK(table->workspace_for_key("key-1")->name == "oshana");
    CHECK(table->workspace_for_key("key-") == nullptr);
    CHECK(table->workspace_for_key("") == nullptr);
    routing_parts invalid_parts;
    invalid_parts.workspace_index_by_key = {{"key", 5}};
    CHECK(!routing_table::create(std::move(invalid_parts)));
}

TEST_CASE("requests are split by weight, and one request id always gets the same service")
{
    service_route route = make_route("split", "a", "/");
    route.weighted_services = {{"first", 90}, {"second", 10}, {"none", 0}};
    int first_count = 0;
    for (int number = 0; number < 1'000; ++number)
    {
        const std::string id = "request-" + std::to_string(number);
        const auto service = route.service_for(id);
        CHECK(service == route.service_for(id));
        CHECK(service != "none");
        first_count += service == "first" ? 1 : 0;
    }
    CHECK(first_count > 850);
    CHECK(first_count < 950);
}

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <gateway/digest_codec.hpp>
#include <gateway/gateway_settings.hpp>
#include <platform/platform_dialect.hpp>
#include <platform/platform_documents.hpp>

using namespace agateseam;
using json = nlohmann::json;

namespace
{

json configuration_document()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"a.example","path_prefix":"/x/","route_type":"streaming",
         "timeout_ms":14000,"target_latency_ms":900,"priority":1,"max_attempts":2,
         "public":false,"resumable":true,"gap_target_ms":300,
         "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
        {"name":"r2","host":"a.example","path_prefix":"/y/","route_type":"unsafe",
         "timeout_ms":800,"service":"s2"}],
        "services":[{"name":"s1","engine":{"slots":64,"kv_capacity":75461,"kv_hold_s":0.5,
         "hold_ms":2000.0,"stride":59}},{"name":"s2","max_connections":110}],
        "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
        "tenants":[{"name":"oshana","api_keys":["k1","k2"],"priority":3,
         "unit":"token_stream","plain_tokens":200,"rate_per_s":82472,"burst":1000}]})");
}

json server_document()
{
    return json::parse(R"({"service":"s1","address":"10.128.0.9:8080","zone":"khomas-a",
        "slots":64,"state":"ready","stage":"decode","sequence":4,"born":1700000000000})");
}

} // namespace

TEST_CASE("a configuration document is decoded")
{
    const auto decoded = decode_configuration(configuration_document());
    REQUIRE(decoded);
    const routing_table& table = **decoded;
    CHECK(table.version() == 7);
    const service_route* stream = table.route_for("a.example", "/x/1");
    REQUIRE(stream != nullptr);
    CHECK(stream->rule == repeat_rule::stream);
    CHECK(stream->resumable);
    CHECK(stream->gap_target.count() == 300);
    CHECK(stream->weighted_services.size() == 2);
    CHECK(table.route_for("a.example", "/y/1")->rule == repeat_rule::once);
    CHECK(table.route_for("a.example", "/y/1")->max_attempts == 1);
    CHECK(table.workspace_for_key("k2")->name == "oshana");
    CHECK(table.workspace_for_key("k2")->tokens_per_second == 82472);
    CHECK(table.service("s1")->engine->tokens_per_event == 59);
    CHECK(table.service("s1")->engine->kv_handle_lifetime.count() == 500);
    CHECK(!table.service("s2")->engine);
    CHECK(table.limits().idle_timeout.count() == 15'000);
}

TEST_CASE("documents that aren't configurations are rejected")
{
    CHECK(!decode_configuration(json::parse("null")));
    CHECK(!decode_configuration(json::parse("[]")));
    CHECK(!decode_configuration(json::parse(R"({"version":3})")));
    CHECK(!decode_configuration(json::parse(R"({"version":"3","routes":[]})")));
}

TEST_CASE("invalid server objects are rejected")
{
    const auto server = decode_server("i-1", server_document());
    REQUIRE(server);
    CHECK(server->stage == engine_stage::decode);
    CHECK(server->born_ms == 1'700'000'000'000);
    for (const char* invalid_member :
         {R"({"service":null})", R"({"address":7})", R"({"address":"nowhere"})",
          R"({"state":"odd"})", R"({"state":null})", R"({"service":""})"})
    {
        json document = server_document();
        document.merge_patch(json::parse(invalid_member));
        CHECK(!decode_server("i-1", document));
    }
    CHECK(!decode_server("i-1", json("text")));
    CHECK(!decode_server("", server_document()));
    json draining = server_document();
    draining["state"] = "draining";
    CHECK(decode_server("i-1", draining)->leaving);
}

// Guards against text of another writer that adds fields to the requests for a server.
TEST_CASE("a server whose name or address is no value of a header field is rejected")
{
    using namespace std::string_literals;
    for (const std::string& name : {"a\r\nX: 1"s, "a\nb"s, "a\0b"s, "a\x7f"s, "\x01"s})
    {
        CAPTURE(name);
        CHECK(!decode_server(name, server_document()));
    }
    CHECK(decode_server("a &+#%/\xc3\xa9", server_document()));
    for (const std::string& address :
         {"10.128.0.9\0:8080"s, "10.128.0.9\0\r\nX: 1\r\nY:8080"s,
          "10.128.0.9\r\n:8080"s})
    {
        CAPTURE(address);
        json document = server_document();
        document["address"] = address;
        CHECK(!decode_server("i-1", document));
    }
}

TEST_CASE("the text of a server's answer becomes one segment of a path, or is rejected")
{
    const auto dialect = make_platform_dialect();
    const backend_server server = *decode_server("i-1", server_document());
    CHECK(
        dialect->write_release_request(server, "a/../b?c d#e%")
            .starts_with("DELETE /v1/hold-drop/a%2F..%2Fb%3Fc%20d%23e%25 HTTP/1.1\r\n"));
    CHECK(dialect->write_kv_release_request(server, "a/b\r\nX: 1")
              .starts_with("DELETE /v1/kv-handle/a%2Fb%0D%0AX%3A%201 HTTP/1.1\r\n"));
    for (const char* text : {"a\r\nX: 1", "a\nb", "a\x7f"})
    {
        CHECK(!dialect->read_prefill_reply(json{{"kv_handle", text}}.dump()));
        CHECK(!dialect->read_reservation_reply(json{{"hold", text}}.dump()));
    }
    CHECK(dialect->read_prefill_reply(R"({"kv_handle":"3fa0"})")->handle == "3fa0");
}

TEST_CASE("what a configuration says of cold servers and regions is decoded")
{
    json document = configuration_document();
    document["services"][0]["cold_start_s"] = 2.5;
    document["services"][0]["cold_per_s"] = 32.0;
    document["services"][1]["cold_start_s"] = -1;
    document["services"][1]["cold_per_s"] = "32";
    document["routes"][0]["allowed_regions"] = {"khomas", 7};
    document["tenants"][0]["allowed_regions"] = "khomas";
    const auto decoded = decode_configuration(document);
    REQUIRE(decoded);
    const routing_table& table = **decoded;
    CHECK(table.service("s1")->cold_start.count() == 2'500);
    CHECK(table.service("s1")->cold_per_second == 32);
    CHECK(table.service("s2")->cold_start.count() == 0);
    CHECK(table.service("s2")->cold_per_second == 0);
    CHECK(table.route_for("a.example", "/x/1")->allowed_regions ==
          std::vector<std::string>{"khomas"});
    CHECK(table.workspace_for_key("k1")->allowed_regions ==
          std::vector<std::string>{"khomas"});
}

TEST_CASE("an invalid time that a server stays cold counts as none")
{
    json document = server_document();
    CHECK(decode_server("i-1", document)->cold_remaining.count() == 0);
    document["cold_remaining_ms"] = 2'900.5;
    CHECK(decode_server("i-1", document)->cold_remaining.count() == 2'900);
    for (const char* invalid_value : {"-1", "\"3000\"", "[3000]", "true", "1e300"})
    {
        document["cold_remaining_ms"] = json::parse(invalid_value);
        const auto server = decode_server("i-1", document);
        REQUIRE_MESSAGE(server, invalid_value);
        CHECK_MESSAGE(server->cold_remaining.count() == 0, invalid_value);
    }
    const auto dialect = make_platform_dialect();
    message_head head;
    head.fields = {{"Agateseam-Cold-Remaining", "2900"}};
    CHECK(dialect->read_reply(head).cold_remaining == std::chrono::milliseconds(2'900));
    for (const char* invalid_value : {"", "-1", "2.5", "soon", "99999999999"})
    {
        head.fields[0].value = invalid_value;
        CHECK_MESSAGE(!dialect->read_reply(head).cold_remaining, invalid_value);
    }
}

TEST_CASE("a request's fields are read, and reserved header fields aren't forwarded")
{
    const auto dialect = make_platform_dialect();
    message_head head;
    head.method = "POST";
    head.target = "/x/1";
    head.fields = {{"Host", "a"},
                   {"agateseam-request-id", "q1"},
                   {"Agateseam-Token-Count", "1460,80"},
                   {"Agateseam-Request-Deadline", "14000"},
                   {"Authorization", "Bearer k1"},
                   {"Agateseam-Tenant", "forged"},
                   {"Agateseam-Kv-Pin", "100"},
                   {"Connection", "keep-alive, X-Only"},
                   {"X-Only", "hop"},
                   {"X-Kept", "1"}};
    const auto facts = dialect->read_request(head);
    REQUIRE(facts);
    CHECK(facts->id == "q1");
    CHECK(facts->key == "k1");
    CHECK(facts->prompt_tokens == 1460);
    CHECK(facts->output_tokens == 80);
    CHECK(facts->max_wait->count() == 14'000);
    caller_request request;
    request.head = head;
    request.body = std::make_shared<const std::string>("{}");
    backend_server server;
    server.id = "i-1";
    forward_options order;
    order.server = &server;
    order.time_left = std::chrono::milliseconds(900);
    order.workspace = "oshana";
    const std::string forwarded_head = dialect->write_request(request, order);
    CHECK(forwarded_head.find("forged") == std::string::npos);
    CHECK(forwarded_head.find("Bearer") == std::string::npos);
    CHECK(forwarded_head.find("Kv-Pin") == std::string::npos);
    CHECK(forwarded_head.find("hop") == std::string::npos);
    CHECK(forwarded_head.find("X-Kept: 1\r\n") != std::string::npos);
    CHECK(forwarded_head.find("Agateseam-Tenant: oshana\r\n") != std::string::npos);
    CHECK(forwarded_head.find("Agateseam-Expect-Instance: i-1\r\n") != std::string::npos);
    CHECK(forwarded_head.find("Agateseam-Request-Deadline: 900\r\n") !=
          std::string::npos);
    CHECK(forwarded_head.find("Content-Length: 2\r\n") != std::string::npos);
}

TEST_CASE("a reply's word that its server leaves is read, and only as the page says")
{
    const auto dialect = make_platform_dialect();
    message_head head;
    head.status = 200;
    CHECK(!dialect->read_reply(head).leaving);
    head.fields = {{"server-leaving", "1"}, {"Agateseam-Instance-Id", "i-1"}};
    CHECK(dialect->read_reply(head).leaving);
    CHECK(dialect->read_reply(head).server_id == "i-1");
    head.fields[0].value = "0";
    CHECK(!dialect->read_reply(head).leaving);
}

TEST_CASE("a reply's Retry-After is whole or fractional seconds, or else invalid")
{
    using std::chrono::milliseconds;
    const auto dialect = make_platform_dialect();
    message_head head;
    head.status = 503;
    CHECK(!dialect->read_reply(head).retry_after);
    CHECK(dialect->read_reply(head).invalid_retry_after.empty());
    const std::vector<std::pair<std::string, milliseconds>> spans{
        {"0", milliseconds(0)},
        {"2", milliseconds(2'000)},
        {"0.3", milliseconds(300)},
        {"0.0001", milliseconds(1)},
        {"1000000", milliseconds(1'000'000'000)},
        {"99999999999999999999", max_retry_after},
        {std::string(400, '9'), max_retry_after}};
    for (const auto& [text, span] : spans)
    {
        head.fields = {{"Retry-After", text}};
        const reply_metadata reply = dialect->read_reply(head);
        CHECK_MESSAGE(reply.retry_after == span, text);
        CHECK(reply.invalid_retry_after.empty());
    }
    for (const char* text : {"Fri, 04 Dec 2026 09:00:00 GMT", "soon", "-1", "inf", "nan",
                             "1e3", "0x10", "2 s", "+2"})
    {
        head.fields = {{"Retry-After", text}};
        const reply_metadata reply = dialect->read_reply(head);
        CHECK_MESSAGE(!reply.retry_after, text);
        CHECK(reply.invalid_retry_after == text);
    }
}

TEST_CASE("requests that break the protocol are rejected")
{
    const auto dialect = make_platform_dialect();
    message_head head;
    CHECK(!dialect->read_request(head));
    head.fields = {{"Agateseam-Request-Id", "q"}, {"Agateseam-Token-Count", "1,x"}};
    CHECK(!dialect->read_request(head));
    head.fields[1].value = "-1,5";
    CHECK(!dialect->read_request(head));
    // Their sum would overflow, and be a negative cost that raises the allowance.
    head.fields[1].value = "9223372036854775807,9223372036854775807";
    CHECK(!dialect->read_request(head));
    head.fields[1].value = "5000,70";
    CHECK(dialect->read_request(head));
}

// Guards against an entry that doesn't start as a bound of its deployment has a fraction.
TEST_CASE("times in seconds may have a fraction")
{
    const auto settings = gateway_settings::parse(
        R"({"vm":"v","failure_domain":"a","callers":"127.0.0.1:1",
        "readiness":"127.0.0.1:2","peers":"127.0.0.1:3","store":"127.0.0.1:4",
        "grace_s":6.25,"fleet":{"allowance_window_s":8.0,"repeat_window_s":2.5}})");
    REQUIRE(settings);
    CHECK(settings->grace == std::chrono::milliseconds(6'250));
    CHECK(settings->ledger.allowance_window == std::chrono::milliseconds(8'000));
    CHECK(settings->ledger.repeat_window == std::chrono::milliseconds(2'500));
}

TEST_CASE("all faults in an entry's settings are reported")
{
    const std::string valid_settings =
        R"({"vm":"v","failure_domain":"a","callers":"127.0.0.1:1",
        "readiness":"127.0.0.1:2","peers":"127.0.0.1:3","store":"127.0.0.1:4", // comment
        "fleet":{"allowance_reserve_tokens":110000}})";
    const auto settings = gateway_settings::parse(valid_settings);
    REQUIRE(settings);
    CHECK(settings->ledger.allowance_reserve_tokens == 110'000);
    CHECK(settings->evacuation_time.count() == 0);
    CHECK(!settings->pace_servers);
    const auto more = gateway_settings::parse(
        valid_settings.substr(0, valid_settings.size() - 1) +
        R"(,"evacuation_ms":5000,"pace_servers":true,"memory_mb":88,"descriptors":4100.0,"regions":{"a":"r","b":"r"}})");
    REQUIRE(more);
    CHECK(more->evacuation_time.count() == 5'000);
    CHECK(more->pace_servers);
    CHECK(more->regions.at("b") == "r");
    CHECK(more->memory_bytes == std::size_t{88} << 20);
    CHECK(more->descriptors == 4'100);
    const auto invalid_settings = gateway_settings::parse(
        R"({"vm":"v","callers":"nowhere","odd":1,"fleet":{"repeat_ratio":7},
        "evacuation_ms":-5,"regions":{"a":3}})");
    REQUIRE(!invalid_settings);
    for (const char* json_pointer : {"/callers", "/odd", "/fleet/repeat_ratio", "/store",
                                     "/evacuation_ms", "/regions/a"})
    {
        CHECK(invalid_settings.error().description.find(json_pointer) !=
              std::string::npos);
    }
    CHECK(!gateway_settings::parse("{ broken"));
}

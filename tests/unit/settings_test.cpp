#include <doctest/doctest.h>

#include <daemon/settings.hpp>

using namespace agateseam;

namespace
{

constexpr std::string_view valid_settings = R"({
    // An entry.
    "role": "entry", "vm": "entry-1", "failure_domain": "khomas-a",
    "listen": {"port": 8080, "memory_mb": 64},
    "platform_url": "http://127.0.0.1:1",
    "fleet_secret": "sixteen letters!", "operator_token": "sixteen letters!",
    "limits": {"lease_ms": 4000, "linger_ms": 50, "retry_ratio": 0.5}
})";

} // namespace

TEST_CASE("settings are JSON with comments")
{
    const auto settings = daemon_settings::parse(valid_settings);
    REQUIRE(settings);
    CHECK(settings->role == daemon_role::entry);
    CHECK(settings->listen.port == 8080);
    CHECK(settings->listen.memory_bytes == std::size_t{64} << 20);
    CHECK(settings->limits.lease_lifetime == std::chrono::milliseconds(4'000));
    CHECK(settings->limits.linger == std::chrono::milliseconds(50));
    CHECK(settings->limits.retry_ratio == doctest::Approx(0.5));
}

TEST_CASE("all errors are listed at once, each with its path")
{
    const auto settings = daemon_settings::parse(R"({
        "role": "king", "vm": 5, "failure_domain": "a", "listen": {"port": 99999},
        "fleet_secret": "short", "surplus": 1,
        "limits": {"lease_ms": 1, "retry_ratio": 2}})");
    REQUIRE(!settings);
    const std::string& errors = settings.error().description;
    for (const std::string_view path :
         {"/role", "/vm", "/listen/port", "/fleet_secret", "/surplus", "/platform_url",
          "/limits/lease_ms", "/limits/retry_ratio"})
    {
        CAPTURE(path);
        CHECK(errors.find(path) != std::string::npos);
    }
}

TEST_CASE("text that is not JSON is refused")
{
    CHECK(!daemon_settings::parse("{"));
    CHECK(!daemon_settings::parse(""));
}

#include <doctest/doctest.h>

#include <fakes/platform_fake.hpp>
#include <platform/http_object_store.hpp>

using namespace agateseam;

// Guards against keys that become another path, a query or no request at all.
TEST_CASE("an object's key may be any text")
{
    auto platform = fakes::platform_fake::create({});
    REQUIRE(platform);
    auto client = http_client::create({});
    REQUIRE(client);
    auto store = make_http_object_store(
        {"http://127.0.0.1:" + std::to_string((*platform)->port())}, **client);
    REQUIRE(store);
    const std::vector<std::string> keys{"odd/a b", "odd/a&b",       "odd/a+b",
                                        "odd/a#b", "odd/a%b",       "odd/%26",
                                        "odd/a?b", "odd/a\r\nX: 1", "odd/\xc3\xa9//b"};
    for (const std::string& key : keys)
    {
        CAPTURE(key);
        const auto version = (*store)->put(key, "value of " + key, 0);
        REQUIRE(version);
        const auto record = (*store)->get(key);
        REQUIRE(record);
        CHECK(record->value == "value of " + key);
        const auto watched = (*store)->watch(key, 0, std::chrono::milliseconds(1));
        REQUIRE(watched);
        REQUIRE(*watched);
        CHECK((*watched)->version == *version);
    }
    const auto listed = (*store)->list("odd/");
    REQUIRE(listed);
    CHECK(listed->size() == keys.size());
    for (const object_record& record : *listed)
    {
        CAPTURE(record.key);
        CHECK((*store)->remove(record.key, record.version));
    }
    CHECK((*store)->list("odd/")->empty());
}

#include <doctest/doctest.h>

#include <platform/store_document.hpp>

using namespace agateseam;
using json = nlohmann::json;

namespace
{

std::string repeat(std::string_view text, std::size_t count)
{
    std::string repeated;
    for (std::size_t number = 0; number < count; ++number)
    {
        repeated += text;
    }
    return repeated;
}

std::string item(std::string_view name, std::string_view spec)
{
    return R"({"metadata":{"name":")" + std::string(name) + R"("},"spec":)" +
           std::string(spec) + "}";
}

} // namespace

TEST_CASE("an unreadable object leaves the others of a list and of a watch readable")
{
    constexpr std::size_t depth = 300'000;
    const std::vector<std::string> odd{repeat("[", depth) + repeat("]", depth),
                                       repeat("{\"a\":", depth) + "1" +
                                           repeat("}", depth),
                                       "1e999",
                                       "\"\xff\xfe\"",
                                       "\"\\ud800\"",
                                       R"({"slots":-1e4000,"state":"]}"})"};
    for (const std::string& spec : odd)
    {
        const std::string good = item("b", R"({"text":"a ] , } \" \\"})");
        const json list =
            parse_store_document(R"({"items": [)" + item("a", spec) + " , " + good +
                                 R"(], "has_more": false, "current_rev": 7})");
        REQUIRE(list["items"].size() == 2);
        CHECK(list["items"][0]["metadata"]["name"] == "a");
        CHECK(list["items"][0]["spec"].is_null());
        CHECK(list["items"][1] == json::parse(good));
        CHECK(list["current_rev"] == 7);

        const json watch = parse_store_document(
            R"({"current_rev":8,"events":[{"object":)" + item("a", spec) +
            R"(,"tombstone":true},{"object":)" + good + R"(,"tombstone":false}]})");
        REQUIRE(watch["events"].size() == 2);
        CHECK(watch["events"][0]["object"]["metadata"]["name"] == "a");
        CHECK(watch["events"][0]["tombstone"] == true);
        CHECK(watch["events"][1]["object"] == json::parse(good));
    }
}

TEST_CASE("an object keeps its name when other members of its metadata are unreadable")
{
    constexpr std::size_t depth = 1'000;
    for (const std::string& odd : {repeat("[", depth) + repeat("]", depth),
                                   std::string("1e999"), std::string("\"\\ud800\"")})
    {
        const json list = parse_store_document(
            R"({"items":[{"metadata":{"finalizers":)" + odd +
            R"(,"name":"a","revision":3,"labels":)" + odd + R"(},"spec":{}}]})");
        REQUIRE(list["items"].size() == 1);
        CHECK(list["items"][0]["metadata"] == json{{"name", "a"}, {"revision", 3}});
        const json single =
            parse_store_document(R"({"metadata":{"name":"a","revision":3,"finalizers":)" +
                                 odd + R"(},"spec":{"number":1}})");
        CHECK(single["metadata"] == json{{"name", "a"}, {"revision", 3}});
        CHECK(single["spec"] == json{{"number", 1}});
    }
}

TEST_CASE("text that is no document is discarded")
{
    for (const std::string text :
         {"", "no JSON", "[", "{", R"({"items":[)", "{\"a\"}", "{\"a\":1e999", "\"\\"})
    {
        CAPTURE(text);
        CHECK(parse_store_document(text).is_discarded());
    }
    CHECK(parse_store_document(repeat("[", 1'000'000)).is_discarded());
    CHECK(parse_store_document("{}").is_object());
}

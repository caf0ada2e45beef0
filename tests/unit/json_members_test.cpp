#include <doctest/doctest.h>

#include <array>

#include <rapidcheck.h>

#include <daemon/json_members.hpp>
#include <nlohmann/json.hpp>

using namespace agateseam;
using nlohmann::json;

namespace
{

constexpr std::array<std::string_view, 1> old_limit{"max_completion_tokens"};

} // namespace

TEST_CASE("members are replaced, removed and added; others stay as they were sent")
{
    const std::string body = R"( { "model" : "m\"}", "stream":false ,)"
                             R"("max_completion_tokens":[1,{"a":"]"}],"x":1.50E+1 } )";
    REQUIRE(is_json_object(body));
    const std::string edited = replace_members(body, old_limit, {{"stream", true}});
    CHECK(edited == R"({"model" : "m\"}","x":1.50E+1 ,"stream":true})");
}

TEST_CASE("a member is replaced under any spelling and each time it occurs")
{
    const std::string edited = replace_members(
        R"({"stream":1,"str\u0065am":2,"stream":3})", {}, {{"stream", 4}});
    CHECK(edited == R"({"stream":4})");
}

TEST_CASE("only a whole JSON object is accepted")
{
    CHECK(is_json_object("{}"));
    for (const char* text : {"", " ", "[]", "1", "{", "{}}", R"({"a":})", R"({"a" 1})"})
    {
        CHECK(!is_json_object(text));
    }
    CHECK(replace_members("{}", {}, json::object()) == "{}");
    CHECK(replace_members("{}", old_limit, {{"n", 1}}) == R"({"n":1})");
}

TEST_CASE("an edited object equals one that was edited as values")
{
    CHECK(rc::check(
        "an edited object equals one that was edited as values",
        [](const std::map<std::string, std::vector<std::string>>& members, bool spaced)
        {
            json object = json::object();
            for (const auto& [name, value] : members)
            {
                // Texts of any bytes aren't valid JSON.
                object[json(name).dump(-1, ' ', true, json::error_handler_t::replace)] =
                    value.size();
            }
            object["nested"] = {{"max_completion_tokens", {"}", "]", ",\\\""}}};
            object["max_completion_tokens"] = {1, 2};
            const std::string edited = replace_members(object.dump(spaced ? 2 : -1),
                                                       old_limit, {{"nested", nullptr}});
            object.erase("max_completion_tokens");
            object["nested"] = nullptr;
            RC_ASSERT(json::parse(edited) == object);
        }));
}

#include <doctest/doctest.h>

#include <algorithm>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <agateseam/config_store.hpp>
#include <fakes/memory_store.hpp>

using namespace agateseam;
using fakes::memory_store;
using fakes::store_fault;
using json = nlohmann::json;

namespace
{

const steady_clock_source wall;

std::unique_ptr<config_store> open_store(memory_store& store)
{
    static std::atomic<int> opened{0};
    return config_store::create(store, wall, "writer" + std::to_string(++opened));
}

config_patch workspace_patch(std::uint64_t against, const std::string& id,
                             const std::string& name, double rate)
{
    const json text{{"workspaces", {{name, {{"rate", rate}, {"burst", rate}}}}}};
    return {against, id, "note of " + id, patch_format::merge_patch, text.dump()};
}

double rate_of(const config_state& state, const std::string& name)
{
    return json::parse(state.document)["workspaces"][name]["rate"].get<double>();
}

} // namespace

TEST_CASE("a patch against the current number applies, a stale one says what changed")
{
    memory_store objects;
    const auto first = open_store(objects);
    const auto second = open_store(objects);
    const auto made = first->patch(workspace_patch(0, "p1", "oshana", 10));
    REQUIRE(made);
    CHECK(made->number == 1);
    REQUIRE(second->patch(workspace_patch(1, "p2", "swakop", 20)));
    const auto stale = first->patch(workspace_patch(1, "p3", "oshana", 30));
    REQUIRE(stale);
    CHECK(stale->verdict == patch_verdict::stale);
    CHECK(stale->number == 2);
    CHECK(stale->changed_known);
    CHECK(stale->changed == std::vector<std::string>{"/workspaces/swakop"});
    CHECK(rate_of(*first->read(), "oshana") == 10);
}

TEST_CASE("a repeat of a patch is answered by its id, also after later patches")
{
    memory_store objects;
    const auto store = open_store(objects);
    REQUIRE(store->patch(workspace_patch(0, "p1", "oshana", 10)));
    REQUIRE(store->patch(workspace_patch(1, "p2", "oshana", 20)));
    const auto repeat = store->patch(workspace_patch(0, "p1", "oshana", 10));
    REQUIRE(repeat);
    CHECK(repeat->verdict == patch_verdict::applied);
    CHECK(repeat->number == 1);
    CHECK(repeat->current.number == 2);
    CHECK(rate_of(*store->read(), "oshana") == 20);
}

TEST_CASE("JSON Patch applies, and every fault is listed with its path")
{
    memory_store objects;
    const auto store = open_store(objects);
    REQUIRE(store->patch(workspace_patch(0, "p1", "oshana", 10)));
    const json operations =
        json::parse(R"([{"op":"replace","path":"/workspaces/oshana/rate","value":12}])");
    const auto made =
        store->patch({1, "p2", "", patch_format::json_patch, operations.dump()});
    REQUIRE(made);
    CHECK(rate_of(made->current, "oshana") == 12);
    CHECK(made->current.history.back().paths ==
          std::vector<std::string>{"/workspaces/oshana/rate"});
    const auto refused = store->patch(
        {2, "p3", "", patch_format::merge_patch,
         R"({"workspaces":{"oshana":{"rate":-1,"colour":1}},"routes":{"r":{"prefix":"x"}}})"});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == error_code::invalid);
    for (const char* path : {"/workspaces/oshana/rate", "/workspaces/oshana/colour",
                             "/routes/r/prefix", "/routes/r/pool"})
    {
        CHECK(refused.error().description.find(path) != std::string::npos);
    }
    CHECK(store->read()->number == 2);
}

TEST_CASE("thousands of workspaces stay under the store's limit and need few objects")
{
    memory_store objects;
    const auto store = open_store(objects);
    json workspaces = json::object();
    for (int index = 0; index < 4'000; ++index)
    {
        workspaces["workspace-" + std::to_string(index)] = {
            {"rate", 100},
            {"burst", 100},
            {"keys", json::array({{{"id", std::to_string(index)},
                                   {"salt", std::string(32, 'a')},
                                   {"hash", std::string(64, 'b')}}})}};
    }
    REQUIRE(store->patch({0, "all", "", patch_format::merge_patch,
                          json{{"workspaces", workspaces}}.dump()}));
    const auto held = objects.list("");
    for (const object_record& object : *held)
    {
        CHECK(object.value.size() < 1'000'000);
    }
    const std::size_t writes = objects.writes();
    REQUIRE(store->patch(workspace_patch(1, "one", "workspace-7", 5)));
    CHECK(objects.writes() - writes == 2);
    const auto fresh = open_store(objects);
    const auto state = fresh->read();
    CHECK(json::parse(state->document)["workspaces"].size() == 4'000);
    CHECK(rate_of(*state, "workspace-7") == 5);
}

TEST_CASE("retired chunks are removed")
{
    memory_store objects;
    const auto store = open_store(objects);
    for (std::uint64_t number = 0; number < 60; ++number)
    {
        REQUIRE(store->patch(workspace_patch(number, "p" + std::to_string(number),
                                             "oshana", double(number))));
    }
    CHECK(objects.list("config/chunk/")->size() < 20);
}

TEST_CASE("racing patches under lost answers: one winner a number, no lost patch")
{
    const bool held = rc::check(
        "accepted patches stay",
        []
        {
            memory_store objects;
            const auto first = open_store(objects);
            const auto second = open_store(objects);
            const auto fates =
                *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 4));
            std::deque<store_fault> lined;
            for (const int fate : fates)
            {
                lined.push_back(static_cast<store_fault>(fate));
            }
            objects.line_up(lined);
            std::vector<std::uint64_t> accepted;
            for (int round = 0; round < 12; ++round)
            {
                config_store& store = round % 2 == 0 ? *first : *second;
                const auto seen = store.read();
                config_store& other = round % 2 == 0 ? *second : *first;
                const std::string id = "p" + std::to_string(round);
                const auto wanted = workspace_patch(seen->number, id, id, round + 1);
                const auto mine = store.patch(wanted);
                const auto repeat = other.patch(wanted);
                for (const auto* outcome : {&mine, &repeat})
                {
                    if (*outcome && (*outcome)->verdict == patch_verdict::applied)
                    {
                        accepted.push_back((*outcome)->number);
                        const auto now = first->read();
                        RC_ASSERT(rate_of(*now, id) == round + 1);
                    }
                }
                RC_ASSERT(!(mine && repeat) || mine->number == repeat->number);
            }
            const auto state = open_store(objects)->read();
            RC_ASSERT(state.has_value());
            RC_ASSERT(std::is_sorted(accepted.begin(), accepted.end()));
        });
    CHECK(held);
}

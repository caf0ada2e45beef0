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

const steady_clock_source system_clock;

std::unique_ptr<config_store> open_store(memory_store& store)
{
    static std::atomic<int> opened_count{0};
    return config_store::create(store, system_clock,
                                "writer" + std::to_string(++opened_count));
}

config_patch make_rate_patch(std::uint64_t expected_number, const std::string& id,
                             const std::string& name, double rate)
{
    const json text{{"workspaces", {{name, {{"rate", rate}, {"burst", rate}}}}}};
    return {expected_number, id, "note of " + id, patch_format::merge_patch, text.dump()};
}

double rate_of(const config_state& state, const std::string& name)
{
    return json::parse(state.document)["workspaces"][name]["rate"].get<double>();
}

} // namespace

TEST_CASE(
    "a patch on the current number is applied, and a stale one reports what changed")
{
    memory_store objects;
    const auto first = open_store(objects);
    const auto second = open_store(objects);
    const auto applied = first->patch(make_rate_patch(0, "p1", "oshana", 10));
    REQUIRE(applied);
    CHECK(applied->number == 1);
    REQUIRE(second->patch(make_rate_patch(1, "p2", "swakop", 20)));
    const auto stale = first->patch(make_rate_patch(1, "p3", "oshana", 30));
    REQUIRE(stale);
    CHECK(stale->verdict == patch_verdict::stale);
    CHECK(stale->number == 2);
    CHECK(stale->changed_known);
    CHECK(stale->changed == std::vector<std::string>{"/workspaces/swakop"});
    CHECK(rate_of(*first->read(), "oshana") == 10);
}

TEST_CASE("a repeated patch id returns the first outcome, also after later patches")
{
    memory_store objects;
    const auto store = open_store(objects);
    REQUIRE(store->patch(make_rate_patch(0, "p1", "oshana", 10)));
    REQUIRE(store->patch(make_rate_patch(1, "p2", "oshana", 20)));
    const auto repeat = store->patch(make_rate_patch(0, "p1", "oshana", 10));
    REQUIRE(repeat);
    CHECK(repeat->verdict == patch_verdict::applied);
    CHECK(repeat->number == 1);
    CHECK(repeat->current.number == 2);
    CHECK(rate_of(*store->read(), "oshana") == 20);
}

TEST_CASE("a JSON Patch is applied, and every error is reported with its path")
{
    memory_store objects;
    const auto store = open_store(objects);
    REQUIRE(store->patch(make_rate_patch(0, "p1", "oshana", 10)));
    const json operations =
        json::parse(R"([{"op":"replace","path":"/workspaces/oshana/rate","value":12}])");
    const auto applied =
        store->patch({1, "p2", "", patch_format::json_patch, operations.dump()});
    REQUIRE(applied);
    CHECK(rate_of(applied->current, "oshana") == 12);
    CHECK(applied->current.history.back().paths ==
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

TEST_CASE(
    "4,000 workspaces fit into objects below 1 MB, and a patch writes only two objects")
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
    const auto stored = objects.list("");
    for (const object_record& object : *stored)
    {
        CHECK(object.value.size() < 1'000'000);
    }
    const std::size_t writes_before = objects.writes();
    REQUIRE(store->patch(make_rate_patch(1, "one", "workspace-7", 5)));
    CHECK(objects.writes() - writes_before == 2);
    const auto second_store = open_store(objects);
    const auto state = second_store->read();
    CHECK(json::parse(state->document)["workspaces"].size() == 4'000);
    CHECK(rate_of(*state, "workspace-7") == 5);
}

TEST_CASE("retired chunks are removed after later patches")
{
    memory_store objects;
    const auto store = open_store(objects);
    for (std::uint64_t number = 0; number < 60; ++number)
    {
        REQUIRE(store->patch(make_rate_patch(number, "p" + std::to_string(number),
                                             "oshana", double(number))));
    }
    CHECK(objects.list("config/chunk/")->size() < 20);
}

TEST_CASE("under lost answers two writers apply each patch once and lose none")
{
    const bool passed = rc::check(
        "accepted patches are kept",
        []
        {
            memory_store objects;
            const auto first = open_store(objects);
            const auto second = open_store(objects);
            const auto fault_numbers =
                *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 4));
            std::deque<store_fault> faults;
            for (const int fault_number : fault_numbers)
            {
                faults.push_back(static_cast<store_fault>(fault_number));
            }
            objects.queue_faults(faults);
            std::vector<std::uint64_t> applied_numbers;
            for (int round = 0; round < 12; ++round)
            {
                config_store& store = round % 2 == 0 ? *first : *second;
                const auto state_before = store.read();
                config_store& other = round % 2 == 0 ? *second : *first;
                const std::string id = "p" + std::to_string(round);
                const auto patch =
                    make_rate_patch(state_before->number, id, id, round + 1);
                const auto first_outcome = store.patch(patch);
                const auto repeat = other.patch(patch);
                for (const auto* outcome : {&first_outcome, &repeat})
                {
                    if (*outcome && (*outcome)->verdict == patch_verdict::applied)
                    {
                        applied_numbers.push_back((*outcome)->number);
                        const auto state_after = first->read();
                        RC_ASSERT(rate_of(*state_after, id) == round + 1);
                    }
                }
                RC_ASSERT(!(first_outcome && repeat) ||
                          first_outcome->number == repeat->number);
            }
            const auto state = open_store(objects)->read();
            RC_ASSERT(state.has_value());
            RC_ASSERT(std::is_sorted(applied_numbers.begin(), applied_numbers.end()));
        });
    CHECK(passed);
}

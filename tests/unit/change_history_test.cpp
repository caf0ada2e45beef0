#include <doctest/doctest.h>

#include <agateseam/change_history.hpp>

using namespace agateseam;

namespace
{

constexpr std::uint64_t era = 3;

object_change change_of(const std::string& name, const std::string& document)
{
    return {0, name, document, false, false};
}

} // namespace

TEST_CASE("a reader gets the changes after its revision in their order")
{
    change_history history;
    history.replace({{"a", "1"}}, {era, 10});
    REQUIRE(history.record({change_of("a", "2"), change_of("b", "1")}, {era, 12}));
    REQUIRE(history.record({{0, "a", "2", true, true}}, {era, 15}));
    CHECK(history.position() == store_position{era, 15});
    CHECK(history.objects() == std::map<std::string, std::string>{{"b", "1"}});

    const auto all = history.changes_since({era, 10});
    REQUIRE(all);
    REQUIRE(all->size() == 3);
    CHECK((*all)[0]->document == "2");
    CHECK((*all)[2]->removed);
    CHECK((*all)[2]->after_outage);
    const auto last = history.changes_since({era, 12});
    REQUIRE(last);
    CHECK(last->size() == 1);
}

TEST_CASE("a reader that is ahead of the copy waits")
{
    change_history history;
    history.replace({}, {era, 10});
    REQUIRE(history.record({change_of("a", "1")}, {era, 12}));
    const auto changes = history.changes_since({era, 20});
    REQUIRE(changes);
    CHECK(changes->empty());
}

TEST_CASE("changes before the last list or beyond the limit aren't known")
{
    change_history history;
    history.replace({}, {era, 10});
    CHECK(!history.changes_since({era, 9}));
    for (std::uint64_t revision = 11; revision <= 11 + change_history::max_changes;
         ++revision)
    {
        REQUIRE(history.record({change_of("a", "1")}, {era, revision}));
    }
    CHECK(!history.changes_since({era, 10}));
    CHECK(history.changes_since({era, 11}));
    history.replace({}, {era, 2'000});
    CHECK(!history.changes_since({era, 1'999}));
}

TEST_CASE("an answer with an older revision doesn't move the copy back")
{
    change_history history;
    history.replace({}, {era, 10});
    REQUIRE(history.record({}, {era, 8}));
    CHECK(history.position() == store_position{era, 10});
}

TEST_CASE("positions compare by their era first")
{
    CHECK(store_position{3, 900} < store_position{4, 10});
    CHECK(store_position{4, 10} < store_position{4, 11});
    CHECK(store_position{} < store_position{1, 0});
}

TEST_CASE("a reader of another era gets no changes")
{
    change_history history;
    history.replace({{"a", "1"}}, {era, 40});
    REQUIRE(history.record({change_of("a", "2")}, {era, 41}));
    // The same revisions are given out again in the next era.
    history.replace({{"a", "1"}}, {era + 1, 30});
    REQUIRE(history.record({change_of("b", "1")}, {era + 1, 42}));
    CHECK(!history.changes_since({era, 41}));
    CHECK(!history.changes_since({era, 50}));
    CHECK(!history.changes_since({era + 2, 41}));
    const auto changes = history.changes_since({era + 1, 30});
    REQUIRE(changes);
    CHECK(changes->size() == 1);
}

TEST_CASE("only a complete list takes the copy to another era")
{
    change_history history;
    history.replace({{"a", "1"}}, {era, 40});
    const auto late = history.record({change_of("a", "0")}, {era - 1, 90});
    REQUIRE(!late);
    CHECK(late.error().code == error_code::conflict);
    CHECK(!history.record({change_of("a", "9")}, {era + 1, 41}));
    CHECK(history.position() == store_position{era, 40});
    CHECK(history.objects().at("a") == "1");
    history.replace({{"a", "9"}}, {era + 1, 31});
    CHECK(history.position() == store_position{era + 1, 31});
}

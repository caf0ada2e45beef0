#include <doctest/doctest.h>

#include <agateseam/change_history.hpp>

using namespace agateseam;

namespace
{

object_change change_of(const std::string& name, const std::string& document)
{
    return {0, name, document, false, false};
}

} // namespace

TEST_CASE("a reader gets the changes after its revision in their order")
{
    change_history history;
    history.replace({{"a", "1"}}, 10);
    history.record({change_of("a", "2"), change_of("b", "1")}, 12);
    history.record({{0, "a", "2", true, true}}, 15);
    CHECK(history.revision() == 15);
    CHECK(history.objects() == std::map<std::string, std::string>{{"b", "1"}});

    const auto all = history.changes_since(10);
    REQUIRE(all);
    REQUIRE(all->size() == 3);
    CHECK((*all)[0]->document == "2");
    CHECK((*all)[2]->removed);
    CHECK((*all)[2]->after_outage);
    const auto last = history.changes_since(12);
    REQUIRE(last);
    CHECK(last->size() == 1);
}

TEST_CASE("a reader that is ahead of the copy waits")
{
    change_history history;
    history.replace({}, 10);
    history.record({change_of("a", "1")}, 12);
    const auto changes = history.changes_since(20);
    REQUIRE(changes);
    CHECK(changes->empty());
}

TEST_CASE("changes before the last list or beyond the limit aren't known")
{
    change_history history;
    history.replace({}, 10);
    CHECK(!history.changes_since(9));
    for (std::uint64_t revision = 11; revision <= 11 + change_history::max_changes;
         ++revision)
    {
        history.record({change_of("a", "1")}, revision);
    }
    CHECK(!history.changes_since(10));
    CHECK(history.changes_since(11));
    history.replace({}, 2'000);
    CHECK(!history.changes_since(1'999));
}

TEST_CASE("an answer with an older revision doesn't move the copy back")
{
    change_history history;
    history.replace({}, 10);
    history.record({}, 8);
    CHECK(history.revision() == 10);
}

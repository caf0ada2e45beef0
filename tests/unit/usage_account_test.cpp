#include <doctest/doctest.h>

#include <agateseam/usage_account.hpp>

using namespace agateseam;

namespace
{

constexpr usage_hour_number hour = 500'004;
const usage_key key{"oshana", "model"};

usage_counters requests(std::uint64_t count)
{
    usage_counters counters;
    counters.requests = count;
    return counters;
}

} // namespace

TEST_CASE("an hour is written again only when its totals changed")
{
    usage_account account;
    const time_point now{std::chrono::seconds(1'000)};
    account.add(hour, key, requests(3));
    REQUIRE(account.changed_hours() == std::vector<usage_hour_number>{hour});
    const usage_table written = account.rows(hour);
    account.add(hour, key, requests(1));
    account.mark_written(hour, written, now);
    CHECK(account.changed_hours().size() == 1);
    account.mark_written(hour, account.rows(hour), now);
    CHECK(account.changed_hours().empty());
    CHECK(account.rows(hour).at(key).requests == 4);
}

TEST_CASE("the totals of a lost record are written again, those of the last hour too")
{
    usage_account account;
    const time_point now{std::chrono::seconds(1'000)};
    account.add(hour, key, requests(3));
    account.add(hour + 1, key, requests(2));
    for (const usage_hour_number changed : account.changed_hours())
    {
        account.mark_written(changed, account.rows(changed), now);
    }
    account.remove_written(hour + 1, now + std::chrono::seconds(5));
    account.mark_unwritten();
    CHECK(account.changed_hours() == std::vector<usage_hour_number>{hour, hour + 1});
    CHECK(account.rows(hour).at(key).requests == 3);
    CHECK(account.rows(hour + 1).at(key).requests == 2);
}

TEST_CASE("an hour that is over is forgotten some time after its last write")
{
    usage_account account;
    const time_point now{std::chrono::seconds(1'000)};
    const time_point later = now + usage_account::written_hour_memory;
    account.add(hour, key, requests(3));
    account.remove_written(hour + 1, later);
    CHECK(account.changed_hours().size() == 1);
    account.mark_written(hour, account.rows(hour), now);
    account.remove_written(hour, later);
    CHECK(!account.rows(hour).empty());
    account.remove_written(hour + 1, later);
    CHECK(account.rows(hour).empty());
    account.mark_unwritten();
    CHECK(account.changed_hours().empty());
}

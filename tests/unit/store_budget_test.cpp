#include <doctest/doctest.h>

#include <agateseam/store_budget.hpp>
#include <fakes/memory_store.hpp>

using namespace agateseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct store_fixture
{
    fakes::memory_store inner;
    manual_clock clock;
    std::unique_ptr<budgeted_store> store;

    explicit store_fixture(const store_budget_options& options = {})
        : store(std::move(*budgeted_store::create(this->inner, this->clock, options)))
    {
    }
};

} // namespace

TEST_CASE("calls over the rate limit are not sent, and the bucket refills over time")
{
    store_budget_options options;
    options.writes = {10, 5};
    store_fixture fixture(options);
    int accepted = 0;
    for (int index = 0; index < 20; ++index)
    {
        accepted += fixture.store->put("k" + std::to_string(index), "v", 0) ? 1 : 0;
    }
    CHECK(accepted == 5);
    CHECK(fixture.inner.writes() == 5);
    CHECK(fixture.store->counts(store_call_kind::write).over_budget == 15);
    fixture.clock.advance(milliseconds(200));
    CHECK(fixture.store->put("later", "v", 0));
    CHECK(fixture.store->put("later still", "v", 0));
    CHECK_FALSE(fixture.store->put("too many", "v", 0));
    CHECK(fixture.store->get("later"));
}

TEST_CASE(
    "the breaker opens after consecutive failures and closes after the first success")
{
    store_fixture fixture;
    fixture.inner.set_down(true);
    for (int index = 0; index < 100; ++index)
    {
        const auto outcome = fixture.store->get("k");
        CHECK(outcome.error().code == error_code::unavailable);
    }
    CHECK(fixture.inner.reads() == 5);
    CHECK(fixture.store->counts(store_call_kind::read).held_back == 95);
    for (int step = 0; step < 600; ++step)
    {
        fixture.clock.advance(milliseconds(100));
        static_cast<void>(fixture.store->get("k"));
    }
    const std::size_t sent_reads = fixture.inner.reads();
    CHECK(sent_reads >= 5 + 60 / 2);
    CHECK(sent_reads <= 5 + 60 + 10);
    fixture.inner.set_down(false);
    fixture.clock.advance(seconds(2));
    CHECK(fixture.store->get("k").error().code == error_code::not_found);
    for (int index = 0; index < 50; ++index)
    {
        CHECK(fixture.store->get("k").error().code == error_code::not_found);
    }
}

TEST_CASE("conflicts and absent objects do not open the breaker")
{
    store_fixture fixture;
    REQUIRE(fixture.store->put("k", "v", 0));
    for (int index = 0; index < 50; ++index)
    {
        CHECK(fixture.store->put("k", "v", 99).error().code == error_code::conflict);
    }
    CHECK(fixture.store->counts(store_call_kind::write).failed == 0);
    CHECK(to_metrics(*fixture.store).find("{kind=\"write\",outcome=\"answered\"} 51") !=
          std::string::npos);
}

TEST_CASE("an open breaker for one kind of call does not block the other kinds")
{
    store_fixture fixture;
    fixture.inner.queue_faults(
        std::deque<fakes::store_fault>(10, fakes::store_fault::lost_before));
    for (int index = 0; index < 10; ++index)
    {
        CHECK_FALSE(fixture.store->put("k", "v", 0));
    }
    CHECK(fixture.store->counts(store_call_kind::write).held_back == 5);
    CHECK(fixture.store->get("k").error().code == error_code::not_found);
}

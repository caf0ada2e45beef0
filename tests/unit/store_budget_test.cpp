#include <doctest/doctest.h>

#include <agateseam/store_budget.hpp>
#include <fakes/memory_store.hpp>

using namespace agateseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct fixture
{
    fakes::memory_store inner;
    manual_clock clock;
    std::unique_ptr<budgeted_store> store;

    explicit fixture(const store_budget_options& options = {})
        : store(std::move(*budgeted_store::create(this->inner, this->clock, options)))
    {
    }
};

} // namespace

TEST_CASE("calls over the budget are not sent, and the budget fills again")
{
    store_budget_options options;
    options.writes = {10, 5};
    fixture at(options);
    int accepted = 0;
    for (int index = 0; index < 20; ++index)
    {
        accepted += at.store->put("k" + std::to_string(index), "v", 0) ? 1 : 0;
    }
    CHECK(accepted == 5);
    CHECK(at.inner.writes() == 5);
    CHECK(at.store->counts(store_call::write).over_budget == 15);
    at.clock.advance(milliseconds(200));
    CHECK(at.store->put("later", "v", 0));
    CHECK(at.store->put("later still", "v", 0));
    CHECK_FALSE(at.store->put("too many", "v", 0));
    CHECK(at.store->get("later"));
}

TEST_CASE("the breaker opens after failures in a row and closes with the first success")
{
    fixture at;
    at.inner.set_down(true);
    for (int index = 0; index < 100; ++index)
    {
        const auto outcome = at.store->get("k");
        CHECK(outcome.error().code == error_code::unavailable);
    }
    CHECK(at.inner.reads() == 5);
    CHECK(at.store->counts(store_call::read).held_back == 95);
    for (int step = 0; step < 600; ++step)
    {
        at.clock.advance(milliseconds(100));
        static_cast<void>(at.store->get("k"));
    }
    const std::size_t tried = at.inner.reads();
    CHECK(tried >= 5 + 60 / 2);
    CHECK(tried <= 5 + 60 + 10);
    at.inner.set_down(false);
    at.clock.advance(seconds(2));
    CHECK(at.store->get("k").error().code == error_code::not_found);
    for (int index = 0; index < 50; ++index)
    {
        CHECK(at.store->get("k").error().code == error_code::not_found);
    }
}

TEST_CASE("conflicts and absent objects do not open the breaker")
{
    fixture at;
    REQUIRE(at.store->put("k", "v", 0));
    for (int index = 0; index < 50; ++index)
    {
        CHECK(at.store->put("k", "v", 99).error().code == error_code::conflict);
    }
    CHECK(at.store->counts(store_call::write).failed == 0);
    CHECK(to_metrics(*at.store).find("{kind=\"write\",outcome=\"answered\"} 51") !=
          std::string::npos);
}

TEST_CASE("a failing kind does not hold back the others")
{
    fixture at;
    at.inner.line_up(std::deque<fakes::store_fault>(10, fakes::store_fault::lost_before));
    for (int index = 0; index < 10; ++index)
    {
        CHECK_FALSE(at.store->put("k", "v", 0));
    }
    CHECK(at.store->counts(store_call::write).held_back == 5);
    CHECK(at.store->get("k").error().code == error_code::not_found);
}

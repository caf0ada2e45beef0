#include <doctest/doctest.h>

#include <agateseam/store_availability.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("lists may lack objects for the settle time after an outage")
{
    store_availability store;
    store.record_failure(start);
    store.record_failure(start + 1s);
    store.record_response(start + 1s);
    CHECK(store.after_outage(start + 1s + store_availability::settle_time - 1ms));
    CHECK(!store.after_outage(start + 1s + store_availability::settle_time));
}

TEST_CASE("no object lapses in a short outage")
{
    store_availability store;
    store.record_failure(start);
    store.record_response(start + store_availability::min_outage_time - 1ms);
    CHECK(!store.after_outage(start + store_availability::min_outage_time));
    store.record_response(start + 5s);
    CHECK(!store.after_outage(start + 5s));
}

TEST_CASE("objects may be missing after the store came back from a copy")
{
    store_availability store;
    store.record_restoration(start);
    CHECK(store.after_outage(start));
    CHECK(!store.after_outage(start + store_availability::settle_time));
}

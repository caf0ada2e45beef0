#include <doctest/doctest.h>

#include <agateseam/request_arrivals.hpp>

using namespace agateseam;

TEST_CASE("a prefill that is accepted and the decode after it need no repeat")
{
    request_arrivals arrivals;
    CHECK(arrivals.is_covered());
    arrivals.record_prefill(true);
    CHECK(arrivals.is_covered());
    arrivals.record_run();
    CHECK_FALSE(arrivals.is_covered());
}

TEST_CASE("a refused prefill is an arrival, so the decode after it needs a repeat")
{
    request_arrivals arrivals;
    arrivals.record_prefill(false);
    CHECK_FALSE(arrivals.is_covered());
    arrivals.add_repeat();
    CHECK(arrivals.is_covered());
    arrivals.record_run();
    CHECK_FALSE(arrivals.is_covered());
}

TEST_CASE("a repeat that was taken for an accepted prefill covers the decode")
{
    request_arrivals arrivals;
    arrivals.record_prefill(false);
    arrivals.add_repeat();
    arrivals.record_prefill(true);
    CHECK(arrivals.is_covered());
    arrivals.record_run();
    CHECK_FALSE(arrivals.is_covered());
}

TEST_CASE("only the first accepted prefill is free")
{
    request_arrivals arrivals;
    arrivals.record_prefill(true);
    arrivals.record_run();
    arrivals.add_repeat();
    arrivals.record_prefill(true);
    CHECK_FALSE(arrivals.is_covered());
}

TEST_CASE("a repeat that was reserved for the first prefill goes back if it is accepted")
{
    request_arrivals arrivals;
    arrivals.add_repeat();
    arrivals.record_prefill(true);
    CHECK(arrivals.remove_unused_repeat());
    CHECK_FALSE(arrivals.remove_unused_repeat());
    arrivals.record_run();
    CHECK_FALSE(arrivals.is_covered());

    request_arrivals refused;
    refused.add_repeat();
    refused.record_prefill(false);
    CHECK_FALSE(refused.remove_unused_repeat());
    CHECK(refused.is_covered());
}

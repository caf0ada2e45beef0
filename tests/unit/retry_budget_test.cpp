#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agateseam/retry_budget.hpp>

using namespace agateseam;

TEST_CASE("a full budget allows the saved retries, then those that requests add")
{
    const auto budget = retry_budget::create(0.5, 2);
    REQUIRE(budget);
    CHECK((*budget)->try_take());
    CHECK((*budget)->try_take());
    CHECK(!(*budget)->try_take());
    (*budget)->record_request();
    CHECK(!(*budget)->try_take());
    (*budget)->record_request();
    CHECK((*budget)->try_take());
    CHECK(!(*budget)->try_take());
}

TEST_CASE("a ratio outside 0 to 1 is rejected")
{
    CHECK(!retry_budget::create(-0.1, 1));
    CHECK(!retry_budget::create(1.1, 1));
}

TEST_CASE("retries never exceed the initial budget plus the ratio of the requests")
{
    CHECK(rc::check(
        [](const std::vector<bool>& steps)
        {
            const auto budget = retry_budget::create(0.2, 10);
            double requests = 0;
            double retries = 0;
            for (const bool is_request : steps)
            {
                if (is_request)
                {
                    (*budget)->record_request();
                    ++requests;
                }
                else
                {
                    retries += (*budget)->try_take() ? 1 : 0;
                }
            }
            RC_ASSERT(retries <= 10 + 0.2 * requests + 1e-6);
        }));
}

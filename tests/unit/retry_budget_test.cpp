#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agateseam/retry_budget.hpp>

using namespace agateseam;

TEST_CASE("a full budget allows what was saved, then what requests earn")
{
    const auto budget = retry_budget::create(0.5, 2);
    REQUIRE(budget);
    CHECK((*budget)->take());
    CHECK((*budget)->take());
    CHECK(!(*budget)->take());
    (*budget)->earn();
    CHECK(!(*budget)->take());
    (*budget)->earn();
    CHECK((*budget)->take());
    CHECK(!(*budget)->take());
}

TEST_CASE("a ratio outside 0 to 1 is refused")
{
    CHECK(!retry_budget::create(-0.1, 1));
    CHECK(!retry_budget::create(1.1, 1));
}

TEST_CASE("retries never exceed the saved ones and the ratio of the requests")
{
    CHECK(rc::check(
        [](const std::vector<bool>& steps)
        {
            const auto budget = retry_budget::create(0.2, 10);
            double requests = 0;
            double retries = 0;
            for (const bool request : steps)
            {
                if (request)
                {
                    (*budget)->earn();
                    ++requests;
                }
                else
                {
                    retries += (*budget)->take() ? 1 : 0;
                }
            }
            RC_ASSERT(retries <= 10 + 0.2 * requests + 1e-6);
        }));
}

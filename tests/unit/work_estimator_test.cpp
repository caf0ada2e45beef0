#include <doctest/doctest.h>

#include <agateseam/work_estimator.hpp>

using namespace agateseam;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

TEST_CASE("before anything is recorded the initial assumptions are used")
{
    const work_estimator estimator(milliseconds(39), microseconds(50));
    CHECK(estimator.output_tokens(400) == doctest::Approx(400));
    CHECK(estimator.remaining_tokens(400, 390) == doctest::Approx(10));
    CHECK(to_ms(estimator.output_time(10)) == doctest::Approx(390));
    CHECK(to_ms(estimator.prefill_and_transfer_time(2'000)) == doctest::Approx(100));
}

TEST_CASE("the remaining tokens are learned from answers that were at least as long")
{
    work_estimator estimator(milliseconds(39), microseconds(50));
    for (int round = 0; round < 100; ++round)
    {
        estimator.record_answer(400, 101, milliseconds(3'000));
        estimator.record_answer(400, 301, milliseconds(9'000));
    }
    CHECK(estimator.output_tokens(400) == doctest::Approx(210).epsilon(0.05));
    CHECK(estimator.remaining_tokens(400, 200) == doctest::Approx(110).epsilon(0.05));
    CHECK(estimator.remaining_tokens(400, 399) >= 1);
    CHECK(to_ms(estimator.output_time(1)) == doctest::Approx(30).epsilon(0.05));
}

TEST_CASE("a constant part of the prefill time is separated from the part per token")
{
    work_estimator estimator(milliseconds(39), microseconds(50));
    for (int round = 0; round < 300; ++round)
    {
        const std::uint32_t tokens = 500 + 500 * (round % 11);
        estimator.record_prefill_and_transfer(tokens, milliseconds(100) +
                                                          microseconds(50) * tokens);
    }
    CHECK(to_ms(estimator.prefill_and_transfer_time(500)) ==
          doctest::Approx(125).epsilon(0.1));
    CHECK(to_ms(estimator.prefill_and_transfer_time(6'000)) ==
          doctest::Approx(400).epsilon(0.1));
}

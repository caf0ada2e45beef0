#include <agateseam/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

constexpr std::int64_t one_retry = 1'000; // in thousandths of a retry

} // namespace

result<std::unique_ptr<retry_budget>> retry_budget::create(double ratio,
                                                           std::uint32_t max_saved)
{
    if (!(ratio >= 0 && ratio <= 1))
    {
        return fail(error_code::invalid, "retry budget", "",
                    "the ratio must be from 0 to 1");
    }
    return std::unique_ptr<retry_budget>(
        new retry_budget(std::llround(ratio * one_retry), max_saved * one_retry));
}

void retry_budget::record_request() noexcept
{
    std::int64_t current = this->balance.load(std::memory_order_relaxed);
    std::int64_t updated = 0;
    do
    {
        updated = std::min(this->capacity, current + this->earned_per_request);
    } while (updated != current && !this->balance.compare_exchange_weak(
                                       current, updated, std::memory_order_relaxed));
}

bool retry_budget::try_take() noexcept
{
    std::int64_t current = this->balance.load(std::memory_order_relaxed);
    do
    {
        if (current < one_retry)
        {
            return false;
        }
    } while (!this->balance.compare_exchange_weak(current, current - one_retry,
                                                  std::memory_order_relaxed));
    return true;
}

} // namespace agateseam

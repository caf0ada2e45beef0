#include <agateseam/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

constexpr std::int64_t one_retry = 1'000; // thousandths

} // namespace

result<std::unique_ptr<retry_budget>> retry_budget::create(double ratio,
                                                           std::uint32_t most)
{
    if (!(ratio >= 0 && ratio <= 1))
    {
        return fail(error_code::invalid, "retry budget", "",
                    "the ratio must be from 0 to 1");
    }
    return std::unique_ptr<retry_budget>(
        new retry_budget(std::llround(ratio * one_retry), most * one_retry));
}

void retry_budget::earn() noexcept
{
    std::int64_t held = this->level.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do
    {
        next = std::min(this->limit, held + this->earned);
    } while (next != held &&
             !this->level.compare_exchange_weak(held, next, std::memory_order_relaxed));
}

bool retry_budget::take() noexcept
{
    std::int64_t held = this->level.load(std::memory_order_relaxed);
    do
    {
        if (held < one_retry)
        {
            return false;
        }
    } while (!this->level.compare_exchange_weak(held, held - one_retry,
                                                std::memory_order_relaxed));
    return true;
}

} // namespace agateseam

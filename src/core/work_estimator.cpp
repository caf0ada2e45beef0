#include <agateseam/work_estimator.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr double new_weight = 0.05;      // of one observation
constexpr std::uint32_t full_share = 64; // answers, after which all counts are halved

/// Concurrent notes may lose one of them, which an average bears.
void blend(std::atomic<double>& average, double observed) noexcept
{
    const double known = average.load(std::memory_order_relaxed);
    average.store(known + new_weight * (observed - known), std::memory_order_relaxed);
}

duration to_duration(double nanoseconds) noexcept
{
    return duration{static_cast<duration::rep>(nanoseconds)};
}

} // namespace

work_estimator::work_estimator(duration token_gap, duration lead_per_token) noexcept
    : gap(static_cast<double>(token_gap.count()))
    , first_lead_rate(static_cast<double>(lead_per_token.count()))
{
}

void work_estimator::note_answer(std::uint32_t limit, std::uint32_t tokens,
                                 duration time) noexcept
{
    const std::size_t share =
        std::min<std::size_t>(share_count - 1, std::size_t{tokens} * share_count /
                                                   std::max<std::size_t>(1, limit));
    if (this->shares[share].fetch_add(1, std::memory_order_relaxed) >= full_share)
    {
        for (auto& count : this->shares)
        {
            count.store(count.load(std::memory_order_relaxed) / 2,
                        std::memory_order_relaxed);
        }
    }
    if (tokens > 1)
    {
        blend(this->gap, static_cast<double>(time.count()) / (tokens - 1));
    }
}

void work_estimator::note_lead(std::uint32_t tokens, duration time) noexcept
{
    const double prompt = tokens;
    const auto took = static_cast<double>(time.count());
    if (this->lead_tokens.load(std::memory_order_relaxed) <= 0)
    {
        // A first point on the assumed line, a second at no tokens, give it its slope.
        this->lead_tokens = prompt / 2;
        this->lead_time = prompt / 2 * this->first_lead_rate;
        this->lead_tokens_squared = prompt * prompt / 2;
        this->lead_product = prompt * prompt / 2 * this->first_lead_rate;
    }
    blend(this->lead_tokens, prompt);
    blend(this->lead_time, took);
    blend(this->lead_tokens_squared, prompt * prompt);
    blend(this->lead_product, prompt * took);
}

duration work_estimator::output_time(double tokens) const noexcept
{
    return to_duration(this->gap.load(std::memory_order_relaxed) * tokens);
}

double work_estimator::remaining_tokens(std::uint32_t limit, double got) const noexcept
{
    const double width = static_cast<double>(limit) / share_count;
    double answers = 0;
    double tokens = 0;
    for (std::size_t share = 0; share < share_count; ++share)
    {
        const double least = std::max(got, width * static_cast<double>(share));
        const double most = width * static_cast<double>(share + 1);
        if (most > got)
        {
            const double count = this->shares[share].load(std::memory_order_relaxed) *
                                 (most - least) / width;
            answers += count;
            tokens += count * (0.5 * (least + most) - got);
        }
    }
    return std::max(1.0, answers > 0 ? tokens / answers : limit - got);
}

duration work_estimator::lead(std::uint32_t tokens) const noexcept
{
    const double mean_tokens = this->lead_tokens.load(std::memory_order_relaxed);
    if (mean_tokens <= 0)
    {
        return to_duration(this->first_lead_rate * tokens);
    }
    // The least-squares line through the leads noted.
    const double mean_time = this->lead_time.load(std::memory_order_relaxed);
    const double variance = this->lead_tokens_squared.load(std::memory_order_relaxed) -
                            mean_tokens * mean_tokens;
    const double covariance =
        this->lead_product.load(std::memory_order_relaxed) - mean_tokens * mean_time;
    const double slope = variance > 1 ? std::max(0.0, covariance / variance) : 0;
    return to_duration(std::max(0.0, mean_time + slope * (tokens - mean_tokens)));
}

} // namespace agateseam

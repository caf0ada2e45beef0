#include <agateseam/work_estimator.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Weight of one observation in a moving average.
constexpr double newest_weight = 0.05;
/// Answers in one histogram bucket after which all buckets are halved.
constexpr std::uint32_t max_bucket_count = 64;

/// Moves a moving average towards an observation. Of two concurrent updates one may be
/// lost, which hardly changes the average.
void update_average(std::atomic<double>& average, double observed) noexcept
{
    const double current = average.load(std::memory_order_relaxed);
    average.store(current + newest_weight * (observed - current),
                  std::memory_order_relaxed);
}

duration to_duration(double nanoseconds) noexcept
{
    return duration{static_cast<duration::rep>(nanoseconds)};
}

} // namespace

work_estimator::work_estimator(duration token_gap,
                               duration initial_time_per_prompt_token) noexcept
    : ns_per_output_token(static_cast<double>(token_gap.count()))
    , initial_ns_per_prompt_token(
          static_cast<double>(initial_time_per_prompt_token.count()))
{
}

void work_estimator::record_answer(std::uint32_t limit, std::uint32_t tokens,
                                   duration time) noexcept
{
    const std::size_t bucket =
        std::min<std::size_t>(histogram_size - 1, std::size_t{tokens} * histogram_size /
                                                      std::max<std::size_t>(1, limit));
    if (this->used_share_histogram[bucket].fetch_add(1, std::memory_order_relaxed) >=
        max_bucket_count)
    {
        for (auto& count : this->used_share_histogram)
        {
            count.store(count.load(std::memory_order_relaxed) / 2,
                        std::memory_order_relaxed);
        }
    }
    if (tokens > 1)
    {
        update_average(this->ns_per_output_token,
                       static_cast<double>(time.count()) / (tokens - 1));
    }
}

void work_estimator::record_prefill_and_transfer(std::uint32_t prompt_tokens,
                                                 duration time) noexcept
{
    const double prompt_length = prompt_tokens;
    const auto time_ns = static_cast<double>(time.count());
    if (this->mean_prompt_tokens.load(std::memory_order_relaxed) <= 0)
    {
        // The averages start with two points on the assumed line, one at this prompt's
        // length and one at zero tokens, so that the line has a slope from the first
        // record on.
        this->mean_prompt_tokens = prompt_length / 2;
        this->mean_prefill_ns = prompt_length / 2 * this->initial_ns_per_prompt_token;
        this->mean_prompt_tokens_squared = prompt_length * prompt_length / 2;
        this->mean_tokens_times_ns =
            prompt_length * prompt_length / 2 * this->initial_ns_per_prompt_token;
    }
    update_average(this->mean_prompt_tokens, prompt_length);
    update_average(this->mean_prefill_ns, time_ns);
    update_average(this->mean_prompt_tokens_squared, prompt_length * prompt_length);
    update_average(this->mean_tokens_times_ns, prompt_length * time_ns);
}

duration work_estimator::output_time(double tokens) const noexcept
{
    return to_duration(this->ns_per_output_token.load(std::memory_order_relaxed) *
                       tokens);
}

double work_estimator::remaining_tokens(std::uint32_t limit,
                                        double received) const noexcept
{
    const double bucket_width = static_cast<double>(limit) / histogram_size;
    double answer_count = 0;
    double tokens = 0;
    for (std::size_t bucket = 0; bucket < histogram_size; ++bucket)
    {
        const double lower_bound =
            std::max(received, bucket_width * static_cast<double>(bucket));
        const double upper_bound = bucket_width * static_cast<double>(bucket + 1);
        if (upper_bound > received)
        {
            const double count =
                this->used_share_histogram[bucket].load(std::memory_order_relaxed) *
                (upper_bound - lower_bound) / bucket_width;
            answer_count += count;
            tokens += count * (0.5 * (lower_bound + upper_bound) - received);
        }
    }
    return std::max(1.0, answer_count > 0 ? tokens / answer_count : limit - received);
}

duration
work_estimator::prefill_and_transfer_time(std::uint32_t prompt_tokens) const noexcept
{
    const double mean_tokens = this->mean_prompt_tokens.load(std::memory_order_relaxed);
    if (mean_tokens <= 0)
    {
        return to_duration(this->initial_ns_per_prompt_token * prompt_tokens);
    }
    // The line is the least-squares fit to the recorded prefill and transfer times.
    const double mean_ns = this->mean_prefill_ns.load(std::memory_order_relaxed);
    const double variance =
        this->mean_prompt_tokens_squared.load(std::memory_order_relaxed) -
        mean_tokens * mean_tokens;
    const double covariance = this->mean_tokens_times_ns.load(std::memory_order_relaxed) -
                              mean_tokens * mean_ns;
    const double slope = variance > 1 ? std::max(0.0, covariance / variance) : 0;
    return to_duration(std::max(0.0, mean_ns + slope * (prompt_tokens - mean_tokens)));
}

} // namespace agateseam

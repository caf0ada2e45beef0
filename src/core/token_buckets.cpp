#include <agateseam/token_buckets.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

constexpr double millitokens_per_token = 1'000;
constexpr double nanoseconds_per_second = 1e9;
constexpr int max_reserve_attempts = 4;

/// Rounds up, so that a fraction of a millitoken is never free.
std::int64_t to_millitokens(double tokens) noexcept
{
    const double capped = std::clamp(tokens, 0.0, token_buckets::max_burst);
    return static_cast<std::int64_t>(std::ceil(capped * millitokens_per_token));
}

double to_tokens(std::int64_t millitokens) noexcept
{
    return static_cast<double>(millitokens) / millitokens_per_token;
}

} // namespace

result<std::unique_ptr<token_buckets>> token_buckets::create(const clock_source& time)
{
    return std::unique_ptr<token_buckets>(new token_buckets(time));
}

token_buckets::millitokens
token_buckets::configured_bucket::accrued(time_point now) const noexcept
{
    const auto elapsed =
        static_cast<double>(std::max(duration{0}, now - this->accrual_start).count());
    return this->accrued_before + static_cast<millitokens>(elapsed * this->rate);
}

/// Returns the level plus the reserved tokens; it never exceeds the burst.
token_buckets::millitokens
token_buckets::configured_bucket::unspent(time_point now) const noexcept
{
    return std::min(this->burst, this->accrued(now) - this->counters->spent);
}

/// Counts an amount as spent. Tokens that had accrued beyond the burst are dropped first.
void token_buckets::configured_bucket::spend(time_point now,
                                             millitokens amount) const noexcept
{
    millitokens expected = this->counters->spent;
    millitokens next = 0;
    do
    {
        next = std::max(expected, this->accrued(now) - this->burst) + amount;
    } while (!this->counters->spent.compare_exchange_weak(expected, next));
}

/// Lowers the reserved amount, but not below 0.
void token_buckets::configured_bucket::subtract_reserved(
    millitokens amount) const noexcept
{
    millitokens expected = this->counters->reserved;
    while (!this->counters->reserved.compare_exchange_weak(
        expected, std::max<millitokens>(0, expected - amount)))
    {
    }
}

token_buckets::configured_bucket
token_buckets::make_bucket(const allowance_limits& limits,
                           const configured_bucket* existing) const
{
    configured_bucket next;
    next.accrual_start = this->time->now();
    next.rate =
        std::max(0.0, limits.rate) * millitokens_per_token / nanoseconds_per_second;
    next.burst = to_millitokens(limits.burst);
    if (existing == nullptr)
    {
        next.counters = std::make_shared<bucket_counters>();
        next.accrued_before = limits.starts_full ? next.burst : 0;
        return next;
    }
    next.counters = existing->counters;
    next.accrued_before = existing->accrued(next.accrual_start);
    return next;
}

void token_buckets::configure(std::span<const allowance_limits> limits)
{
    auto next = std::make_unique<table>();
    next->reserve(limits.size());
    {
        const auto current = this->buckets.read();
        for (const allowance_limits& workspace_limits : limits)
        {
            const configured_bucket* existing = nullptr;
            if (current)
            {
                const auto found = current->find(workspace_limits.workspace);
                existing = found == current->end() ? nullptr : &found->second;
            }
            next->emplace(workspace_limits.workspace,
                          this->make_bucket(workspace_limits, existing));
        }
    }
    this->buckets.publish(std::move(next));
    const auto current = this->buckets.read();
    for (const auto& [name, bucket] : *current)
    {
        bucket.spend(this->time->now(), 0); // drops what exceeds a smaller burst
    }
}

/// The order of the atomic operations keeps the inequality: this function raises
/// `reserved` before it reads `spent`, and `deliver` raises `spent` before it lowers
/// `reserved`, so that every token is seen in at least one of the two.
admission_decision token_buckets::reserve(std::string_view workspace, double tokens)
{
    admission_decision decision;
    const auto current = this->buckets.read();
    if (!current)
    {
        return decision;
    }
    const auto found = current->find(workspace);
    if (found == current->end())
    {
        return decision;
    }
    const configured_bucket& target = found->second;
    const millitokens requested = to_millitokens(tokens);
    decision.limit = to_tokens(target.burst);
    millitokens reserved = 0;
    millitokens unspent = 0;
    for (int attempt = 0; attempt < max_reserve_attempts; ++attempt)
    {
        reserved = target.counters->reserved.fetch_add(requested) + requested;
        unspent = target.unspent(this->time->now());
        if (reserved <= unspent)
        {
            decision.admitted = true;
            decision.remaining = to_tokens(unspent - reserved);
            return decision;
        }
        reserved = target.counters->reserved.fetch_sub(requested);
        if (reserved > unspent)
        {
            // The tokens are still not enough. Otherwise another call has meanwhile
            // undone an attempt that had caused the refusal, and it is worth trying
            // again.
            break;
        }
    }
    reserved -= requested;
    decision.remaining = std::max(0.0, to_tokens(unspent - reserved));
    if (target.rate > 0)
    {
        const auto missing = static_cast<double>(reserved + requested - unspent);
        decision.retry_after =
            duration{std::max<duration::rep>(0, std::llround(missing / target.rate))};
    }
    return decision;
}

void token_buckets::deliver(std::string_view workspace, double tokens)
{
    const auto current = this->buckets.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        const millitokens amount = to_millitokens(tokens);
        found->second.spend(this->time->now(), amount);
        found->second.subtract_reserved(amount);
    }
}

void token_buckets::release(std::string_view workspace, double tokens)
{
    const auto current = this->buckets.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        found->second.subtract_reserved(to_millitokens(tokens));
    }
}

void token_buckets::add_outstanding(std::string_view workspace, double tokens)
{
    const auto current = this->buckets.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        const millitokens amount = to_millitokens(tokens);
        found->second.counters->reserved += amount;
        found->second.counters->spent -= amount;
    }
}

double token_buckets::level(std::string_view workspace) const
{
    const auto current = this->buckets.read();
    if (!current)
    {
        return 0;
    }
    const auto found = current->find(workspace);
    if (found == current->end())
    {
        return 0;
    }
    const millitokens unspent = found->second.unspent(this->time->now());
    return std::max(0.0, to_tokens(unspent - found->second.counters->reserved));
}

double token_buckets::outstanding(std::string_view workspace) const
{
    const auto current = this->buckets.read();
    if (!current)
    {
        return 0;
    }
    const auto found = current->find(workspace);
    return found == current->end() ? 0 : to_tokens(found->second.counters->reserved);
}

} // namespace agateseam

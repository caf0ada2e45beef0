#include <agateseam/price.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

/// Prices are given for one million tokens.
constexpr double tokens_per_price_unit = 1e6;

} // namespace

double price_of(const usage_counters& usage, const price_config& price) noexcept
{
    const std::uint64_t cached = std::min(usage.cached_tokens, usage.prompt_tokens);
    const double cost = static_cast<double>(usage.prompt_tokens - cached) * price.prompt +
                        static_cast<double>(cached) * price.cached +
                        static_cast<double>(usage.output_tokens) * price.output;
    return cost / tokens_per_price_unit;
}

double price_of(const usage_table& usage, std::string_view workspace,
                const configuration& current)
{
    double cost = 0;
    for (const auto& [key, counters] : usage)
    {
        const auto price = current.prices.find(key.pool);
        if (key.workspace == workspace && price != current.prices.end())
        {
            cost += price_of(counters, price->second);
        }
    }
    return cost;
}

} // namespace agateseam

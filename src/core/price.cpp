#include <agateseam/price.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr double tokens_per_price = 1e6;

} // namespace

double price_of(const usage_counters& used, const price_config& price) noexcept
{
    const std::uint64_t cached = std::min(used.cached_tokens, used.prompt_tokens);
    const double amount =
        static_cast<double>(used.prompt_tokens - cached) * price.prompt +
        static_cast<double>(cached) * price.cached +
        static_cast<double>(used.output_tokens) * price.output;
    return amount / tokens_per_price;
}

double price_of(const usage_table& used, std::string_view workspace,
                const configuration& current)
{
    double amount = 0;
    for (const auto& [key, counters] : used)
    {
        const auto price = current.prices.find(key.pool);
        if (key.workspace == workspace && price != current.prices.end())
        {
            amount += price_of(counters, price->second);
        }
    }
    return amount;
}

} // namespace agateseam

/// The price of usage.
#pragma once

#include <agateseam/configuration.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Returns the price of usage in the configuration's currency.
/// \remarks Cached prompt tokens are charged at the cached price instead of the prompt
/// price. Wasted tokens are free.
[[nodiscard]] double price_of(const usage_counters& usage,
                              const price_config& price) noexcept;

/// \brief Returns the price of one workspace's usage in a table; usage of a pool without
/// a price is free.
[[nodiscard]] double price_of(const usage_table& usage, std::string_view workspace,
                              const configuration& current);

} // namespace agateseam

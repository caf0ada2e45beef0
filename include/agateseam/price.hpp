/// What usage costs.
#pragma once

#include <agateseam/configuration.hpp>
#include <agateseam/usage.hpp>

namespace agateseam
{

/// \brief Returns the price of what was used, in the configuration's currency.
/// \remarks Cached prompt tokens cost the cached price in place of the prompt price;
/// waste costs nothing.
[[nodiscard]] double price_of(const usage_counters& used,
                              const price_config& price) noexcept;

/// \brief Returns the price of a table's rows of one workspace; a pool without a price
/// costs nothing.
[[nodiscard]] double price_of(const usage_table& used, std::string_view workspace,
                              const configuration& current);

} // namespace agateseam

/// Usage by hour, from an entry or from a file.
#pragma once

#include <array>

#include <agateseam/forecast.hpp>
#include <agateseam/price.hpp>
#include <agateseam/usage_ledger.hpp>

#include "command.hpp"

namespace agateseam
{

/// \brief Usage by hour, and the hour at which it was read.
struct dated_history
{
    usage_hour_number now = 0;
    usage_history hours;
};

/// \brief Asks the entry for the current hour.
[[nodiscard]] result<usage_hour_number> read_hour(const command_line& line);

/// \brief Reads the hours from the first to before the last, a shard at a time; only the
/// shard of --workspace when that was given.
[[nodiscard]] result<dated_history>
read_history(const command_line& line, usage_hour_number from, usage_hour_number to);

/// \brief Reads what a forecast looks at: the file of --history, or the last months.
[[nodiscard]] result<dated_history> read_forecast_history(const command_line& line);

} // namespace agateseam

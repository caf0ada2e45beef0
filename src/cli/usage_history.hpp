/// Reads hourly usage from an entry, from the platform's store or from a file.
#pragma once

#include <array>

#include <agateseam/forecast.hpp>
#include <agateseam/price.hpp>
#include <agateseam/usage_ledger.hpp>

#include "command.hpp"

namespace agateseam
{

/// \brief Usage by hour, and the hour at which it was read.
struct usage_history_snapshot
{
    usage_hour_number current_hour = 0;
    usage_history hours;
};

/// \brief Reads the current hour from the entry, or from the system clock if --store was
/// given.
[[nodiscard]] result<usage_hour_number> read_current_hour(const command_line& line);

/// \brief Reads the usage of the hours in [from, to). An entry is asked for one shard at
/// a time, and only for the shard of --workspace if that was given.
[[nodiscard]] result<usage_history_snapshot>
read_history(const command_line& line, usage_hour_number from, usage_hour_number to);

/// \brief Reads the usage that a forecast is based on: the file given by --history, or
/// else the last 120 days.
[[nodiscard]] result<usage_history_snapshot>
read_forecast_input(const command_line& line);

} // namespace agateseam

#include "usage_history.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr double seconds_per_day = 86'400;

/// Reads the price file given by --prices, which is used with --store. It maps each
/// service to its prices: {"SERVICE": {"prompt", "cached", "output"}}.
result<configuration> read_prices(const command_line& line)
{
    const std::string name = line.option("prices");
    if (name.empty())
    {
        return configuration{};
    }
    std::ifstream file(name);
    const json prices = json::parse(file, nullptr, false, true);
    if (!prices.is_object())
    {
        return fail(error_code::invalid, "read prices", name,
                    "the file is not a JSON object");
    }
    json pools = json::object();
    for (const auto& [service, price] : prices.items())
    {
        pools[service] = json::object();
    }
    return configuration::parse(json{{"pools", pools}, {"prices", prices}}.dump(), 0);
}

/// Returns the configuration with the prices and the workspaces' rates.
result<configuration> read_configuration(const command_line& line)
{
    if (!line.option("store").empty())
    {
        return read_prices(line);
    }
    const auto current = line.client.config();
    if (!current)
    {
        return tl::unexpected<error>(current.error());
    }
    return configuration::parse(current->document.dump(), current->number);
}

/// Returns the month given by --month, or else the fallback.
result<calendar_month> requested_month(const command_line& line, calendar_month fallback)
{
    const std::string text = line.option("month");
    return text.empty() ? result<calendar_month>(fallback) : calendar_month::parse(text);
}

/// Prints a cell, for CSV with a comma before all but the first, else padded to the width
/// of its column.
void print_cell(const std::string& text, bool csv, std::size_t column, const char* name)
{
    constexpr std::size_t min_width = 12;
    const auto width =
        static_cast<int>(std::max(min_width, std::string_view(name).size()) + 2);
    if (csv)
    {
        std::printf("%s%s", column > 0 ? "," : "", text.c_str());
        return;
    }
    std::printf("%*s", width, text.c_str());
}

int print_rows(const command_line& line, const json& rows,
               std::span<const char* const> columns)
{
    if (line.has("json"))
    {
        std::cout << rows.dump(2) << '\n';
        return exit_code::success;
    }
    const bool csv = line.has("csv");
    for (std::size_t column = 0; column < columns.size(); ++column)
    {
        print_cell(columns[column], csv, column, columns[column]);
    }
    std::printf("\n");
    for (const json& row : rows)
    {
        for (std::size_t column = 0; column < columns.size(); ++column)
        {
            const json& cell = row.at(columns[column]);
            char number[64] = {};
            (void)std::snprintf(number, sizeof number, "%.4f",
                                cell.is_number_float() ? cell.get<double>() : 0.0);
            const std::string text = cell.is_string()         ? cell.get<std::string>()
                                     : cell.is_number_float() ? std::string(number)
                                                              : cell.dump();
            print_cell(text, csv, column, columns[column]);
        }
        std::printf("\n");
    }
    return exit_code::success;
}

int show_usage(const command_line& line)
{
    const auto config = read_configuration(line);
    const auto now =
        config ? read_current_hour(line) : tl::unexpected<error>(config.error());
    if (!now)
    {
        return report_error(now.error());
    }
    const auto month =
        requested_month(line, calendar_month::of_day(*now / hours_per_day));
    if (!month)
    {
        return report_error(month.error());
    }
    const auto history = read_history(line, month->first_day() * hours_per_day,
                                      month->next().first_day() * hours_per_day);
    if (!history)
    {
        return report_error(history.error());
    }
    usage_table total;
    for (const auto& [hour, rows] : history->hours)
    {
        add(total, rows);
    }
    json rows = json::array();
    for (const auto& [key, counters] : total)
    {
        const auto price = config->prices.find(key.pool);
        json row{{"month", month->to_string()},
                 {"workspace", key.workspace},
                 {"pool", key.pool},
                 {"amount", price == config->prices.end()
                                ? 0.0
                                : price_of(counters, price->second)}};
        for (const usage_field& field : usage_fields)
        {
            row[std::string(field.name)] = counters.*field.member;
        }
        if (line.option("workspace").empty() || line.option("workspace") == key.workspace)
        {
            rows.push_back(std::move(row));
        }
    }
    constexpr const char* columns[] = {
        "workspace",     "pool",          "amount",        "requests",
        "prompt_tokens", "cached_tokens", "output_tokens", "wasted_prompt_tokens"};
    return print_rows(line, rows, columns);
}

/// Returns the highest amount that a workspace can spend in a month within its rate, at
/// its average price per token so far. Returns 0 if the
/// workspace is not configured or has no usage.
double max_monthly_amount(const configuration& config, const std::string& workspace,
                          const usage_history& hours, double amount, std::uint64_t days)
{
    const auto limits = config.workspaces.find(workspace);
    double tokens = 0;
    for (const auto& [hour, rows] : hours)
    {
        for (const auto& [key, counters] : rows)
        {
            tokens +=
                key.workspace == workspace
                    ? static_cast<double>(counters.prompt_tokens + counters.output_tokens)
                    : 0;
        }
    }
    if (limits == config.workspaces.end() || tokens <= 0)
    {
        return 0;
    }
    const double max_tokens =
        limits->second.rate * seconds_per_day * static_cast<double>(days) +
        limits->second.burst;
    return max_tokens * amount / tokens;
}

std::map<std::string, std::vector<hourly_amount>>
amounts_by_workspace(const usage_history& hours, const configuration& config)
{
    std::map<std::string, std::vector<hourly_amount>> amounts;
    for (const auto& [hour, rows] : hours)
    {
        for (const auto& [key, counters] : rows)
        {
            const auto price = config.prices.find(key.pool);
            if (price != config.prices.end())
            {
                amounts[key.workspace].push_back(
                    {hour, price_of(counters, price->second)});
            }
        }
    }
    return amounts;
}

json to_json_row(const std::string& workspace, const month_forecast& forecast)
{
    return {{"month", forecast.month.to_string()},
            {"workspace", workspace},
            {"amount", forecast.amount},
            {"low_80", forecast.low},
            {"high_80", forecast.high},
            {"spent", forecast.spent},
            {"limited", forecast.limited},
            {"days_of_history", forecast.history_days},
            {"days_used", forecast.days_used},
            {"shape", to_string(forecast.shape)},
            {"weekly", forecast.weekly}};
}

int show_forecast(const command_line& line)
{
    const auto config = read_configuration(line);
    const auto history =
        config ? read_forecast_input(line) : tl::unexpected<error>(config.error());
    if (!history)
    {
        return report_error(history.error());
    }
    const auto month = requested_month(
        line, calendar_month::of_day(history->current_hour / hours_per_day).next());
    if (!month)
    {
        return report_error(month.error());
    }
    json rows = json::array();
    bool any_failed = false;
    for (const auto& [workspace, amounts] : amounts_by_workspace(history->hours, *config))
    {
        if (!line.option("workspace").empty() && line.option("workspace") != workspace)
        {
            continue;
        }
        double spent = 0;
        for (const hourly_amount& item : amounts)
        {
            spent += item.amount;
        }
        const double max_amount =
            max_monthly_amount(*config, workspace, history->hours, spent, month->days());
        const auto forecast =
            forecast_month(amounts, {*month, history->current_hour, max_amount});
        if (!forecast)
        {
            std::cerr << workspace << ": " << forecast.error().to_string() << '\n';
            any_failed = true;
            continue;
        }
        rows.push_back(to_json_row(workspace, *forecast));
    }
    if (rows.empty())
    {
        return any_failed ? exit_code::failure
                          : report_error({error_code::not_found, "forecast", "",
                                          "there is no history of priced use"});
    }
    constexpr const char* columns[] = {
        "month", "workspace", "amount",          "low_80",    "high_80",
        "spent", "shape",     "days_of_history", "days_used", "limited"};
    (void)print_rows(line, rows, columns);
    return any_failed ? exit_code::failure : exit_code::success;
}

constexpr std::array commands{
    command{"usage",
            "[--month YYYY-MM] [--workspace NAME] [--store IP:PORT [--prices FILE]] "
            "[--json|--csv]",
            "show a month's usage and its cost so far", 1, show_usage},
    command{"forecast",
            "[--month YYYY-MM] [--workspace NAME] [--history FILE] "
            "[--store IP:PORT --prices FILE] [--json|--csv]",
            "forecast a month's cost with an 80% prediction interval", 1, show_forecast},
};

} // namespace

std::span<const command> usage_commands() noexcept
{
    return commands;
}

} // namespace agateseam

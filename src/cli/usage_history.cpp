#include "usage_history.hpp"

#include <chrono>
#include <fstream>
#include <sstream>

#include <agateseam/impl/usage_json.hpp>
#include <platform/usage_reader.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr usage_hour_number forecast_history_hours = 120 * hours_per_day;

result<usage_history_snapshot> parse_history(const json& source)
{
    try
    {
        usage_history_snapshot snapshot;
        source.at("now").get_to(snapshot.current_hour);
        const json& hours = source.at("hours");
        for (const auto& [hour, rows] : hours.items())
        {
            snapshot.hours.emplace(std::stoull(hour), impl::rows_from_json(rows));
        }
        return snapshot;
    }
    catch (const std::exception& failure)
    {
        return fail(error_code::invalid, "read history", "", failure.what());
    }
}

/// Reads the usage that the entries on the platform recorded in its store.
result<usage_history_snapshot> read_platform_history(const command_line& line,
                                                     usage_hour_number from,
                                                     usage_hour_number to)
{
    auto all = read_platform_usage(line.option("store"));
    if (!all)
    {
        return tl::unexpected<error>(all.error());
    }
    std::erase_if(*all, [from, to](const auto& item)
                  { return item.first < from || item.first >= to; });
    // With --store the hour comes from the system clock, so reading it cannot fail.
    return usage_history_snapshot{*read_current_hour(line), std::move(*all)};
}

/// Asks the entry for the usage that a query string selects.
result<usage_history_snapshot> fetch_usage(const command_line& line,
                                           const std::string& query)
{
    const auto page = line.client.get_json("/operator/usage?" + query);
    return page ? parse_history(*page) : tl::unexpected<error>(page.error());
}

} // namespace

result<usage_hour_number> read_current_hour(const command_line& line)
{
    if (!line.option("store").empty())
    {
        return static_cast<usage_hour_number>(
            std::chrono::floor<std::chrono::hours>(std::chrono::system_clock::now())
                .time_since_epoch()
                .count());
    }
    // An empty range: only the hour in the answer is needed.
    const auto snapshot = fetch_usage(line, "shard=0&from=0&to=0");
    return snapshot ? result<usage_hour_number>(snapshot->current_hour)
                    : tl::unexpected<error>(snapshot.error());
}

result<usage_history_snapshot> read_history(const command_line& line,
                                            usage_hour_number from, usage_hour_number to)
{
    if (!line.option("store").empty())
    {
        return read_platform_history(line, from, to);
    }
    const std::string range =
        "from=" + std::to_string(from) + "&to=" + std::to_string(to);
    const std::string workspace = line.option("workspace");
    const std::uint32_t first_shard = workspace.empty() ? 0 : usage_shard_of(workspace);
    const std::uint32_t end_shard =
        workspace.empty() ? usage_shard_count : first_shard + 1;
    usage_history_snapshot all;
    for (std::uint32_t shard = first_shard; shard < end_shard; ++shard)
    {
        const auto part =
            fetch_usage(line, "shard=" + std::to_string(shard) + "&" + range);
        if (!part)
        {
            return tl::unexpected<error>(part.error());
        }
        all.current_hour = part->current_hour;
        for (const auto& [hour, rows] : part->hours)
        {
            add(all.hours[hour], rows);
        }
    }
    return all;
}

result<usage_history_snapshot> read_forecast_input(const command_line& line)
{
    const std::string path = line.option("history");
    if (!path.empty())
    {
        std::ifstream file(path);
        const json source = json::parse(file, nullptr, false);
        if (!source.is_object())
        {
            return fail(error_code::invalid, "read history", path,
                        "the file is not a JSON object");
        }
        return parse_history(source);
    }
    const auto now = read_current_hour(line);
    if (!now)
    {
        return tl::unexpected<error>(now.error());
    }
    return read_history(line, *now - std::min(*now, forecast_history_hours), *now + 1);
}

} // namespace agateseam

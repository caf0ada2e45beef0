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

constexpr usage_hour_number forecast_hours = 120 * hours_per_day;

result<dated_history> parse_history(const json& source)
{
    try
    {
        dated_history read;
        source.at("now").get_to(read.now);
        const json& hours = source.at("hours");
        for (const auto& [hour, rows] : hours.items())
        {
            read.hours.emplace(std::stoull(hour), impl::rows_from_json(rows));
        }
        return read;
    }
    catch (const std::exception& fault)
    {
        return fail(error_code::invalid, "read history", "", fault.what());
    }
}

/// What entries on the platform recorded.
result<dated_history> read_from_store(const command_line& line, usage_hour_number from,
                                      usage_hour_number to)
{
    auto all = read_platform_usage(line.option("store"));
    if (!all)
    {
        return tl::unexpected<error>(all.error());
    }
    std::erase_if(*all, [from, to](const auto& item)
                  { return item.first < from || item.first >= to; });
    return dated_history{*read_hour(line), std::move(*all)};
}

result<dated_history> read_part(const command_line& line, const std::string& query)
{
    const auto page = line.client.object("/operator/usage?" + query);
    return page ? parse_history(*page) : tl::unexpected<error>(page.error());
}

} // namespace

result<usage_hour_number> read_hour(const command_line& line)
{
    if (!line.option("store").empty())
    {
        return static_cast<usage_hour_number>(
            std::chrono::floor<std::chrono::hours>(std::chrono::system_clock::now())
                .time_since_epoch()
                .count());
    }
    const auto read = read_part(line, "shard=0&from=0&to=0");
    return read ? result<usage_hour_number>(read->now)
                : tl::unexpected<error>(read.error());
}

result<dated_history> read_history(const command_line& line, usage_hour_number from,
                                   usage_hour_number to)
{
    if (!line.option("store").empty())
    {
        return read_from_store(line, from, to);
    }
    const std::string range =
        "from=" + std::to_string(from) + "&to=" + std::to_string(to);
    const std::string workspace = line.option("workspace");
    const std::uint32_t first = workspace.empty() ? 0 : usage_shard_of(workspace);
    const std::uint32_t last = workspace.empty() ? usage_shard_count : first + 1;
    dated_history all;
    for (std::uint32_t shard = first; shard < last; ++shard)
    {
        const auto part = read_part(line, "shard=" + std::to_string(shard) + "&" + range);
        if (!part)
        {
            return tl::unexpected<error>(part.error());
        }
        all.now = part->now;
        for (const auto& [hour, rows] : part->hours)
        {
            add(all.hours[hour], rows);
        }
    }
    return all;
}

result<dated_history> read_forecast_history(const command_line& line)
{
    const std::string name = line.option("history");
    if (!name.empty())
    {
        std::ifstream file(name);
        const json source = json::parse(file, nullptr, false);
        if (!source.is_object())
        {
            return fail(error_code::invalid, "read history", name,
                        "the file is not a JSON object");
        }
        return parse_history(source);
    }
    const auto now = read_hour(line);
    if (!now)
    {
        return tl::unexpected<error>(now.error());
    }
    return read_history(line, *now - std::min(*now, forecast_hours), *now + 1);
}

} // namespace agateseam

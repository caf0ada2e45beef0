#include "command.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

#include <net/event_json.hpp>

#include "timeline_page.hpp"

namespace agateseam
{

namespace
{

using json = nlohmann::json;

bool wanted(const command_line& line, const event& item, std::uint64_t since)
{
    const auto agrees = [&](const char* option, const std::string& value)
    { return line.option(option).empty() || line.option(option) == value; };
    const bool right_vm = agrees("vm", item.process) || line.option("vm") == item.peer;
    return agrees("request", item.request) && agrees("workspace", item.workspace) &&
           right_vm && item.stamp.milliseconds() >= since;
}

/// Adds the events of a text of JSON lines; lines that are no events are passed over.
void take_lines(const command_line& line, std::istream& text, std::uint64_t since,
                std::vector<event>& events)
{
    std::string row;
    while (std::getline(text, row))
    {
        auto item = parse_event(row);
        if (item && wanted(line, *item, since))
        {
            events.push_back(std::move(*item));
        }
    }
}

/// \returns how many processes did not answer.
result<int> gather(const command_line& line, std::uint64_t since,
                   std::vector<event>& events)
{
    const auto listed = line.client.object("/operator/processes");
    if (!listed)
    {
        return tl::unexpected<error>(listed.error());
    }
    int silent = 0;
    for (const json& item : (*listed)["processes"])
    {
        const std::string vm = item.value("vm", "");
        const auto page = line.client.page("/operator/process/" + vm + "/events?after=0");
        if (!page)
        {
            std::cerr << vm << ": " << page.error().to_string() << '\n';
            ++silent;
            continue;
        }
        std::istringstream text(*page);
        take_lines(line, text, since, events);
    }
    return silent;
}

void print_text(const std::vector<event>& events)
{
    const std::uint64_t origin = events.empty() ? 0 : events.front().stamp.milliseconds();
    for (const event& item : events)
    {
        std::printf("%10llu ms  %-14s %-16s",
                    static_cast<unsigned long long>(item.stamp.milliseconds() - origin),
                    item.process.c_str(), std::string(to_string(item.kind)).c_str());
        if (!item.request.empty())
        {
            std::printf(" %s.%u", item.request.c_str(), item.attempt);
        }
        for (const std::string& text : {item.workspace, item.peer, item.detail})
        {
            std::printf("%s%s", text.empty() ? "" : " ", text.c_str());
        }
        if (item.value != 0)
        {
            std::printf(" %lld", static_cast<long long>(item.value));
        }
        std::printf("\n");
    }
}

int show_timeline(const command_line& line)
{
    const std::uint64_t since =
        line.has("since")
            ? static_cast<std::uint64_t>(line.arguments["since"].as<double>())
            : 0;
    std::vector<event> events;
    int silent = 0;
    if (line.has("file"))
    {
        for (const auto& name : line.arguments["file"].as<std::vector<std::string>>())
        {
            std::ifstream file(name);
            if (!file)
            {
                return report({error_code::not_found, "read events", name,
                               "the file cannot be read"});
            }
            take_lines(line, file, since, events);
        }
    }
    else
    {
        const auto gathered = gather(line, since, events);
        if (!gathered)
        {
            return report(gathered.error());
        }
        silent = *gathered;
    }
    std::sort(events.begin(), events.end(),
              [](const event& left, const event& right)
              {
                  return std::tie(left.stamp, left.process, left.sequence) <
                         std::tie(right.stamp, right.process, right.sequence);
              });
    if (line.has("json"))
    {
        for (const event& item : events)
        {
            std::cout << to_json(item).dump() << '\n';
        }
    }
    else if (line.has("html"))
    {
        std::cout << timeline_page(events);
    }
    else
    {
        print_text(events);
    }
    return silent > 0 ? exit_code::fault : exit_code::done;
}

constexpr std::array commands{
    command{"timeline",
            "[--request ID] [--workspace NAME] [--vm VM] [--since MS] [--file FILE] "
            "[--json|--html]",
            "show the events of all processes in causal order", 1, show_timeline},
};

} // namespace

std::span<const command> timeline_commands() noexcept
{
    return commands;
}

} // namespace agateseam

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

bool matches_options(const command_line& line, const event& item, std::uint64_t since_ms)
{
    const auto option_matches = [&](const char* option, const std::string& value)
    { return line.option(option).empty() || line.option(option) == value; };
    const bool vm_matches =
        option_matches("vm", item.process) || line.option("vm") == item.peer;
    return option_matches("request", item.request) &&
           option_matches("workspace", item.workspace) && vm_matches &&
           item.stamp.milliseconds() >= since_ms;
}

/// Appends the matching events of a text with one JSON object per line. Lines that can't
/// be parsed as events are ignored.
void append_matching_events(const command_line& line, std::istream& text,
                            std::uint64_t since_ms, std::vector<event>& events)
{
    std::string row;
    while (std::getline(text, row))
    {
        auto item = parse_event(row);
        if (item && matches_options(line, *item, since_ms))
        {
            events.push_back(std::move(*item));
        }
    }
}

/// Fetches the matching events of all processes.
/// \returns the number of processes that did not answer.
result<int> fetch_events(const command_line& line, std::uint64_t since_ms,
                         std::vector<event>& events)
{
    const auto listed = line.client.get_json("/operator/processes");
    if (!listed)
    {
        return tl::unexpected<error>(listed.error());
    }
    int unanswered = 0;
    for (const json& item : (*listed)["processes"])
    {
        const std::string vm = item.value("vm", "");
        const auto page =
            line.client.get_text("/operator/process/" + vm + "/events?after=0");
        if (!page)
        {
            std::cerr << vm << ": " << page.error().to_string() << '\n';
            ++unanswered;
            continue;
        }
        std::istringstream text(*page);
        append_matching_events(line, text, since_ms, events);
    }
    return unanswered;
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
    const std::uint64_t since_ms =
        line.has("since")
            ? static_cast<std::uint64_t>(line.arguments["since"].as<double>())
            : 0;
    std::vector<event> events;
    int unanswered = 0;
    if (line.has("file"))
    {
        for (const auto& name : line.arguments["file"].as<std::vector<std::string>>())
        {
            std::ifstream file(name);
            if (!file)
            {
                return report_error({error_code::not_found, "read events", name,
                                     "the file cannot be read"});
            }
            append_matching_events(line, file, since_ms, events);
        }
    }
    else
    {
        const auto unanswered_processes = fetch_events(line, since_ms, events);
        if (!unanswered_processes)
        {
            return report_error(unanswered_processes.error());
        }
        unanswered = *unanswered_processes;
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
        std::cout << render_timeline_page(events);
    }
    else
    {
        print_text(events);
    }
    return unanswered > 0 ? exit_code::failure : exit_code::success;
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

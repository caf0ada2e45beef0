#include "command.hpp"

#include <array>
#include <chrono>
#include <iostream>
#include <map>
#include <thread>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::seconds top_interval{2};

/// Fetches the status of every process that the entry lists, or only of the one on the VM
/// given by --vm.
result<json> fetch_statuses(const command_line& line)
{
    const auto listed = line.client.get_json("/operator/processes");
    if (!listed)
    {
        return tl::unexpected<error>(listed.error());
    }
    json rows = json::array();
    for (const json& item : (*listed)["processes"])
    {
        const std::string vm = item.value("vm", "");
        if (!line.option("vm").empty() && line.option("vm") != vm)
        {
            continue;
        }
        json row = item;
        const auto status = line.client.get_json("/operator/process/" + vm + "/status");
        row["answers"] = status.has_value();
        if (status)
        {
            row.update(*status);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

void print_table(const json& rows)
{
    std::printf("%-16s%-8s%-14s%-10s%8s%8s%8s%10s%8s%10s\n", "vm", "role", "domain",
                "version", "config", "open", "waiting", "slots", "store", "leaving");
    for (const json& row : rows)
    {
        const std::string slots = std::to_string(row.value("slots_held", 0)) + "/" +
                                  std::to_string(row.value("slots", 0));
        const bool answered = row.value("answers", false);
        std::printf(
            "%-16s%-8s%-14s%-10s%8d%8d%8d%10s%8s%10s\n", row.value("vm", "").c_str(),
            row.value("role", "").c_str(), row.value("failure_domain", "").c_str(),
            answered ? row.value("version", "").c_str() : "silent",
            row.value("config_number", 0), row.value("open", 0), row.value("waiting", 0),
            slots.c_str(), row.value("store_reachable", true) ? "ok" : "lost",
            row.value("leaving", false) ? "yes" : "no");
    }
}

int show_status(const command_line& line)
{
    const auto rows = fetch_statuses(line);
    if (!rows)
    {
        return report_error(rows.error());
    }
    if (line.has("json"))
    {
        std::cout << rows->dump(2) << '\n';
    }
    else
    {
        print_table(*rows);
    }
    bool all_answered = true;
    for (const json& row : *rows)
    {
        all_answered = all_answered && row["answers"].get<bool>();
    }
    return all_answered ? exit_code::success : exit_code::failure;
}

/// Sums each counter over all processes. Entries and agents report different counters; a
/// missing one counts as 0.
json sum_over_processes(const json& rows)
{
    json sums = json::object();
    for (const char* name : {"open", "waiting", "slots", "slots_held", "admitted",
                             "whole", "good", "refused_inside_rate", "output_tokens"})
    {
        std::int64_t sum = 0;
        for (const json& row : rows)
        {
            sum += row.value(name, std::int64_t{0});
        }
        sums[name] = sum;
    }
    return sums;
}

int show_top(const command_line& line)
{
    // 0 repeats until the command is interrupted.
    const int rounds = line.has("rounds") ? line.arguments["rounds"].as<int>() : 0;
    json previous_sums;
    for (int round = 0; rounds == 0 || round < rounds; ++round)
    {
        if (round > 0)
        {
            std::this_thread::sleep_for(top_interval);
        }
        const auto rows = fetch_statuses(line);
        if (!rows)
        {
            return report_error(rows.error());
        }
        const json sums = sum_over_processes(*rows);
        const auto per_second = [&](const char* name)
        {
            const std::int64_t increase =
                previous_sums.is_object() ? sums[name].get<std::int64_t>() -
                                                previous_sums[name].get<std::int64_t>()
                                          : 0;
            return static_cast<double>(increase) /
                   static_cast<double>(top_interval.count());
        };
        if (line.has("json"))
        {
            std::cout << sums.dump() << std::endl;
        }
        else
        {
            std::printf(
                "open %lld  slots %lld/%lld  waiting %lld  requests/s %.1f  "
                "in time/s %.1f  tokens/s %.0f  refused inside rate %lld\n",
                sums["open"].get<long long>(), sums["slots_held"].get<long long>(),
                sums["slots"].get<long long>(), sums["waiting"].get<long long>(),
                per_second("whole"), per_second("good"), per_second("output_tokens"),
                sums["refused_inside_rate"].get<long long>());
            std::fflush(stdout);
        }
        previous_sums = sums;
    }
    return exit_code::success;
}

int drain(const command_line& line)
{
    const auto answer = line.client.drain(line.words[1]);
    if (!answer)
    {
        return report_error(answer.error());
    }
    std::cout << line.words[1] << " accepts no new work and finishes what it has\n";
    return exit_code::success;
}

constexpr std::array commands{
    command{"drain", "VM", "make an agent accept no new work and finish what it has", 2,
            drain},
    command{"status", "[--vm VM] [--json]",
            "show every process: version, load, configuration, store", 1, show_status},
    command{"top", "[--rounds N] [--json]", "show the fleet's load every two seconds", 1,
            show_top},
};

} // namespace

std::span<const command> status_commands() noexcept
{
    return commands;
}

} // namespace agateseam

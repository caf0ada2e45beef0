#include <array>
#include <cstdio>
#include <iostream>

#include <nlohmann/json.hpp>
#include <platform/evacuation_reader.hpp>

#include "command.hpp"

namespace agateseam
{

namespace
{

void print_json(const std::vector<stored_evacuation>& evacuated)
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const stored_evacuation& item : evacuated)
    {
        rows.push_back({{"failure_domain", item.domain}, {"revision", item.revision}});
    }
    std::cout << rows.dump(2) << '\n';
}

int show_evacuations(const command_line& line)
{
    const std::string store = line.option("store");
    if (store.empty())
    {
        std::cerr << "evacuations needs --store IP:PORT\n";
        return exit_code::usage;
    }
    const auto evacuated = read_platform_evacuations(store);
    if (!evacuated)
    {
        return report_error(evacuated.error());
    }
    if (line.has("json"))
    {
        print_json(*evacuated);
        return exit_code::success;
    }
    std::printf("%-32s %12s\n", "failure domain", "revision");
    for (const stored_evacuation& item : *evacuated)
    {
        std::printf("%-32s %12llu\n", item.domain.c_str(),
                    static_cast<unsigned long long>(item.revision));
    }
    return exit_code::success;
}

constexpr std::array commands{
    command{"evacuations", "--store IP:PORT [--json]",
            "list the evacuated failure domains in the platform's store", 1,
            show_evacuations},
};

} // namespace

std::span<const command> evacuation_commands() noexcept
{
    return commands;
}

} // namespace agateseam

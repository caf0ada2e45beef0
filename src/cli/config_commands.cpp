#include "command.hpp"

#include <array>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include <agateseam/api_key.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

int print_configuration(const result<numbered_document>& updated)
{
    if (!updated)
    {
        return report_error(updated.error());
    }
    const json printed{{"number", updated->number}, {"document", updated->document}};
    std::cout << printed.dump(2) << '\n';
    return 0;
}

int get_config(const command_line& line)
{
    return print_configuration(line.client.config());
}

int apply_patch(const command_line& line, const json& patch)
{
    const auto against = line.against();
    if (!against)
    {
        return report_error(against.error());
    }
    const std::string note = line.arguments.count("note") > 0
                                 ? line.arguments["note"].as<std::string>()
                                 : std::string{};
    return print_configuration(line.client.patch(*against, patch, note));
}

int patch_config(const command_line& line)
{
    std::ifstream file(line.words[2]);
    const json patch = json::parse(file, nullptr, false, true);
    if (!file || patch.is_discarded())
    {
        return report_error({error_code::invalid, "read patch", line.words[2],
                             "the file can't be read or is not JSON"});
    }
    return apply_patch(line, patch);
}

int set_workspace(const command_line& line)
{
    json changes = json::object();
    for (const char* name : {"rate", "burst", "weight"})
    {
        if (line.arguments.count(name) > 0)
        {
            changes[name] = line.arguments[name].as<double>();
        }
    }
    return apply_patch(line, {{"workspaces", {{line.words[2], changes}}}});
}

result<numbered_document> update_keys(const command_line& line,
                                      const std::string& workspace,
                                      const std::function<void(json&)>& modify)
{
    auto current = line.client.config();
    if (!current)
    {
        return current;
    }
    const json::json_pointer workspace_pointer("/workspaces/" + workspace);
    if (!current->document.contains(workspace_pointer))
    {
        return fail(error_code::not_found, "change keys", workspace,
                    "the workspace does not exist");
    }
    json keys = current->document[workspace_pointer].value("keys", json::array());
    modify(keys);
    return line.client.patch(current->number,
                             {{"workspaces", {{workspace, {{"keys", keys}}}}}});
}

int create_key(const command_line& line)
{
    const auto key = generate_api_key();
    if (!key)
    {
        return report_error(key.error());
    }
    const auto updated = update_keys(line, line.words[2],
                                     [&](json& keys)
                                     {
                                         keys.push_back({{"id", key->record.id},
                                                         {"salt", key->record.salt},
                                                         {"hash", key->record.hash}});
                                     });
    if (!updated)
    {
        return report_error(updated.error());
    }
    std::cout << key->text << '\n';
    return 0;
}

int withdraw_key(const command_line& line)
{
    const std::string id = line.words[3];
    const auto updated = update_keys(line, line.words[2],
                                     [&](json& keys)
                                     {
                                         json remaining = json::array();
                                         for (const json& key : keys)
                                         {
                                             if (key.value("id", "") != id)
                                             {
                                                 remaining.push_back(key);
                                             }
                                         }
                                         keys = remaining;
                                     });
    return updated ? 0 : report_error(updated.error());
}

constexpr std::array commands{
    command{"config get", "", "print the configuration and its number", 2, get_config},
    command{"config patch", "FILE [--against N] [--note TEXT]",
            "apply a merge patch, or a JSON Patch if the file holds a list", 3,
            patch_config},
    command{"workspace set", "NAME [--rate R] [--burst B] [--weight W]",
            "create or change a workspace", 3, set_workspace},
    command{"key create", "WORKSPACE",
            "create an API key and print it; it can't be shown again", 3, create_key},
    command{"key withdraw", "WORKSPACE KEY_ID", "withdraw an API key", 4, withdraw_key},
};

} // namespace

std::span<const command> config_commands() noexcept
{
    return commands;
}

} // namespace agateseam

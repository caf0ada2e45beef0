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

int print(const result<numbered_document>& outcome)
{
    if (!outcome)
    {
        return report(outcome.error());
    }
    const json shown{{"number", outcome->number}, {"document", outcome->document}};
    std::cout << shown.dump(2) << '\n';
    return 0;
}

int get_config(const command_line& line)
{
    return print(line.client.config());
}

int apply(const command_line& line, const json& patch)
{
    const auto against = line.against();
    if (!against)
    {
        return report(against.error());
    }
    const std::string note = line.arguments.count("note") > 0
                                 ? line.arguments["note"].as<std::string>()
                                 : std::string{};
    return print(line.client.patch(*against, patch, note));
}

int patch_config(const command_line& line)
{
    std::ifstream file(line.words[2]);
    const json patch = json::parse(file, nullptr, false, true);
    if (!file || patch.is_discarded())
    {
        return report({error_code::invalid, "read patch", line.words[2],
                       "the file is not readable JSON"});
    }
    return apply(line, patch);
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
    return apply(line, {{"workspaces", {{line.words[2], changes}}}});
}

result<numbered_document> change_keys(const command_line& line,
                                      const std::string& workspace,
                                      const std::function<void(json&)>& change)
{
    auto current = line.client.config();
    if (!current)
    {
        return current;
    }
    const json::json_pointer place("/workspaces/" + workspace);
    if (!current->document.contains(place))
    {
        return fail(error_code::not_found, "change keys", workspace, "no such workspace");
    }
    json keys = current->document[place].value("keys", json::array());
    change(keys);
    return line.client.patch(current->number,
                             {{"workspaces", {{workspace, {{"keys", keys}}}}}});
}

int create_key(const command_line& line)
{
    const auto key = generate_api_key();
    if (!key)
    {
        return report(key.error());
    }
    const auto changed = change_keys(line, line.words[2],
                                     [&](json& keys)
                                     {
                                         keys.push_back({{"id", key->record.id},
                                                         {"salt", key->record.salt},
                                                         {"hash", key->record.hash}});
                                     });
    if (!changed)
    {
        return report(changed.error());
    }
    std::cout << key->text << '\n';
    return 0;
}

int withdraw_key(const command_line& line)
{
    const std::string id = line.words[3];
    const auto changed = change_keys(line, line.words[2],
                                     [&](json& keys)
                                     {
                                         json kept = json::array();
                                         for (const json& key : keys)
                                         {
                                             if (key.value("id", "") != id)
                                             {
                                                 kept.push_back(key);
                                             }
                                         }
                                         keys = kept;
                                     });
    return changed ? 0 : report(changed.error());
}

constexpr std::array commands{
    command{"config get", "", "print the configuration and its number", 2, get_config},
    command{"config patch", "FILE [--against N] [--note TEXT]",
            "apply a merge patch, or a JSON Patch if the file holds a list", 3,
            patch_config},
    command{"workspace set", "NAME [--rate R] [--burst B] [--weight W]",
            "make or change a workspace", 3, set_workspace},
    command{"key create", "WORKSPACE", "make a key; it is shown once", 3, create_key},
    command{"key withdraw", "WORKSPACE KEY_ID", "withdraw a key", 4, withdraw_key},
};

} // namespace

std::span<const command> config_commands() noexcept
{
    return commands;
}

} // namespace agateseam

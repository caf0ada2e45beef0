#include "command.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

using table_row = std::vector<std::string>;

constexpr std::size_t column_gap_width = 2; // in spaces

bool wants_json(const command_line& line)
{
    return line.arguments.count("json") > 0;
}

/// Prints rows as a table whose columns are as wide as their widest cell. The first row
/// is the heading.
void print_table(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const table_row& row : rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const table_row& row : rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            const std::size_t width = widths[column] + column_gap_width;
            std::cout << std::left << std::setw(static_cast<int>(width)) << row[column];
        }
        std::cout << '\n';
    }
}

std::string to_cell(const json& item, const char* name)
{
    const json value = item.value(name, json());
    if (value.is_null())
    {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints a section of the configuration as a table with the given columns, or as JSON.
int list_section(const command_line& line, const char* section,
                 const std::vector<const char*>& columns)
{
    const auto current = line.client.config();
    if (!current)
    {
        return report_error(current.error());
    }
    const json items = current->document.value(section, json::object());
    if (wants_json(line))
    {
        std::cout << items.dump(2) << '\n';
        return exit_code::success;
    }
    std::vector<table_row> rows{{"name"}};
    rows.front().insert(rows.front().end(), columns.begin(), columns.end());
    for (const auto& [name, item] : items.items())
    {
        table_row row{name};
        for (const char* column : columns)
        {
            row.push_back(to_cell(item, column));
        }
        rows.push_back(std::move(row));
    }
    print_table(rows);
    return exit_code::success;
}

int get_item(const command_line& line, const char* section)
{
    const auto current = line.client.config();
    if (!current)
    {
        return report_error(current.error());
    }
    const json items = current->document.value(section, json::object());
    const auto found = items.find(line.words[2]);
    if (found == items.end())
    {
        return report_error({error_code::not_found, "get", line.words[2],
                             "the configuration section has no item of this name"});
    }
    std::cout << found->dump(2) << '\n';
    return exit_code::success;
}

int set_item(const command_line& line, const char* section, const json& changes)
{
    const auto against = line.against();
    if (!against)
    {
        return report_error(against.error());
    }
    const auto updated =
        line.client.patch(*against, {{section, {{line.words[2], changes}}}});
    if (!updated)
    {
        return report_error(updated.error());
    }
    std::cout << json{{"number", updated->number}}.dump() << '\n';
    return exit_code::success;
}

void copy_text_option(const command_line& line, const char* option, json& changes)
{
    if (line.arguments.count(option) > 0)
    {
        changes[option] = line.arguments[option].as<std::string>();
    }
}

int list_workspaces(const command_line& line)
{
    return list_section(line, "workspaces", {"rate", "burst", "weight"});
}

int get_workspace(const command_line& line)
{
    return get_item(line, "workspaces");
}

int list_pools(const command_line& line)
{
    return list_section(line, "pools", {"model"});
}

int set_pool(const command_line& line)
{
    json changes = json::object();
    copy_text_option(line, "model", changes);
    return set_item(line, "pools", changes);
}

int list_routes(const command_line& line)
{
    return list_section(line, "routes", {"prefix", "pool", "repeatable", "open"});
}

int set_route(const command_line& line)
{
    json changes = json::object();
    copy_text_option(line, "prefix", changes);
    copy_text_option(line, "pool", changes);
    if (line.arguments.count("repeatable") > 0)
    {
        changes["repeatable"] = line.arguments["repeatable"].as<bool>();
    }
    return set_item(line, "routes", changes);
}

int list_keys(const command_line& line)
{
    const auto current = line.client.config();
    if (!current)
    {
        return report_error(current.error());
    }
    std::vector<table_row> rows{{"workspace", "key"}};
    json listed = json::array();
    const json workspaces = current->document.value("workspaces", json::object());
    for (const auto& [name, workspace] : workspaces.items())
    {
        for (const json& key : workspace.value("keys", json::array()))
        {
            rows.push_back({name, to_cell(key, "id")});
            listed.push_back({{"workspace", name}, {"key", to_cell(key, "id")}});
        }
    }
    if (wants_json(line))
    {
        std::cout << listed.dump(2) << '\n';
        return exit_code::success;
    }
    print_table(rows);
    return exit_code::success;
}

int show_history(const command_line& line)
{
    const auto changes = line.client.history();
    if (!changes)
    {
        return report_error(changes.error());
    }
    if (wants_json(line))
    {
        std::cout << changes->dump(2) << '\n';
        return exit_code::success;
    }
    std::vector<table_row> rows{{"number", "when_ms", "paths", "note"}};
    for (const json& change : *changes)
    {
        rows.push_back({to_cell(change, "number"), to_cell(change, "when"),
                        to_cell(change, "paths"), to_cell(change, "note")});
    }
    print_table(rows);
    return exit_code::success;
}

/// Prints as a JSON Patch what a merge patch would change, without applying it.
int diff_config(const command_line& line)
{
    std::ifstream file(line.words[2]);
    const json patch = json::parse(file, nullptr, false, true);
    if (!file || !patch.is_object())
    {
        return report_error({error_code::invalid, "read patch", line.words[2],
                             "the file can't be read or is not a JSON object"});
    }
    const auto current = line.client.config();
    if (!current)
    {
        return report_error(current.error());
    }
    json next = current->document;
    next.merge_patch(patch);
    std::cout << json::diff(current->document, next).dump(2) << '\n';
    return exit_code::success;
}

constexpr std::array commands{
    command{"config history", "[--json]", "list the recent patches", 2, show_history},
    command{"config diff", "FILE", "show what a merge patch would change", 3,
            diff_config},
    command{"workspace list", "[--json]", "list the workspaces", 2, list_workspaces},
    command{"workspace get", "NAME", "show a workspace", 3, get_workspace},
    command{"key list", "[--json]", "list the ids of the API keys", 2, list_keys},
    command{"pool list", "[--json]", "list the pools", 2, list_pools},
    command{"pool set", "NAME [--model M]", "create or change a pool", 3, set_pool},
    command{"route list", "[--json]", "list the routes", 2, list_routes},
    command{"route set", "NAME [--prefix P] [--pool N] [--repeatable=BOOL]",
            "create or change a route", 3, set_route},
};

} // namespace

std::span<const command> section_commands() noexcept
{
    return commands;
}

} // namespace agateseam

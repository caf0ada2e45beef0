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

constexpr std::size_t column_gap = 2; // spaces

bool wants_json(const command_line& line)
{
    return line.arguments.count("json") > 0;
}

/// Prints rows in columns as wide as their widest cell; the first row is the heading.
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
            const std::size_t width = widths[column] + column_gap;
            std::cout << std::left << std::setw(static_cast<int>(width)) << row[column];
        }
        std::cout << '\n';
    }
}

std::string cell(const json& item, const char* name)
{
    const json value = item.value(name, json());
    if (value.is_null())
    {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints a section as a table with the members named, or as JSON.
int list_section(const command_line& line, const char* section,
                 const std::vector<const char*>& columns)
{
    const auto current = line.client.config();
    if (!current)
    {
        return report(current.error());
    }
    const json items = current->document.value(section, json::object());
    if (wants_json(line))
    {
        std::cout << items.dump(2) << '\n';
        return exit_code::done;
    }
    std::vector<table_row> rows{{"name"}};
    rows.front().insert(rows.front().end(), columns.begin(), columns.end());
    for (const auto& [name, item] : items.items())
    {
        table_row row{name};
        for (const char* column : columns)
        {
            row.push_back(cell(item, column));
        }
        rows.push_back(std::move(row));
    }
    print_table(rows);
    return exit_code::done;
}

int get_item(const command_line& line, const char* section)
{
    const auto current = line.client.config();
    if (!current)
    {
        return report(current.error());
    }
    const json items = current->document.value(section, json::object());
    const auto found = items.find(line.words[2]);
    if (found == items.end())
    {
        return report({error_code::not_found, "get", line.words[2], "no such name"});
    }
    std::cout << found->dump(2) << '\n';
    return exit_code::done;
}

int set_item(const command_line& line, const char* section, const json& changes)
{
    const auto against = line.against();
    if (!against)
    {
        return report(against.error());
    }
    const auto made =
        line.client.patch(*against, {{section, {{line.words[2], changes}}}});
    if (!made)
    {
        return report(made.error());
    }
    std::cout << json{{"number", made->number}}.dump() << '\n';
    return exit_code::done;
}

void copy_text(const command_line& line, const char* option, json& changes)
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
    copy_text(line, "model", changes);
    return set_item(line, "pools", changes);
}

int list_routes(const command_line& line)
{
    return list_section(line, "routes", {"prefix", "pool", "repeatable", "open"});
}

int set_route(const command_line& line)
{
    json changes = json::object();
    copy_text(line, "prefix", changes);
    copy_text(line, "pool", changes);
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
        return report(current.error());
    }
    std::vector<table_row> rows{{"workspace", "key"}};
    json listed = json::array();
    const json workspaces = current->document.value("workspaces", json::object());
    for (const auto& [name, workspace] : workspaces.items())
    {
        for (const json& key : workspace.value("keys", json::array()))
        {
            rows.push_back({name, cell(key, "id")});
            listed.push_back({{"workspace", name}, {"key", cell(key, "id")}});
        }
    }
    if (wants_json(line))
    {
        std::cout << listed.dump(2) << '\n';
        return exit_code::done;
    }
    print_table(rows);
    return exit_code::done;
}

int show_history(const command_line& line)
{
    const auto changes = line.client.history();
    if (!changes)
    {
        return report(changes.error());
    }
    if (wants_json(line))
    {
        std::cout << changes->dump(2) << '\n';
        return exit_code::done;
    }
    std::vector<table_row> rows{{"number", "when_ms", "paths", "note"}};
    for (const json& change : *changes)
    {
        rows.push_back({cell(change, "number"), cell(change, "when"),
                        cell(change, "paths"), cell(change, "note")});
    }
    print_table(rows);
    return exit_code::done;
}

/// Prints what a merge patch would change, as a JSON Patch; changes nothing.
int diff_config(const command_line& line)
{
    std::ifstream file(line.words[2]);
    const json patch = json::parse(file, nullptr, false, true);
    if (!file || !patch.is_object())
    {
        return report({error_code::invalid, "read patch", line.words[2],
                       "the file is not a readable merge patch"});
    }
    const auto current = line.client.config();
    if (!current)
    {
        return report(current.error());
    }
    json next = current->document;
    next.merge_patch(patch);
    std::cout << json::diff(current->document, next).dump(2) << '\n';
    return exit_code::done;
}

constexpr std::array commands{
    command{"config history", "[--json]", "list the recent patches", 2, show_history},
    command{"config diff", "FILE", "show what a merge patch would change", 3,
            diff_config},
    command{"workspace list", "[--json]", "list the workspaces", 2, list_workspaces},
    command{"workspace get", "NAME", "show a workspace", 3, get_workspace},
    command{"key list", "[--json]", "list the keys' ids", 2, list_keys},
    command{"pool list", "[--json]", "list the pools", 2, list_pools},
    command{"pool set", "NAME [--model M]", "make or change a pool", 3, set_pool},
    command{"route list", "[--json]", "list the routes", 2, list_routes},
    command{"route set", "NAME [--prefix P] [--pool N] [--repeatable=BOOL]",
            "make or change a route", 3, set_route},
};

} // namespace

std::span<const command> section_commands() noexcept
{
    return commands;
}

} // namespace agateseam

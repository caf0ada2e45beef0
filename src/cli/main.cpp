/// The command line program for operators.
#include <array>
#include <cstdlib>
#include <iostream>
#include <limits>

#include <easylogging++.h>

#include <agateseam/memory_budget.hpp>
#include <agateseam/version.hpp>
#include <net/log.hpp>

#include "command.hpp"

INITIALIZE_EASYLOGGINGPP

namespace agateseam
{

result<std::uint64_t> command_line::against() const
{
    if (this->arguments.count("against") > 0)
    {
        return this->arguments["against"].as<std::uint64_t>();
    }
    const auto current = this->client.config();
    if (!current)
    {
        return tl::unexpected<error>(current.error());
    }
    return current->number;
}

int report_error(const error& failure)
{
    std::cerr << failure.to_string() << '\n';
    return failure.code == error_code::conflict ? exit_code::conflict
                                                : exit_code::failure;
}

} // namespace agateseam

namespace
{

using namespace agateseam;

/// Returns the commands of all groups, in the order in which the help lists them.
std::vector<command> all_commands()
{
    std::vector<command> commands;
    for (const std::span<const command> group :
         {config_commands(), section_commands(), usage_commands(), status_commands(),
          timeline_commands(), explain_commands(), evacuation_commands()})
    {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

void print_help(std::ostream& stream)
{
    stream << "usage: agateseam [--entry URL] [--token TOKEN] COMMAND\n\n";
    for (const command& item : all_commands())
    {
        stream << "  " << item.name << ' ' << item.arguments << "\n      " << item.summary
               << '\n';
    }
    stream
        << "\nWithout --against, a patch is based on the current configuration number.\n"
           "AGATESEAM_ENTRY and AGATESEAM_TOKEN are used without --entry and --token.\n"
           "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another "
           "change.\n";
}

bool starts_with_name(const std::vector<std::string>& words, std::string_view name)
{
    std::string joined;
    for (const std::string& word : words)
    {
        joined += (joined.empty() ? "" : " ") + word;
        if (joined == name)
        {
            return true;
        }
    }
    return false;
}

int dispatch(const command_line& line)
{
    for (const command& item : all_commands())
    {
        if (starts_with_name(line.words, item.name) &&
            line.words.size() >= item.min_words)
        {
            return item.run(line);
        }
    }
    print_help(std::cerr);
    return exit_code::usage;
}

std::string option_or_environment(const cxxopts::ParseResult& arguments,
                                  const char* option, const char* variable)
{
    if (arguments.count(option) > 0)
    {
        return arguments[option].as<std::string>();
    }
    const char* value = std::getenv(variable);
    return value != nullptr ? value : "";
}

cxxopts::Options make_options()
{
    cxxopts::Options options("agateseam");
    auto add = options.add_options();
    add("entry", "", cxxopts::value<std::string>());
    add("token", "", cxxopts::value<std::string>());
    add("against", "", cxxopts::value<std::uint64_t>());
    add("rate", "", cxxopts::value<double>());
    add("burst", "", cxxopts::value<double>());
    add("weight", "", cxxopts::value<double>());
    for (const char* name :
         {"month", "workspace", "request", "vm", "history", "store", "prices"})
    {
        add(name, "", cxxopts::value<std::string>());
    }
    add("since", "", cxxopts::value<double>());
    add("rounds", "", cxxopts::value<int>());
    add("file", "", cxxopts::value<std::vector<std::string>>());
    add("json", "");
    add("csv", "");
    add("html", "");
    add("note", "", cxxopts::value<std::string>());
    add("model", "", cxxopts::value<std::string>());
    add("prefix", "", cxxopts::value<std::string>());
    add("pool", "", cxxopts::value<std::string>());
    add("repeatable", "", cxxopts::value<bool>());
    add("help", "");
    add("version", "");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

int run(int argc, char** argv)
{
    const auto arguments = make_options().parse(argc, argv);
    // Standard output is for what a command prints, which programs may read.
    start_log("agateseam", log_level::warning, STDERR_FILENO);
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    process_memory_budget().set_limits(unlimited, unlimited);
    if (arguments.count("help") > 0)
    {
        print_help(std::cout);
        return exit_code::success;
    }
    if (arguments.count("version") > 0)
    {
        std::cout << "agateseam " AGATESEAM_VERSION "\n";
        return exit_code::success;
    }
    auto client = operator_client::create(
        option_or_environment(arguments, "entry", "AGATESEAM_ENTRY"),
        option_or_environment(arguments, "token", "AGATESEAM_TOKEN"));
    if (!client)
    {
        return report_error(client.error());
    }
    std::vector<std::string> words;
    if (arguments.count("words") > 0)
    {
        words = arguments["words"].as<std::vector<std::string>>();
    }
    return dispatch({std::move(*client), arguments, std::move(words)});
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << '\n';
        return exit_code::usage;
    }
}

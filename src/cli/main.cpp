/// The operators' command line.
#include <array>
#include <cstdlib>
#include <iostream>

#include <easylogging++.h>

#include <agateseam/version.hpp>

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

int report(const error& fault)
{
    std::cerr << fault.to_string() << '\n';
    return fault.code == error_code::conflict ? exit_code::conflict : exit_code::fault;
}

} // namespace agateseam

namespace
{

using namespace agateseam;

/// Every group of commands, in the order of the help.
std::vector<command> all_commands()
{
    std::vector<command> all;
    for (const std::span<const command> group :
         {config_commands(), section_commands(), usage_commands(), status_commands(),
          timeline_commands(), explain_commands()})
    {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

void print_help(std::ostream& out)
{
    out << "usage: agateseam [--entry URL] [--token TOKEN] COMMAND\n\n";
    for (const command& known : all_commands())
    {
        out << "  " << known.name << ' ' << known.arguments << "\n      " << known.brief
            << '\n';
    }
    out << "\nWithout --against a patch is made against the number read just before.\n"
           "The entry and the token may stand in AGATESEAM_ENTRY and AGATESEAM_TOKEN.\n"
           "Exit codes: 0 done, 1 fault, 2 bad usage, 3 conflict with another change.\n";
}

bool begins_with(const std::vector<std::string>& words, std::string_view name)
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
    for (const command& known : all_commands())
    {
        if (begins_with(line.words, known.name) && line.words.size() >= known.least_words)
        {
            return known.run(line);
        }
    }
    print_help(std::cerr);
    return exit_code::usage;
}

std::string setting(const cxxopts::ParseResult& arguments, const char* option,
                    const char* variable)
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
    if (arguments.count("help") > 0)
    {
        print_help(std::cout);
        return exit_code::done;
    }
    if (arguments.count("version") > 0)
    {
        std::cout << "agateseam " AGATESEAM_VERSION "\n";
        return exit_code::done;
    }
    auto client = operator_client::create(setting(arguments, "entry", "AGATESEAM_ENTRY"),
                                          setting(arguments, "token", "AGATESEAM_TOKEN"));
    if (!client)
    {
        return report(client.error());
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
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return exit_code::usage;
    }
}

/// The operators' command line.
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>
#include <easylogging++.h>

#include <agateseam/api_key.hpp>
#include <agateseam/version.hpp>

#include "operator_client.hpp"

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
using json = nlohmann::json;

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;

constexpr std::string_view usage =
    R"(usage: agateseam [--entry URL] [--token TOKEN] COMMAND

  config get                          print the configuration and its number
  config patch FILE [--against N]     apply a JSON merge patch
  workspace set NAME --rate R --burst B [--weight W]
  key create WORKSPACE                make a key; it is shown once
  key withdraw WORKSPACE KEY_ID       withdraw a key

Without --against a patch is made against the number read just before.
The entry and the token may stand in AGATESEAM_ENTRY and AGATESEAM_TOKEN.
Exit codes: 0 done, 1 fault, 2 bad usage, 3 conflict with another change.
)";

int report(const error& fault)
{
    std::cerr << fault.to_string() << '\n';
    return fault.code == error_code::conflict ? exit_conflict : exit_fault;
}

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

/// What every command works with.
struct command_line
{
    operator_client client;
    cxxopts::ParseResult arguments;
    std::vector<std::string> words;

    [[nodiscard]] result<std::uint64_t> against() const
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
};

int apply(const command_line& line, const json& patch)
{
    const auto against = line.against();
    return against ? print(line.client.patch(*against, patch)) : report(against.error());
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
    const auto key = make_api_key();
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

int dispatch(const command_line& line)
{
    const std::vector<std::string>& words = line.words;
    const std::string command =
        words.size() < 2 ? std::string{} : words[0] + " " + words[1];
    if (command == "config get")
    {
        return print(line.client.config());
    }
    if (command == "config patch" && words.size() == 3)
    {
        return patch_config(line);
    }
    if (command == "workspace set" && words.size() == 3)
    {
        return set_workspace(line);
    }
    if (command == "key create" && words.size() == 3)
    {
        return create_key(line);
    }
    if (command == "key withdraw" && words.size() == 4)
    {
        return withdraw_key(line);
    }
    std::cerr << usage;
    return exit_usage;
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

int run(int argc, char** argv)
{
    cxxopts::Options options("agateseam");
    options.add_options()("entry", "", cxxopts::value<std::string>())(
        "token", "", cxxopts::value<std::string>())("against", "",
                                                    cxxopts::value<std::uint64_t>())(
        "rate", "", cxxopts::value<double>())("burst", "", cxxopts::value<double>())(
        "weight", "", cxxopts::value<double>())("help", "")("version", "")(
        "words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << usage;
        return 0;
    }
    if (arguments.count("version") > 0)
    {
        std::cout << "agateseam " AGATESEAM_VERSION "\n";
        return 0;
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
        return exit_usage;
    }
}

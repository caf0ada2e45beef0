/// Declarations shared by all commands of the command line: the command table, the parsed
/// arguments and the exit codes.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

#include "operator_client.hpp"

namespace agateseam
{

/// Exit codes of the command line.
namespace exit_code
{
inline constexpr int success = 0;
inline constexpr int failure = 1;
inline constexpr int usage = 2;
inline constexpr int conflict = 3;
} // namespace exit_code

/// \brief The parsed command line that a command is called with.
struct command_line
{
    operator_client client;
    cxxopts::ParseResult arguments; ///< The options; any command may take them.
    std::vector<std::string> words; ///< All positional words, with the name.

    /// \brief Returns the configuration number that a patch is based on: the value of
    /// --against, or else the number of the current configuration.
    [[nodiscard]] result<std::uint64_t> against() const;

    /// \brief Returns an option's text, or an empty string when the option was not given.
    [[nodiscard]] std::string option(const char* name) const
    {
        return this->arguments.count(name) > 0 ? this->arguments[name].as<std::string>()
                                               : std::string();
    }

    /// \brief Tells whether an option was given.
    [[nodiscard]] bool has(const char* name) const
    {
        return this->arguments.count(name) > 0;
    }
};

/// \brief One command: its name, its help text and the function that runs it.
struct command
{
    std::string_view name;      ///< Such as "config get".
    std::string_view arguments; ///< Shown in the help, such as "NAME --rate R".
    std::string_view summary;   ///< One line, shown in the help.
    std::size_t min_words;      ///< Required positional words, with those of the name.
    int (*run)(const command_line& line);
};

/// \brief Commands that read and patch the configuration, and that change workspaces and
/// API keys.
[[nodiscard]] std::span<const command> config_commands() noexcept;

/// \brief Commands that show usage with its cost and forecast the cost of a month.
[[nodiscard]] std::span<const command> usage_commands() noexcept;

/// \brief Commands that show the state of the processes and drain an agent.
[[nodiscard]] std::span<const command> status_commands() noexcept;

/// \brief The command that shows the events of all processes as one timeline.
[[nodiscard]] std::span<const command> timeline_commands() noexcept;

/// \brief The command that explains a request's outcome from the entries' logs.
[[nodiscard]] std::span<const command> explain_commands() noexcept;

/// \brief The command that lists the evacuated failure domains.
[[nodiscard]] std::span<const command> evacuation_commands() noexcept;

/// \brief Commands that list, show and change sections of the configuration, show its
/// history, and preview what a patch would change.
[[nodiscard]] std::span<const command> section_commands() noexcept;

/// \brief Prints an error and returns the exit code for it.
int report_error(const error& failure);

} // namespace agateseam

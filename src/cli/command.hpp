/// What the command line's commands share: their table, their arguments, their exit
/// codes.
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
inline constexpr int done = 0;
inline constexpr int fault = 1;
inline constexpr int usage = 2;
inline constexpr int conflict = 3;
} // namespace exit_code

/// \brief What a command was called with.
struct command_line
{
    operator_client client;
    cxxopts::ParseResult arguments; ///< Options that any command may take.
    std::vector<std::string> words; ///< All positional words, the command's own first.

    /// \brief Returns the number that a patch is made against: --against, or the current.
    [[nodiscard]] result<std::uint64_t> against() const;

    /// \brief Returns an option's text; empty when it was not given.
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

/// \brief One command: its words, its place in the help, and what it does.
struct command
{
    std::string_view name;      ///< Such as "config get".
    std::string_view arguments; ///< Such as "NAME --rate R"; for the help.
    std::string_view brief;     ///< One line for the help.
    std::size_t least_words;    ///< Positional words, the name's own included.
    int (*run)(const command_line& line);
};

/// \brief Commands on the configuration: workspaces, keys, pools, routes.
[[nodiscard]] std::span<const command> config_commands() noexcept;

/// \brief Commands on money: usage and its forecast.
[[nodiscard]] std::span<const command> usage_commands() noexcept;

/// \brief Commands on processes: what they are and what they do.
[[nodiscard]] std::span<const command> status_commands() noexcept;

/// \brief The time line of events over all processes.
[[nodiscard]] std::span<const command> timeline_commands() noexcept;

/// \brief One request's story out of logs.
[[nodiscard]] std::span<const command> explain_commands() noexcept;

/// \brief Commands that list and show sections of the configuration, its history, and
/// what a patch would change.
[[nodiscard]] std::span<const command> section_commands() noexcept;

/// \brief Prints an error; returns the exit code that goes with it.
int report(const error& fault);

} // namespace agateseam

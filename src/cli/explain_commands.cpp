#include "command.hpp"

#include <array>
#include <fstream>
#include <iostream>

#include <agateseam/request_explanation.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t first_file_index = 2; // after "explain" and the request's id

void add_lines(std::istream& stream, request_explainer& explainer)
{
    std::string line;
    while (std::getline(stream, line))
    {
        explainer.add_line(line);
    }
}

result<request_explanation> explain_from_logs(const command_line& line)
{
    request_explainer explainer(line.words[1]);
    for (std::size_t index = first_file_index; index < line.words.size(); ++index)
    {
        std::ifstream file(line.words[index]);
        if (!file)
        {
            return fail(error_code::not_found, "read log", line.words[index],
                        "the file cannot be read");
        }
        add_lines(file, explainer);
    }
    if (line.words.size() == first_file_index)
    {
        add_lines(std::cin, explainer);
    }
    return explainer.explain();
}

void print_json(const request_explanation& explanation)
{
    nlohmann::ordered_json lines = nlohmann::ordered_json::array();
    for (const request_log_line& line : explanation.lines)
    {
        lines.push_back(line.fields);
    }
    const nlohmann::ordered_json document{{"request", explanation.request},
                                          {"outcome", explanation.outcome},
                                          {"cause", explanation.cause},
                                          {"lines_missing", explanation.lines_missing},
                                          {"lines", lines}};
    std::cout << document.dump(2) << '\n';
}

int explain(const command_line& line)
{
    const auto explanation = explain_from_logs(line);
    if (!explanation)
    {
        return report_error(explanation.error());
    }
    if (line.has("json"))
    {
        print_json(*explanation);
        return exit_code::success;
    }
    const std::int64_t origin = explanation->lines.front().time_us;
    for (const request_log_line& log_line : explanation->lines)
    {
        std::cout << to_text(log_line, origin) << '\n';
    }
    if (explanation->lines_missing > 0)
    {
        std::cout << explanation->lines_missing
                  << " lines were left out of the logs in this period\n";
    }
    std::cout << "outcome: "
              << (explanation->outcome.empty() ? "unknown" : explanation->outcome)
              << "\ncause: " << explanation->cause << '\n';
    return exit_code::success;
}

constexpr std::array commands{
    command{"explain", "REQUEST-ID [FILE...] [--json]",
            "show a request's outcome and its cause, from the entries' logs (files, or "
            "standard input)",
            2, explain},
};

} // namespace

std::span<const command> explain_commands() noexcept
{
    return commands;
}

} // namespace agateseam

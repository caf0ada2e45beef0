#include "command.hpp"

#include <array>
#include <fstream>
#include <iostream>

#include <agateseam/request_story.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t first_file = 2; // words before it: explain, the request's id

void read_lines(std::istream& text, request_explainer& reader)
{
    std::string line;
    while (std::getline(text, line))
    {
        reader.add_line(line);
    }
}

result<request_explanation> read_story(const command_line& line)
{
    request_explainer reader(line.words[1]);
    for (std::size_t at = first_file; at < line.words.size(); ++at)
    {
        std::ifstream file(line.words[at]);
        if (!file)
        {
            return fail(error_code::not_found, "read log", line.words[at],
                        "the file cannot be read");
        }
        read_lines(file, reader);
    }
    if (line.words.size() == first_file)
    {
        read_lines(std::cin, reader);
    }
    return reader.explain();
}

void print_json(const request_explanation& story)
{
    nlohmann::ordered_json lines = nlohmann::ordered_json::array();
    for (const request_log_line& line : story.lines)
    {
        lines.push_back(line.fields);
    }
    const nlohmann::ordered_json document{{"request", story.request},
                                          {"outcome", story.outcome},
                                          {"cause", story.cause},
                                          {"lines_missing", story.lines_missing},
                                          {"lines", lines}};
    std::cout << document.dump(2) << '\n';
}

int explain(const command_line& line)
{
    const auto story = read_story(line);
    if (!story)
    {
        return report(story.error());
    }
    if (line.has("json"))
    {
        print_json(*story);
        return exit_code::done;
    }
    const std::int64_t origin = story->lines.front().time_us;
    for (const request_log_line& item : story->lines)
    {
        std::cout << to_text(item, origin) << '\n';
    }
    if (story->lines_missing > 0)
    {
        std::cout << story->lines_missing << " lines were left out meanwhile\n";
    }
    std::cout << "outcome: " << (story->outcome.empty() ? "unknown" : story->outcome)
              << "\ncause: " << story->cause << '\n';
    return exit_code::done;
}

constexpr std::array commands{
    command{"explain", "REQUEST-ID [FILE...] [--json]",
            "tell what became of a request and why, from the entries' logs (files, or "
            "standard input)",
            2, explain},
};

} // namespace

std::span<const command> explain_commands() noexcept
{
    return commands;
}

} // namespace agateseam

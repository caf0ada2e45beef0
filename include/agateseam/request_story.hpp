/// What became of one request, told from the logs of several processes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief One line of a story.
struct story_line
{
    std::int64_t time_us = 0; ///< By the writing process's time of day, since 1970.
    std::string process;
    bool own = false; ///< Names the request; others tell what its process saw meanwhile.
    nlohmann::ordered_json fields; ///< The whole line as it was logged.
};

/// \brief A request's lines in causal order, and why it ended as it did.
struct request_story
{
    std::string request;
    std::string outcome; ///< As logged; empty when its last line is missing.
    std::string cause;   ///< One sentence.
    std::vector<story_line> lines;
    std::uint64_t lines_missing = 0; ///< That its processes say they left out meanwhile.
};

/// \brief Collects log lines and tells the story of a request in them.
///
/// Within a process the order of its log is kept, also where its time of day stepped
/// back; between processes the time of day decides.
class story_reader
{
  public:
    explicit story_reader(std::string request)
        : id(std::move(request))
    {
    }

    /// \brief Takes one line; what is not a log line is passed over.
    void take(std::string_view line);

    /// \returns `not_found` when no line names the request.
    [[nodiscard]] result<request_story> tell() const;

  private:
    struct process_log
    {
        std::vector<story_line> lines;
        std::size_t first_own = 0;
        std::size_t last_own = 0;
        bool took_part = false;
    };

    [[nodiscard]] request_story merge() const;

    std::string id;
    std::map<std::string, process_log> logs; ///< By process.
};

/// \brief Returns a line for people: offset, process, event and fields.
[[nodiscard]] std::string to_text(const story_line& line, std::int64_t origin_us);

} // namespace agateseam

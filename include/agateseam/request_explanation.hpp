/// Explains the outcome of one request from the logs of several processes.
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

/// \brief One log line of an explanation.
struct request_log_line
{
    std::int64_t time_us = 0; ///< By the writing process's wall clock, since 1970.
    std::string process;
    bool names_request = false; ///< Whether it carries the request's id; the other lines
                                ///< are context from the same process.
    nlohmann::ordered_json fields; ///< All fields of the line as logged.
};

/// \brief A request's log lines in causal order and the cause of its outcome.
struct request_explanation
{
    std::string request;
    std::string outcome; ///< As logged; empty if the request's last line is missing.
    std::string cause;   ///< Why the request had this outcome, in one sentence.
    std::vector<request_log_line> lines;
    std::uint64_t lines_missing = 0; ///< Lines that its processes logged as left out.
};

/// \brief Collects log lines and explains one request's outcome from them.
///
/// Lines of one process keep the order of its log, even if its wall clock stepped back;
/// lines of different processes are ordered by wall clock.
class request_explainer
{
  public:
    explicit request_explainer(std::string id)
        : request(std::move(id))
    {
    }

    /// \brief Adds one line; a text that is not a log line is ignored.
    void add_line(std::string_view line);

    /// \brief Returns the explanation; `not_found` if no line carries the request's id.
    [[nodiscard]] result<request_explanation> explain() const;

  private:
    struct process_log
    {
        std::vector<request_log_line> lines;
        /// The indices of the first and the last line with the request's id.
        std::size_t first_request_line = 0;
        std::size_t last_request_line = 0;
        bool has_request_lines = false;
    };

    [[nodiscard]] request_explanation merge_logs() const;

    std::string request;                     ///< The id of the request to explain.
    std::map<std::string, process_log> logs; ///< By process.
};

/// \brief Formats a line for display: offset from the origin, process, event and fields.
[[nodiscard]] std::string to_text(const request_log_line& line, std::int64_t origin_us);

} // namespace agateseam

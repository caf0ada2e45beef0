/// Writes logs as JSON lines to standard output, with easylogging++.
///
/// Logging never blocks: a line is dropped when the reader of standard output doesn't
/// keep up or the line is longer than a pipe takes at once (counted in `unread`), or when
/// its event exceeds its rate limit (counted in `left_out`). The counts stand in the next
/// line that is written. Texts of over 1,024 bytes are cut.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include <unistd.h>

#include <agateseam/error.hpp>

namespace agateseam
{

/// The severity of a line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// \brief One field of a line. Must not contain an API key, a prompt or the text of an
/// answer.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// \brief Sets up the logger once per process.
/// \param process the process name in each line.
/// \param minimum_level lines below this level are not written.
/// \param descriptor that lines are written to.
void start_log(std::string_view process, log_level minimum_level,
               int descriptor = STDOUT_FILENO);

/// \brief Writes one line with the time, the level, the process, the event and the given
/// fields.
void log_line(log_level level, std::string_view event,
              std::initializer_list<log_field> fields = {});

/// \brief Writes a line of level `error` with the step, peer, code and description of
/// `fault`.
void log_error(std::string_view event, const error& fault,
               std::initializer_list<log_field> fields = {});

} // namespace agateseam

#include <net/log.hpp>

#include <atomic>
#include <chrono>
#include <climits>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace agateseam
{

namespace
{

std::string process_name;
std::atomic<log_level> minimum_log_level{log_level::info};

std::string_view level_name(log_level level) noexcept
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

nlohmann::ordered_json start_line(log_level level, std::string_view event)
{
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    nlohmann::ordered_json line;
    line["time_us"] = now.count();
    line["level"] = level_name(level);
    line["process"] = process_name;
    line["event"] = event;
    return line;
}

/// Rate and burst limits of the lines of each event. An entry under load logs some tens
/// of requests a second.
constexpr double max_lines_per_second = 300;
constexpr double max_burst_lines = 600;

/// Limits the rate of lines of each event and counts the lines that were left out.
class line_rate_limiter
{
  public:
    /// Counts one line against the rate limit of the event.
    /// \returns how many lines of the event were left out before this one, or nothing if
    /// this one must be left out too.
    std::optional<std::uint64_t> take(std::string_view event)
    {
        const std::scoped_lock lock(this->mutex);
        const auto now = std::chrono::steady_clock::now();
        auto found = this->buckets.find(event);
        if (found == this->buckets.end())
        {
            found =
                this->buckets.emplace(std::string(event), bucket{max_burst_lines, now, 0})
                    .first;
        }
        bucket& event_bucket = found->second;
        const std::chrono::duration<double> elapsed = now - event_bucket.filled_at;
        event_bucket.available_lines =
            std::min(max_burst_lines, event_bucket.available_lines +
                                          elapsed.count() * max_lines_per_second);
        event_bucket.filled_at = now;
        if (event_bucket.available_lines < 1)
        {
            ++event_bucket.left_out;
            return std::nullopt;
        }
        event_bucket.available_lines -= 1;
        return std::exchange(event_bucket.left_out, 0);
    }

  private:
    struct bucket
    {
        double available_lines; ///< Lines that may be logged at once.
        std::chrono::steady_clock::time_point filled_at;
        std::uint64_t left_out; ///< Lines left out since the last one logged.
    };

    std::mutex mutex;
    std::map<std::string, bucket, std::less<>> buckets;
};

line_rate_limiter rate_limiter;
/// Lines dropped because standard output was not ready, since the last line logged.
std::atomic<std::uint64_t> unread_lines{0};

/// A longer text is cut. Some come from callers, such as a request's id.
constexpr std::size_t max_text_bytes = 1'024;

/// Where lines are written to.
std::atomic<int> log_descriptor{STDOUT_FILENO};

/// Writes a line unless that would block, because a stuck reader must not delay requests.
class non_blocking_output final : public el::LogDispatchCallback
{
  protected:
    void handle(const el::LogDispatchData* data) noexcept override
    {
        const el::LogMessage* message = data->logMessage();
        const std::string line = message->logger()->logBuilder()->build(message, true);
        const int descriptor = log_descriptor;
        pollfd output{descriptor, POLLOUT, 0};
        // A pipe that poll reports as ready accepts a complete line of up to PIPE_BUF
        // bytes. The write of a longer one could block.
        const bool ready = line.size() <= PIPE_BUF && ::poll(&output, 1, 0) == 1 &&
                           (output.revents & POLLOUT) != 0;
        if (!ready || ::write(descriptor, line.data(), line.size()) < 0)
        {
            unread_lines.fetch_add(1, std::memory_order_relaxed);
        }
    }
};

void add_fields(nlohmann::ordered_json& line, std::initializer_list<log_field> fields)
{
    for (const log_field& field : fields)
    {
        const auto* const text = std::get_if<std::string_view>(&field.value);
        if (text != nullptr)
        {
            line[std::string(field.name)] = text->substr(0, max_text_bytes);
            continue;
        }
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; },
                   field.value);
    }
}

/// Adds the numbers of lines that were dropped: over the rate limit of the event, or not
/// read where they are written to.
void add_dropped_counts(nlohmann::ordered_json& line, std::uint64_t left_out)
{
    if (left_out > 0)
    {
        line["left_out"] = left_out;
    }
    const std::uint64_t unread = unread_lines.exchange(0, std::memory_order_relaxed);
    if (unread > 0)
    {
        line["unread"] = unread;
    }
}

void write(log_level level, const nlohmann::ordered_json& line)
{
    constexpr auto replace = nlohmann::ordered_json::error_handler_t::replace;
    const std::string text = line.dump(-1, ' ', false, replace);
    if (level == log_level::error)
    {
        LOG(ERROR) << text;
    }
    else if (level == log_level::warning)
    {
        LOG(WARNING) << text;
    }
    else
    {
        LOG(INFO) << text;
    }
}

} // namespace

void start_log(std::string_view process, log_level minimum_level, int descriptor)
{
    process_name = process;
    log_descriptor = descriptor;
    minimum_log_level = minimum_level;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", settings);
    el::Helpers::installLogDispatchCallback<non_blocking_output>("non_blocking_output");
}

void log_line(log_level level, std::string_view event,
              std::initializer_list<log_field> fields)
{
    if (level < minimum_log_level.load(std::memory_order_relaxed))
    {
        return;
    }
    const auto left_out = rate_limiter.take(event);
    if (!left_out)
    {
        return;
    }
    nlohmann::ordered_json line = start_line(level, event);
    add_fields(line, fields);
    add_dropped_counts(line, *left_out);
    write(level, line);
}

void log_error(std::string_view event, const error& fault,
               std::initializer_list<log_field> fields)
{
    const auto left_out = rate_limiter.take(event);
    if (!left_out)
    {
        return;
    }
    nlohmann::ordered_json line = start_line(log_level::error, event);
    line["step"] = fault.step;
    line["peer"] = fault.peer.substr(0, max_text_bytes);
    line["code"] = to_string(fault.code);
    line["description"] = fault.description.substr(0, max_text_bytes);
    add_fields(line, fields);
    add_dropped_counts(line, *left_out);
    write(log_level::error, line);
}

} // namespace agateseam

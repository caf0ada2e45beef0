#include <net/log.hpp>

#include <atomic>
#include <chrono>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

std::string process_name;
std::atomic<log_level> least_level{log_level::info};

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

void add_fields(nlohmann::ordered_json& line, std::initializer_list<log_field> fields)
{
    for (const log_field& field : fields)
    {
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; },
                   field.value);
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

void start_log(std::string_view process, log_level least)
{
    process_name = process;
    least_level = least;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", settings);
}

void log_line(log_level level, std::string_view event,
              std::initializer_list<log_field> fields)
{
    if (level < least_level.load(std::memory_order_relaxed))
    {
        return;
    }
    nlohmann::ordered_json line = start_line(level, event);
    add_fields(line, fields);
    write(level, line);
}

void log_error(std::string_view event, const error& fault,
               std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line = start_line(log_level::error, event);
    line["step"] = fault.step;
    line["peer"] = fault.peer;
    line["code"] = to_string(fault.code);
    line["description"] = fault.description;
    add_fields(line, fields);
    write(log_level::error, line);
}

} // namespace agateseam

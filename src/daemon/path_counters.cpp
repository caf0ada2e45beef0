#include <daemon/path_counters.hpp>

#include <string_view>

namespace agateseam
{

namespace
{

void append(std::string& text, std::string_view name,
            const std::atomic<std::uint64_t>& value)
{
    text.append("# TYPE ").append(name).append(" counter\n");
    text.append(name).append(" ").append(std::to_string(value.load())).append("\n");
}

} // namespace

std::string to_text(const path_counters& counters)
{
    std::string text;
    append(text, "agateseam_retries_total", counters.retries);
    append(text, "agateseam_retries_refused_total", counters.retries_refused);
    append(text, "agateseam_resumed_total", counters.resumed);
    append(text, "agateseam_answer_events_dropped_total", counters.events_dropped);
    append(text, "agateseam_event_gaps_total", counters.event_gaps);
    append(text, "agateseam_streams_silent_total", counters.streams_silent);
    append(text, "agateseam_attempts_lost_total", counters.attempts_lost);
    return text;
}

} // namespace agateseam

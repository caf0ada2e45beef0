#include <agateseam/request_explanation.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace agateseam
{

namespace
{

using json = nlohmann::ordered_json;

/// Context lines count if they were logged at most this long before the request's first
/// line of the same process: what the process noticed then may have affected the request.
constexpr std::int64_t context_us = 3'000'000;
constexpr std::int64_t us_per_ms = 1'000;

/// Events without a request's id that change the state on which a process bases its
/// decisions.
constexpr std::array<std::string_view, 16> context_events{
    "prompt parts blocked",
    "prompt parts released",
    "platform store out of reach",
    "platform store reached again",
    "store era changed",
    "failure domain evacuated",
    "failure domain taken back",
    "configuration in force",
    "configuration behind in store",
    "configuration caught up in store",
    "settings loaded",
    "draining",
    "stopped",
    "started",
    "entry not heard any more",
    "backend servers listed"};
/// Events about one server; they are context only if the request was sent to that server.
constexpr std::array<std::string_view, 8> server_events{"backend server changed",
                                                        "backend server gone",
                                                        "server says it leaves",
                                                        "server rests",
                                                        "server is cold",
                                                        "server returns",
                                                        "server pace",
                                                        "server at full pace"};

template <typename List>
bool contains(const List& list, std::string_view text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

std::string string_field(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::int64_t integer_field(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

std::string display_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Returns the last line of the request with an event; null if there is none.
const json* last_request_event(const request_explanation& explanation,
                               std::string_view event)
{
    const json* found = nullptr;
    for (const request_log_line& line : explanation.lines)
    {
        if (line.names_request && string_field(line.fields, "event") == event)
        {
            found = &line.fields;
        }
    }
    return found;
}

std::string integer_text(const json& line, const char* name)
{
    return std::to_string(integer_field(line, name));
}

std::string over_allowance_cause(const request_explanation& explanation)
{
    const json* refusal = last_request_event(explanation, "over allowance");
    if (refusal == nullptr)
    {
        return "the workspace had spent its allowance";
    }
    return "workspace " + string_field(*refusal, "workspace") +
           " had spent its allowance: " + integer_text(*refusal, "tokens") +
           " tokens asked for, " + integer_text(*refusal, "left") + " left, enough in " +
           integer_text(*refusal, "wait_ms") + " ms; " + integer_text(*refusal, "heard") +
           " of " + integer_text(*refusal, "entries") + " entries heard each other";
}

std::string no_decode_place_cause(const request_explanation& explanation)
{
    const json* refusal = last_request_event(explanation, "no decode place");
    if (refusal == nullptr)
    {
        return "no decode server had memory for it in time";
    }
    return "no decode server had memory for it in " +
           integer_text(*refusal, "waited_ms") +
           " ms: " + integer_text(*refusal, "waiting") +
           " others waited at this entry, " + integer_text(*refusal, "servers") +
           " decode servers were known, " +
           integer_text(*refusal, "reservations_refused") + " reservations were refused";
}

/// Describes the last failed step of the request.
std::string last_failed_step(const request_explanation& explanation)
{
    for (auto line = explanation.lines.rbegin(); line != explanation.lines.rend(); ++line)
    {
        const std::string reason = string_field(line->fields, "reason");
        if (line->names_request && !reason.empty() &&
            string_field(line->fields, "event") != "request")
        {
            return string_field(line->fields, "event") + " at server " +
                   string_field(line->fields, "server") + " (" + reason + ")";
        }
    }
    return "no failed step was logged";
}

/// Describes the last event that was logged about a server outside the request's own
/// lines.
std::string server_event_note(const request_explanation& explanation,
                              const std::string& server)
{
    for (auto line = explanation.lines.rbegin(); line != explanation.lines.rend(); ++line)
    {
        if (!line->names_request && string_field(line->fields, "server") == server)
        {
            return "; the entry noted: " + string_field(line->fields, "event");
        }
    }
    return "";
}

/// Describes the request's attempts that were not sent because of an evacuation.
std::string evacuation_note(const request_explanation& explanation)
{
    int withheld = 0;
    std::string servers;
    for (const request_log_line& line : explanation.lines)
    {
        if (line.names_request &&
            string_field(line.fields, "reason") == "failure domain evacuated")
        {
            servers +=
                (withheld++ == 0 ? "" : ", ") + string_field(line.fields, "server");
        }
    }
    return withheld == 0
               ? ""
               : "; withheld because of an evacuation: " + std::to_string(withheld) +
                     " (" + servers + ")";
}

/// Describes how the pace of servers that are cold or return to service delayed the
/// request; empty if it didn't.
std::string pace_note(const request_explanation& explanation)
{
    std::int64_t waited_ms = 0;
    std::int64_t waits = 0;
    std::int64_t withheld = 0;
    for (const request_log_line& line : explanation.lines)
    {
        if (!line.names_request)
        {
            continue;
        }
        const bool is_wait = string_field(line.fields, "event") == "waited for pace";
        waits += is_wait ? 1 : 0;
        waited_ms += is_wait ? integer_field(line.fields, "waited_ms") : 0;
        withheld += string_field(line.fields, "reason") == "paced" ? 1 : 0;
    }
    std::string note;
    if (waits > 0)
    {
        note = "; it waited " + std::to_string(waited_ms) +
               " ms for the pace of servers that were cold or returned to service";
    }
    if (withheld > 0)
    {
        note += "; attempts withheld, as other requests had used up the server's pace: " +
                std::to_string(withheld);
    }
    return note;
}

std::string cause_of(const request_explanation& explanation, const json* end)
{
    if (const json* cut = last_request_event(explanation, "request cut by the stop");
        end == nullptr && cut != nullptr)
    {
        return "the process stopped while it waited for its " +
               string_field(*cut, "step") + ", " + integer_text(*cut, "took_ms") +
               " ms after it had arrived; it arrived " +
               integer_text(*cut, "since_stop_ms") + " ms into the stop";
    }
    if (end == nullptr)
    {
        return "its last line is missing: the process ended first, or the line was left "
               "out";
    }
    const std::string& outcome = explanation.outcome;
    const std::string server = string_field(*end, "server");
    if (outcome == "answered")
    {
        return "answered by server " + server + " in " + integer_text(*end, "took_ms") +
               " ms, after " + integer_text(*end, "waited_ms") + " ms of waiting" +
               pace_note(explanation);
    }
    if (outcome == "over_allowance")
    {
        return over_allowance_cause(explanation);
    }
    if (outcome == "no_decode_place" || outcome == "no_server_large_enough")
    {
        return no_decode_place_cause(explanation) + pace_note(explanation);
    }
    if (outcome == "servers_rest")
    {
        const json* refusal = last_request_event(explanation, "all servers rest");
        return "all servers of its service had asked for a rest" +
               (refusal == nullptr ? std::string()
                                   : "; the first one ended " +
                                         integer_text(*refusal, "rest_ms") + " ms later");
    }
    if (outcome == "no_server_in_region")
    {
        return "no server of its service is listed in a region where its route and "
               "workspace let it run";
    }
    if (outcome == "prompt_part_blocked")
    {
        return "its prompt has parts that crashed servers, by the entries' joint "
               "evidence "
               "(\"prompt parts blocked\", \"server lost before answer\")";
    }
    if (outcome == "no_server")
    {
        return "no server could be given it: " + last_failed_step(explanation) +
               pace_note(explanation);
    }
    if (outcome == "answer_lost" || outcome == "no_answer_in_time")
    {
        return "it was sent and no whole answer came, so it may have run: " +
               last_failed_step(explanation) + server_event_note(explanation, server);
    }
    if (outcome == "stream_cut" || outcome == "cut_at_timeout")
    {
        return "its stream ended early: " + last_failed_step(explanation) +
               server_event_note(explanation, server);
    }
    if (outcome == "server_failed")
    {
        return "server " + server + " ran it and answered with its own failure";
    }
    if (outcome == "overloaded")
    {
        return "no server had it when the entry refused it, because it held too much for "
               "its memory or its descriptors";
    }
    if (outcome == "broken_off")
    {
        return "the entry closed its connection, because it held too much for its memory "
               "or its descriptors, or because the caller sent too far ahead";
    }
    if (outcome == "caller_gone")
    {
        return "the caller closed its connection after " + integer_text(*end, "took_ms") +
               " ms";
    }
    return "the entry refused it: " + outcome;
}

} // namespace

void request_explainer::add_line(std::string_view line)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || string_field(parsed, "event").empty())
    {
        return;
    }
    request_log_line added_line;
    added_line.time_us = integer_field(parsed, "time_us");
    added_line.process = string_field(parsed, "process");
    added_line.names_request = string_field(parsed, "request") == this->request;
    added_line.fields = parsed;
    const bool other_request = !added_line.names_request && parsed.contains("request");
    const bool reports_missing_lines =
        parsed.contains("left_out") || parsed.contains("unread");
    if (other_request && !reports_missing_lines)
    {
        return;
    }
    process_log& log = this->logs[added_line.process];
    if (added_line.names_request)
    {
        log.first_request_line =
            log.has_request_lines ? log.first_request_line : log.lines.size();
        log.last_request_line = log.lines.size();
        log.has_request_lines = true;
    }
    log.lines.push_back(std::move(added_line));
}

request_explanation request_explainer::merge_logs() const
{
    request_explanation explanation;
    explanation.request = this->request;
    std::set<std::string> servers;
    for (const auto& [name, log] : this->logs)
    {
        for (const request_log_line& line : log.lines)
        {
            if (line.names_request)
            {
                servers.insert(string_field(line.fields, "server"));
            }
        }
    }
    struct log_cursor
    {
        const process_log* log;
        std::size_t position;
    };
    std::vector<log_cursor> cursors;
    for (const auto& [name, log] : this->logs)
    {
        if (log.has_request_lines)
        {
            cursors.push_back({&log, 0});
        }
    }
    for (;;)
    {
        log_cursor* next = nullptr;
        for (log_cursor& candidate : cursors)
        {
            const bool has_lines = candidate.position <= candidate.log->last_request_line;
            if (has_lines &&
                (next == nullptr || candidate.log->lines[candidate.position].time_us <
                                        next->log->lines[next->position].time_us))
            {
                next = &candidate;
            }
        }
        if (next == nullptr)
        {
            return explanation;
        }
        const request_log_line& line = next->log->lines[next->position];
        const request_log_line& request_line =
            next->log->lines[next->log->first_request_line];
        const bool within_context = line.time_us >= request_line.time_us - context_us;
        const std::string event = string_field(line.fields, "event");
        const bool is_context = contains(context_events, event) ||
                                (contains(server_events, event) &&
                                 servers.contains(string_field(line.fields, "server")));
        if (within_context)
        {
            explanation.lines_missing +=
                static_cast<std::uint64_t>(integer_field(line.fields, "left_out") +
                                           integer_field(line.fields, "unread"));
        }
        if (line.names_request || (within_context && is_context))
        {
            explanation.lines.push_back(line);
        }
        ++next->position;
    }
}

result<request_explanation> request_explainer::explain() const
{
    request_explanation explanation = this->merge_logs();
    if (explanation.lines.empty())
    {
        return fail(error_code::not_found, "explain", this->request,
                    "no line of these logs names the request");
    }
    const json* end = last_request_event(explanation, "request");
    explanation.outcome = end == nullptr ? "" : string_field(*end, "outcome");
    explanation.cause = cause_of(explanation, end) + evacuation_note(explanation);
    return explanation;
}

std::string to_text(const request_log_line& line, std::int64_t origin_us)
{
    std::array<char, 64> offset{};
    const double ms =
        static_cast<double>(line.time_us - origin_us) / static_cast<double>(us_per_ms);
    std::snprintf(offset.data(), offset.size(), "%10.1f ms  ", ms);
    std::string text = offset.data() + line.process + "  ";
    text += string_field(line.fields, "event");
    for (const auto& [name, value] : line.fields.items())
    {
        const bool is_prefix_field = name == "time_us" || name == "level" ||
                                     name == "process" || name == "event" ||
                                     name == "request";
        if (!is_prefix_field &&
            !(value.is_string() && value.get_ref<const std::string&>().empty()))
        {
            text += " " + name + "=" + display_text(value);
        }
    }
    return text;
}

} // namespace agateseam

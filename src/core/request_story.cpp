#include <agateseam/request_story.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace agateseam
{

namespace
{

using json = nlohmann::ordered_json;

/// What its process noticed so long before the request may have decided about it.
constexpr std::int64_t context_us = 3'000'000;
constexpr std::int64_t us_a_ms = 1'000;

/// Lines without a request's id that change what a process believes.
constexpr std::array<std::string_view, 9> context_events{"platform store out of reach",
                                                         "platform store reached again",
                                                         "configuration in force",
                                                         "settings loaded",
                                                         "draining",
                                                         "stopped",
                                                         "started",
                                                         "entry not heard any more",
                                                         "backend servers listed"};
/// The same about one server; told if the request went there.
constexpr std::array<std::string_view, 2> server_events{"backend server changed",
                                                        "backend server gone"};

template <typename List>
bool contains(const List& list, std::string_view text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

std::string text_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::int64_t whole_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

std::string shown(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Returns the last of the request's own lines with an event, or null.
const json* last_line(const request_story& story, std::string_view event)
{
    const json* found = nullptr;
    for (const story_line& line : story.lines)
    {
        if (line.own && text_of(line.fields, "event") == event)
        {
            found = &line.fields;
        }
    }
    return found;
}

std::string number_text(const json& line, const char* name)
{
    return std::to_string(whole_of(line, name));
}

std::string why_over_allowance(const request_story& story)
{
    const json* refusal = last_line(story, "over allowance");
    if (refusal == nullptr)
    {
        return "the workspace had spent its allowance";
    }
    return "workspace " + text_of(*refusal, "workspace") +
           " had spent its allowance: " + number_text(*refusal, "tokens") +
           " tokens asked for, " + number_text(*refusal, "left") + " left, enough in " +
           number_text(*refusal, "wait_ms") + " ms; " + number_text(*refusal, "heard") +
           " of " + number_text(*refusal, "entries") + " entries heard each other";
}

std::string why_not_placed(const request_story& story)
{
    const json* refusal = last_line(story, "no decode place");
    if (refusal == nullptr)
    {
        return "no decode server had memory for it in time";
    }
    return "no decode server had memory for it in " + number_text(*refusal, "waited_ms") +
           " ms: " + number_text(*refusal, "waiting") + " others waited at this entry, " +
           number_text(*refusal, "servers") + " decode servers were known, " +
           number_text(*refusal, "reservations_refused") + " reservations were refused";
}

/// The last failed step of the request, as a clause.
std::string failed_step(const request_story& story)
{
    for (auto line = story.lines.rbegin(); line != story.lines.rend(); ++line)
    {
        const std::string reason = text_of(line->fields, "reason");
        if (line->own && !reason.empty() && text_of(line->fields, "event") != "request")
        {
            return text_of(line->fields, "event") + " at server " +
                   text_of(line->fields, "server") + " (" + reason + ")";
        }
    }
    return "no failed step was logged";
}

/// What its process saw of the server that it went to last.
std::string server_news(const request_story& story, const std::string& server)
{
    for (auto line = story.lines.rbegin(); line != story.lines.rend(); ++line)
    {
        if (!line->own && text_of(line->fields, "server") == server)
        {
            return "; the entry noted: " + text_of(line->fields, "event");
        }
    }
    return "";
}

std::string cause_of(const request_story& story, const json* end)
{
    if (end == nullptr)
    {
        return "its last line is missing: the process ended first, or the line was left "
               "out";
    }
    const std::string& outcome = story.outcome;
    const std::string server = text_of(*end, "server");
    if (outcome == "answered")
    {
        return "answered by server " + server + " in " + number_text(*end, "took_ms") +
               " ms, after " + number_text(*end, "waited_ms") + " ms of waiting";
    }
    if (outcome == "over_allowance")
    {
        return why_over_allowance(story);
    }
    if (outcome == "no_decode_place" || outcome == "no_server_large_enough")
    {
        return why_not_placed(story);
    }
    if (outcome == "no_server")
    {
        return "no server could be given it: " + failed_step(story);
    }
    if (outcome == "answer_lost" || outcome == "no_answer_in_time")
    {
        return "it was sent and no whole answer came, so it may have run: " +
               failed_step(story) + server_news(story, server);
    }
    if (outcome == "stream_cut" || outcome == "cut_at_timeout")
    {
        return "its stream ended early: " + failed_step(story) +
               server_news(story, server);
    }
    if (outcome == "server_failed")
    {
        return "server " + server + " ran it and answered with its own failure";
    }
    if (outcome == "caller_gone")
    {
        return "the caller closed its connection after " + number_text(*end, "took_ms") +
               " ms";
    }
    return "the entry refused it: " + outcome;
}

} // namespace

void story_reader::take(std::string_view line)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || text_of(parsed, "event").empty())
    {
        return;
    }
    story_line made;
    made.time_us = whole_of(parsed, "time_us");
    made.process = text_of(parsed, "process");
    made.own = text_of(parsed, "request") == this->id;
    made.fields = parsed;
    const bool other_request = !made.own && parsed.contains("request");
    const bool missing = parsed.contains("left_out") || parsed.contains("unread");
    if (other_request && !missing)
    {
        return;
    }
    process_log& log = this->logs[made.process];
    if (made.own)
    {
        log.first_own = log.took_part ? log.first_own : log.lines.size();
        log.last_own = log.lines.size();
        log.took_part = true;
    }
    log.lines.push_back(std::move(made));
}

request_story story_reader::merge() const
{
    request_story story;
    story.request = this->id;
    std::set<std::string> servers;
    for (const auto& [name, log] : this->logs)
    {
        for (const story_line& line : log.lines)
        {
            if (line.own)
            {
                servers.insert(text_of(line.fields, "server"));
            }
        }
    }
    struct cursor
    {
        const process_log* log;
        std::size_t at;
    };
    std::vector<cursor> cursors;
    for (const auto& [name, log] : this->logs)
    {
        if (log.took_part)
        {
            cursors.push_back({&log, 0});
        }
    }
    for (;;)
    {
        cursor* next = nullptr;
        for (cursor& candidate : cursors)
        {
            const bool left = candidate.at <= candidate.log->last_own;
            if (left && (next == nullptr || candidate.log->lines[candidate.at].time_us <
                                                next->log->lines[next->at].time_us))
            {
                next = &candidate;
            }
        }
        if (next == nullptr)
        {
            return story;
        }
        const story_line& line = next->log->lines[next->at];
        const story_line& own = next->log->lines[next->log->first_own];
        const bool near = line.time_us >= own.time_us - context_us;
        const std::string event = text_of(line.fields, "event");
        const bool context = contains(context_events, event) ||
                             (contains(server_events, event) &&
                              servers.contains(text_of(line.fields, "server")));
        if (near)
        {
            story.lines_missing += static_cast<std::uint64_t>(
                whole_of(line.fields, "left_out") + whole_of(line.fields, "unread"));
        }
        if (line.own || (near && context))
        {
            story.lines.push_back(line);
        }
        ++next->at;
    }
}

result<request_story> story_reader::tell() const
{
    request_story story = this->merge();
    if (story.lines.empty())
    {
        return fail(error_code::not_found, "explain", this->id,
                    "no line of these logs names the request");
    }
    const json* end = last_line(story, "request");
    story.outcome = end == nullptr ? "" : text_of(*end, "outcome");
    story.cause = cause_of(story, end);
    return story;
}

std::string to_text(const story_line& line, std::int64_t origin_us)
{
    std::array<char, 64> offset{};
    const double ms =
        static_cast<double>(line.time_us - origin_us) / static_cast<double>(us_a_ms);
    std::snprintf(offset.data(), offset.size(), "%10.1f ms  ", ms);
    std::string text = offset.data() + line.process + "  ";
    text += text_of(line.fields, "event");
    for (const auto& [name, value] : line.fields.items())
    {
        const bool shown_already = name == "time_us" || name == "level" ||
                                   name == "process" || name == "event" ||
                                   name == "request";
        if (!shown_already &&
            !(value.is_string() && value.get_ref<const std::string&>().empty()))
        {
            text += " " + name + "=" + shown(value);
        }
    }
    return text;
}

} // namespace agateseam

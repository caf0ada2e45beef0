#include <net/curl_call.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <strings.h>

#include <net/http_syntax.hpp>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

/// All lines of a head together, with those of interim answers before it.
constexpr std::size_t max_head_bytes = 256 << 10;

/// Ends the call because of what its server sends.
std::size_t reject(curl_call& state, const char* reason)
{
    state.rejection = reason;
    return 0;
}

bool is_status_line_valid(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t minor_size = 1;
    constexpr std::size_t code_size = 3;
    constexpr std::size_t code_begin = version.size() + minor_size + 1;
    constexpr std::size_t code_end = code_begin + code_size;
    int code = 0;
    const auto parsed =
        line.size() < code_end
            ? std::from_chars_result{nullptr, std::errc::invalid_argument}
            : std::from_chars(line.data() + code_begin, line.data() + code_end, code);
    return line.starts_with(version) && line[code_begin - 1] == ' ' &&
           parsed.ec == std::errc{} && parsed.ptr == line.data() + code_end &&
           is_answer_status(code) && (line.size() == code_end || line[code_end] == ' ') &&
           is_field_value(line);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(blanks), text.size());
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

/// libcurl takes the first number of a length, and decodes or passes on what comes in
/// other transfer codings than chunks.
bool is_framing_valid(const std::vector<http_header>& fields, std::string_view name,
                      std::string_view value)
{
    if (equals_ignoring_case(name, "Transfer-Encoding"))
    {
        return equals_ignoring_case(value, "chunked");
    }
    if (!equals_ignoring_case(name, "Content-Length"))
    {
        return true;
    }
    std::uint64_t length = 0;
    const auto parsed =
        std::from_chars(value.data(), value.data() + value.size(), length);
    return parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size() &&
           std::none_of(fields.begin(), fields.end(),
                        [&](const http_header& field) {
                            return equals_ignoring_case(field.first, name) &&
                                   field.second != value;
                        });
}

std::size_t on_header(char* data, std::size_t, std::size_t size, void* context)
{
    auto& state = *static_cast<curl_call*>(context);
    state.head_bytes += size;
    if (state.head_bytes > max_head_bytes)
    {
        return reject(state, "the answer's head is too large");
    }
    std::string_view line(data, size);
    line.remove_suffix(line.ends_with('\n') ? 1 : 0);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    const std::size_t colon = line.find(':');
    if (!state.is_in_head && line.starts_with("HTTP/"))
    {
        state.answer_headers.clear();
        state.is_in_head = true;
        return is_status_line_valid(line)
                   ? size
                   : reject(state, "the answer's status line is invalid");
    }
    if (line.empty())
    {
        state.is_in_head = false;
        return size;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value =
        colon == std::string_view::npos ? "" : trim(line.substr(colon + 1));
    if (colon == std::string_view::npos || !is_field_name(name) ||
        !is_field_value(value) || !is_framing_valid(state.answer_headers, name, value))
    {
        return reject(state, "a field of the answer is invalid");
    }
    state.answer_headers.emplace_back(name, value);
    return size;
}

std::size_t on_body(char* data, std::size_t, std::size_t size, void* context)
{
    auto& state = *static_cast<curl_call*>(context);
    state.last_activity = steady_clock::now();
    state.has_body = true;
    report_head(state);
    if (!state.sink->on_data({data, size}))
    {
        state.cancelled_by_sink = true;
        return 0;
    }
    return size;
}

/// Tells whether a part of the request was sent on any connection. libcurl sends a
/// request again when a kept connection closes before the answer.
bool was_sent(const curl_call& state)
{
    long sent_bytes = 0;
    curl_easy_getinfo(state.handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return sent_bytes > 0;
}

void configure_body(curl_call& state)
{
    const http_call& call = state.call;
    if (call.method != "GET" || !call.body.empty())
    {
        curl_easy_setopt(state.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(state.handle, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(state.handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    state.headers = curl_slist_append(state.headers, "Expect:");
    for (const auto& [name, value] : call.headers)
    {
        const std::string line = value.empty() ? name + ";" : name + ": " + value;
        state.headers = curl_slist_append(state.headers, line.c_str());
    }
    curl_easy_setopt(state.handle, CURLOPT_HTTPHEADER, state.headers);
}

} // namespace

void report_head(curl_call& state)
{
    if (!state.head_reported)
    {
        state.head_reported = true;
        long status = 0;
        curl_easy_getinfo(state.handle, CURLINFO_RESPONSE_CODE, &status);
        state.sink->on_head(static_cast<int>(status), state.answer_headers);
    }
}

bool has_explicit_length(const curl_call& state)
{
    return std::any_of(state.answer_headers.begin(), state.answer_headers.end(),
                       [](const http_header& header)
                       {
                           const char* const name = header.first.c_str();
                           return ::strcasecmp(name, "Content-Length") == 0 ||
                                  ::strcasecmp(name, "Transfer-Encoding") == 0;
                       });
}

error_code classify_failure(CURLcode code, const curl_call& state)
{
    if (state.cancelled_by_sink)
    {
        return error_code::cancelled;
    }
    switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return was_sent(state) ? error_code::broken : error_code::unavailable;
    case CURLE_OPERATION_TIMEDOUT:
    {
        curl_off_t pretransfer_us = 0;
        curl_easy_getinfo(state.handle, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
        return pretransfer_us == 0 && !was_sent(state) ? error_code::unavailable
                                                       : error_code::timeout;
    }
    default:
        return error_code::broken;
    }
}

void configure(curl_call& state, const http_client_options& options)
{
    CURL* handle = state.handle;
    const http_call& call = state.call;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &state);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.total_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(options.max_connection_age.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(options.max_connection_idle.count()));
    if (call.fresh_connection)
    {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    configure_body(state);
}

} // namespace agateseam

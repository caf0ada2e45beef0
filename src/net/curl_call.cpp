#include <net/curl_call.hpp>

#include <algorithm>
#include <string_view>
#include <strings.h>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

std::size_t on_header(char* data, std::size_t, std::size_t size, void* context)
{
    auto& state = *static_cast<curl_call*>(context);
    std::string_view line(data, size);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    {
        line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/"))
    {
        state.answer_headers.clear();
    }
    else if (colon != std::string_view::npos)
    {
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
        {
            value.remove_prefix(1);
        }
        state.answer_headers.emplace_back(line.substr(0, colon), value);
    }
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

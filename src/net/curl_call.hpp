/// One call of the HTTP client: its libcurl handle, the options and the callbacks.
#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include <curl/curl.h>

#include <net/http_client.hpp>

namespace agateseam
{

/// \brief The state of one running call. Only its client thread uses it.
struct curl_call
{
    http_client::call_id id = 0;
    http_call call;
    std::shared_ptr<http_sink> sink;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    std::vector<http_header> answer_headers;
    bool head_reported = false;
    bool cancelled_by_sink = false;
    bool has_body = false;
    bool is_in_head = false; ///< Between a status line and the end of its head.
    std::size_t head_bytes = 0;
    const char* rejection = nullptr; ///< Why the answer was rejected, if it was.
    /// When the last byte came, the call began or its sink was asked about its silence.
    std::chrono::steady_clock::time_point last_activity;

    curl_call() = default;
    curl_call(const curl_call&) = delete;
    curl_call& operator=(const curl_call&) = delete;
    ~curl_call() { curl_slist_free_all(this->headers); }
};

/// \brief Sets all libcurl options of a call on its handle.
/// \remarks libcurl keeps pointers into `state`, so it must not move.
void configure(curl_call& state, const http_client_options& options);

/// \brief Passes the answer's head to the sink, unless that was done before.
void report_head(curl_call& state);

/// \brief Tells whether the answer has a `Content-Length` or is chunked, so that its end
/// can be told from a broken connection.
[[nodiscard]] bool has_explicit_length(const curl_call& state);

/// \brief Returns the error code for a failed transfer: `unavailable` when the request
/// was certainly not sent.
[[nodiscard]] error_code classify_failure(CURLcode code, const curl_call& state);

} // namespace agateseam

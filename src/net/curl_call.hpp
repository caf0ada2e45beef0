/// One call of the HTTP client as libcurl sees it: its handle, its options, its
/// callbacks.
#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include <curl/curl.h>

#include <net/http_client.hpp>

namespace agateseam
{

/// \brief One call under way; lives on its client's thread.
struct curl_call
{
    http_client::call_id id = 0;
    http_call call;
    std::shared_ptr<http_sink> sink;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    std::vector<http_header> answer_headers;
    bool head_told = false;
    bool refused_by_sink = false;
    bool has_body = false;
    std::chrono::steady_clock::time_point heard; ///< The last byte, or the call's begin.

    curl_call() = default;
    curl_call(const curl_call&) = delete;
    curl_call& operator=(const curl_call&) = delete;
    ~curl_call() { curl_slist_free_all(this->headers); }
};

/// \brief Sets everything that libcurl needs to know of a call that has a handle.
/// \remarks libcurl keeps pointers into the call: it must stay where it is.
void configure(curl_call& state, const http_client_options& options);

/// \brief Tells the sink the answer's head, once.
void tell_head(curl_call& state);

/// \brief Tells whether the answer named its length or came in chunks.
[[nodiscard]] bool is_framed(const curl_call& state);

/// \brief Tells what a failed transfer means for the work that was asked for.
[[nodiscard]] error_code classify(CURLcode code, const curl_call& state);

} // namespace agateseam

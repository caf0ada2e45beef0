/// An HTTP client on libcurl's multi interface: few threads, many calls, pooled
/// connections with an age limit.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief What to send, and how long to wait.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds total_timeout{0};  ///< 0 sets no limit.
    std::chrono::milliseconds silent_timeout{0}; ///< Without a byte; 0 sets no limit.
    bool fresh_connection = false; ///< Never a pooled one: libcurl sends a request again
                                   ///< when a pooled connection turns out to be dead.
    std::string step = "call";     ///< The step that errors carry.
};

/// \brief Receives an answer as it arrives, on one of the client's threads.
class http_sink
{
  public:
    virtual ~http_sink() = default;

    /// \brief The answer's head.
    virtual void on_head(int status, const std::vector<http_header>& headers) = 0;

    /// \brief A part of the body; returning false ends the call as cancelled.
    [[nodiscard]] virtual bool on_data(std::string_view data) = 0;

    /// \brief The end: true only if the answer arrived whole. Called once, last.
    virtual void on_done(const result<void>& outcome) = 0;
};

/// \brief A whole answer.
struct http_reply
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// \brief Returns a header's value, by name in any case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief What a client's user may set.
struct http_client_options
{
    unsigned threads = 1;
    std::chrono::seconds connection_age{60}; ///< A pooled connection is not used past it.
    std::chrono::seconds connection_idle{20};
    long connections = 4'096; ///< Pooled connections of one thread.
};

/// \brief A running client; calls that are open when it is destroyed end as cancelled.
class http_client
{
  public:
    /// Names a call that is under way.
    using call_id = std::uint64_t;

    [[nodiscard]] static result<std::unique_ptr<http_client>>
    create(const http_client_options& options);

    virtual ~http_client() = default;

    /// \brief Starts a call; the sink hears of it on the client's thread.
    virtual call_id start(http_call call, std::shared_ptr<http_sink> sink) = 0;

    /// \brief Ends a call early: its connection closes and the sink hears `cancelled`.
    virtual void cancel(call_id call) = 0;

    /// \brief Ends all calls as cancelled; calls started later are dropped unheard.
    virtual void stop() = 0;

    /// \brief Calls and hands over the whole answer on the client's thread.
    call_id fetch_async(http_call call, std::function<void(result<http_reply>)> done);

    /// \brief Calls and waits; not from the client's own threads.
    [[nodiscard]] result<http_reply> fetch(http_call call);
};

} // namespace agateseam

/// An HTTP client that runs many calls on a few threads, with libcurl's multi interface
/// and pooled connections of limited age.
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

/// \brief A request and its time-outs.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds total_timeout{0}; ///< 0 sets no limit.
    /// Time without a byte after which the sink decides whether the call goes on; 0 sets
    /// no limit.
    std::chrono::milliseconds idle_timeout{0};
    bool fresh_connection = false; ///< Uses no pooled connection: libcurl repeats a
                                   ///< request when a pooled connection is dead.
    /// Of an answer that is collected: `fetch` fails as `broken` for a larger one.
    std::size_t max_body_bytes = std::size_t{256} << 20;
    std::string step = "call"; ///< The `step` of the errors of this call.
};

/// \brief Receives an answer as it arrives; called on one of the client's threads.
class http_sink
{
  public:
    virtual ~http_sink() = default;

    /// \brief Receives the answer's head.
    virtual void on_head(int status, const std::vector<http_header>& headers) = 0;

    /// \brief Receives a part of the body.
    /// \returns false to end the call as cancelled.
    [[nodiscard]] virtual bool on_data(std::string_view data) = 0;

    /// \brief Tells whether the call goes on though no byte has come for its
    /// `idle_timeout`. It is asked again after each further such time.
    [[nodiscard]] virtual bool on_silence() { return false; }

    /// \brief Receives the outcome, which is a success only if the answer arrived
    /// completely. Called once, after all other functions.
    virtual void on_done(const result<void>& outcome) = 0;
};

/// \brief A complete answer.
struct http_reply
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// \brief Returns a header's value, or an empty view; the name's case is ignored.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief Options of a client.
struct http_client_options
{
    unsigned threads = 1;
    std::chrono::seconds max_connection_age{60}; ///< Older connections are not reused.
    std::chrono::seconds max_connection_idle{20};
    long max_connections = 4'096; ///< Pooled connections of one thread.
};

/// \brief A running client. Calls that are open when it is destroyed end as cancelled.
class http_client
{
  public:
    /// Identifies a running call.
    using call_id = std::uint64_t;

    [[nodiscard]] static result<std::unique_ptr<http_client>>
    create(const http_client_options& options);

    virtual ~http_client() = default;

    /// \brief Starts a call; the sink is called on the client's thread.
    virtual call_id start(http_call call, std::shared_ptr<http_sink> sink) = 0;

    /// \brief Ends a call early: its connection is closed and the sink gets `cancelled`.
    virtual void cancel(call_id call) = 0;

    /// \brief Ends all calls as cancelled. Calls that are started later are dropped and
    /// their sinks are not called.
    virtual void stop() = 0;

    /// \brief Starts a call and passes the complete answer to `done`, on the client's
    /// thread.
    call_id fetch_async(http_call call, std::function<void(result<http_reply>)> done);

    /// \brief Makes a call and waits for the answer. Must not be called on the client's
    /// own threads.
    [[nodiscard]] result<http_reply> fetch(http_call call);
};

} // namespace agateseam

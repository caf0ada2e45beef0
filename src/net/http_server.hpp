/// An HTTP server that keeps many requests open on a few threads, with libmicrohttpd.
/// Answers may be given later and from any thread, at once or as a stream.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <agateseam/error.hpp>
#include <net/machine_limits.hpp>

namespace agateseam
{

/// A header's name and value.
using http_header = std::pair<std::string, std::string>;

/// \brief A request whose body has arrived completely.
struct http_request
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Without the question mark.
    std::vector<http_header> headers;
    std::string body;

    /// \brief Returns a header's value, or an empty view; the name's case is ignored.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    /// \brief Returns a query argument's value, or an empty string.
    [[nodiscard]] std::string query_argument(std::string_view name) const;
};

/// \brief One request and its answer, shared between the server and the handler.
///
/// \remarks Every function may be called from any thread. Only the first call of
/// `respond` or `begin_stream` has an effect.
class http_exchange
{
  public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request& request() const noexcept = 0;

    /// \brief Moves the body out of the request.
    [[nodiscard]] virtual std::string take_body() = 0;

    /// \brief Sends a complete answer.
    virtual void respond(int status, std::vector<http_header> headers,
                         std::string body) = 0;

    /// \brief Starts an answer of unknown length.
    virtual void begin_stream(int status, std::vector<http_header> headers) = 0;

    /// \brief Appends to the stream.
    /// \returns the number of bytes that wait to be sent; 0 when the client has
    /// disconnected.
    virtual std::size_t write(std::string_view data) = 0;

    /// \brief Completes the stream.
    virtual void finish() = 0;

    /// \brief Closes the connection, so that the client sees an incomplete answer. A
    /// small amount of unsent data, such as the reason, is still sent before.
    virtual void abort() = 0;

    /// \brief Tells whether the client has disconnected.
    [[nodiscard]] virtual bool disconnected() const noexcept = 0;

    /// \brief Sets an action that runs once if the client disconnects before the answer's
    /// end, or at once if it already has.
    virtual void on_disconnect(std::function<void()> action) = 0;
};

/// \brief Handles the requests of a server.
class http_handler
{
  public:
    virtual ~http_handler() = default;

    /// \brief Handles a request. Runs on a server thread, so it must not block for long.
    virtual void handle(std::shared_ptr<http_exchange> exchange) = 0;
};

/// \brief The address and the limits of a server.
struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free port.
    unsigned threads = 2;
    unsigned max_connections = 20'000;
    std::size_t max_header_bytes = 32 * 1024;
    std::size_t max_body_bytes = 8 * 1024 * 1024;
    std::size_t memory_bytes = machine_memory_bytes(); ///< For the process.
    std::chrono::seconds idle_timeout{30}; ///< Time without a byte, outside an answer.
    std::chrono::milliseconds request_timeout{20'000}; ///< For a head or a body.
    std::string certificate; ///< PEM text; TLS is used when it is not empty.
    std::string private_key; ///< PEM text.
};

/// \brief A running server. It stops when it is destroyed.
class http_server
{
  public:
    /// \brief Binds the address and starts serving.
    /// \param handler must outlive the server.
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(const http_server_options& options, http_handler& handler);

    virtual ~http_server() = default;

    /// \brief Returns the port it listens on.
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;

    /// \brief Returns how many requests are being answered.
    [[nodiscard]] virtual std::size_t open_exchanges() const noexcept = 0;

    /// \brief Closes each connection after its next answer.
    virtual void close_after_answers() = 0;

    /// \brief Accepts no new connections and closes open ones after their next answer.
    virtual void quiesce() = 0;

    /// \brief Calls `answer` for each open request and waits until the answers are sent,
    /// at most for `max_wait`. A request that has an answer or a stream keeps it.
    virtual void answer_open(const std::function<void(http_exchange&)>& answer,
                             std::chrono::milliseconds max_wait) = 0;
};

/// \brief Decodes the percent escapes and plus signs of a URL.
[[nodiscard]] std::string url_decode(std::string_view text);

} // namespace agateseam

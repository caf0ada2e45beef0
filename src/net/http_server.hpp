/// An HTTP server on libmicrohttpd: few threads, many open answers; answers may be given
/// later, from any thread, whole or as a stream.
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

namespace agateseam
{

/// A header's name and value.
using http_header = std::pair<std::string, std::string>;

/// \brief A request whose body has arrived whole.
struct http_request
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< Without the question mark.
    std::vector<http_header> headers;
    std::string body;

    /// \brief Returns a header's value, by name in any case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    /// \brief Returns a query argument's value; empty when absent.
    [[nodiscard]] std::string query_argument(std::string_view name) const;
};

/// \brief One request and the answer to it; shared between the server and the handler.
///
/// \remarks Every member may be called from any thread. The first of `respond` and
/// `begin_stream` counts; later calls change nothing.
class http_exchange
{
  public:
    virtual ~http_exchange() = default;

    [[nodiscard]] virtual const http_request& request() const noexcept = 0;

    /// \brief Moves the body out of the request.
    [[nodiscard]] virtual std::string take_body() = 0;

    /// \brief Answers whole.
    virtual void respond(int status, std::vector<http_header> headers,
                         std::string body) = 0;

    /// \brief Begins an answer of unknown length.
    virtual void begin_stream(int status, std::vector<http_header> headers) = 0;

    /// \brief Adds to the stream.
    /// \returns the bytes that wait to be sent; 0 also when the client has gone.
    virtual std::size_t write(std::string_view data) = 0;

    /// \brief Ends the stream properly.
    virtual void finish() = 0;

    /// \brief Cuts the connection, so that the client sees an unfinished answer. What
    /// little was written just before, such as the reason, still goes out.
    virtual void abort() = 0;

    /// \brief Tells whether the client has gone.
    [[nodiscard]] virtual bool gone() const noexcept = 0;

    /// \brief Sets what is called, once, if the client goes before the answer's end.
    virtual void on_disconnect(std::function<void()> call) = 0;
};

/// \brief What a server calls for each request.
class http_handler
{
  public:
    virtual ~http_handler() = default;

    /// \brief Handles a request; must not block for long.
    virtual void handle(std::shared_ptr<http_exchange> exchange) = 0;
};

/// \brief A server's address and limits.
struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one.
    unsigned threads = 2;
    unsigned connection_limit = 20'000;
    std::size_t header_limit = 32 * 1024;     ///< Bytes of one request's head.
    std::size_t body_limit = 8 * 1024 * 1024; ///< Bytes of one request's body.
    std::chrono::seconds idle_limit{30};      ///< Without a byte, outside an answer.
    std::chrono::milliseconds request_limit{20'000}; ///< From head to the body's end.
    std::string certificate;                         ///< PEM text; TLS when not empty.
    std::string private_key;                         ///< PEM text.
};

/// \brief A running server; stops when destroyed.
class http_server
{
  public:
    /// \brief Listens and starts serving.
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

    /// \brief Takes no new connections; those that are open end after their answers.
    virtual void quiesce() = 0;
};

/// \brief Returns the path's arguments decoded (percent escapes and plus signs).
[[nodiscard]] std::string url_decode(std::string_view text);

} // namespace agateseam

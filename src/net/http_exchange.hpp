/// The state of one request at the HTTP server. libmicrohttpd's callbacks share it with
/// the handler, which may answer later and from any thread.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <microhttpd.h>

#include <net/http_server.hpp>

namespace agateseam
{

/// The state of the server that its exchanges read.
struct server_state
{
    std::atomic<bool> closing{false}; ///< Connections are closed after their next answer.
    std::atomic<bool> stopping{false}; ///< The server waits for no more answers.
};

/// Implements http_exchange with libmicrohttpd.
class exchange_impl final : public http_exchange,
                            public std::enable_shared_from_this<exchange_impl>
{
  public:
    exchange_impl(MHD_Connection* mhd_connection, const server_state& shared_state)
        : connection(mhd_connection)
        , server(&shared_state)
        , started(std::chrono::steady_clock::now())
    {
        const MHD_ConnectionInfo* info =
            MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        this->descriptor = info != nullptr ? info->connect_fd : -1;
    }

    [[nodiscard]] const http_request& request() const noexcept override
    {
        return this->parsed;
    }

    [[nodiscard]] std::string take_body() override
    {
        return std::move(this->parsed.body);
    }

    void respond(int status, std::vector<http_header> headers, std::string body) override;
    void begin_stream(int status, std::vector<http_header> headers) override;
    std::size_t write(std::string_view data) override;
    void finish() override;
    void abort() override;

    [[nodiscard]] bool disconnected() const noexcept override
    {
        return this->client_disconnected.load(std::memory_order_acquire);
    }

    void on_disconnect(std::function<void()> action) override;

    /// Queues the response if there is one, else suspends the connection. Called on the
    /// server's thread after the handler and after each resumption.
    MHD_Result queue_or_suspend();

    /// Copies the next bytes of a stream into `buffer`. Called on the server's thread.
    ssize_t read(char* buffer, std::size_t size);

    /// Called when the server is done with the request. The exchange doesn't use its
    /// connection after that.
    /// \param sent tells whether the answer was sent completely.
    void complete(bool sent);

    /// Detects that the client closed the socket while the connection is suspended.
    void check_disconnect();

    /// Aborts the answer because the server stops.
    void stop();

    http_request parsed;
    bool body_complete = false;
    std::size_t received = 0; ///< Bytes of the body so far, including discarded ones.

    [[nodiscard]] std::chrono::steady_clock::time_point start_time() const noexcept
    {
        return this->started;
    }

  private:
    enum class answer_phase : std::uint8_t
    {
        waiting,  ///< No answer yet.
        complete, ///< A complete answer is ready or queued.
        streaming,
        ended, ///< The handler has finished the stream.
        aborted
    };

    void resume_locked();
    void handle_disconnect();
    [[nodiscard]] MHD_Response* make_response();

    std::mutex mutex;
    MHD_Connection* connection;
    const server_state* server;
    int descriptor = -1;
    std::chrono::steady_clock::time_point started;
    answer_phase phase = answer_phase::waiting;
    bool suspended = false;
    bool queued = false;
    int status = 0;
    std::vector<http_header> answer_headers;
    std::string pending; ///< The complete body, or the unsent part of a stream.
    std::size_t pending_offset = 0;
    std::atomic<bool> client_disconnected{false};
    std::function<void()> disconnect_action;
};

} // namespace agateseam

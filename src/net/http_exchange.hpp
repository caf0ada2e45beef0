/// One request at the HTTP server: its state between libmicrohttpd's callbacks and the
/// handler, which may answer later and from any thread.
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

/// What a server's exchanges need to know of it.
struct server_phase
{
    std::atomic<bool> closing{false};  ///< Connections close after their next answer.
    std::atomic<bool> stopping{false}; ///< Nothing waits for an answer any more.
};

/// One request's state, shared by libmicrohttpd's callbacks and the handler.
class exchange_impl final : public http_exchange,
                            public std::enable_shared_from_this<exchange_impl>
{
  public:
    exchange_impl(MHD_Connection* peer, const server_phase& current)
        : connection(peer)
        , server(&current)
        , started(std::chrono::steady_clock::now())
    {
        const MHD_ConnectionInfo* info =
            MHD_get_connection_info(peer, MHD_CONNECTION_INFO_CONNECTION_FD);
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

    [[nodiscard]] bool gone() const noexcept override
    {
        return this->client_gone.load(std::memory_order_acquire);
    }

    void on_disconnect(std::function<void()> call) override;

    /// Called on the server's thread after the handler and after each resumption.
    MHD_Result queue_or_suspend();

    /// Called on the server's thread for more of a stream.
    ssize_t read(char* buffer, std::size_t size);

    /// The request is over for the server; the connection must not be used again.
    void complete(bool whole);

    /// Detects a closed socket while the connection is suspended.
    void check_peer();

    /// Ends the answer because the server stops.
    void stop();

    http_request parsed;
    bool body_complete = false;
    std::size_t received = 0; ///< Bytes of the body so far, also those dropped.

    [[nodiscard]] std::chrono::steady_clock::time_point start_time() const noexcept
    {
        return this->started;
    }

  private:
    enum class phase : std::uint8_t
    {
        waiting, ///< No answer yet.
        whole,   ///< A whole answer is ready or queued.
        streaming,
        ended, ///< The stream's proper end is known.
        aborted
    };

    void wake_locked();
    void tell_gone();
    [[nodiscard]] MHD_Response* make_response();

    std::mutex mutex;
    MHD_Connection* connection;
    const server_phase* server;
    int descriptor = -1;
    std::chrono::steady_clock::time_point started;
    phase state = phase::waiting;
    bool suspended = false;
    bool queued = false;
    int status = 0;
    std::vector<http_header> answer_headers;
    std::string pending; ///< The whole body, or what of the stream is not sent yet.
    std::size_t pending_offset = 0;
    std::atomic<bool> client_gone{false};
    std::function<void()> gone_call;
};

} // namespace agateseam

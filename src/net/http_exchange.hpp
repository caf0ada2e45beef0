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

#include <agateseam/memory_budget.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// The state of the server that its exchanges share.
struct server_state
{
    memory_budget budget;
    std::atomic<bool> closing{false}; ///< Connections are closed after their next answer.
    std::atomic<bool> stopping{false}; ///< The server waits for no more answers.
};

/// Implements http_exchange with libmicrohttpd.
class exchange_impl final : public http_exchange,
                            public std::enable_shared_from_this<exchange_impl>,
                            private memory_holder
{
  public:
    exchange_impl(MHD_Connection* mhd_connection,
                  std::shared_ptr<server_state> shared_state);
    ~exchange_impl() override;
    exchange_impl(const exchange_impl&) = delete;
    exchange_impl& operator=(const exchange_impl&) = delete;

    [[nodiscard]] const http_request& request() const noexcept override
    {
        return this->parsed;
    }

    [[nodiscard]] std::string take_body() override
    {
        return std::move(this->parsed.body);
    }

    /// Appends a part of the body, or discards the body if it gets larger than the limit.
    void append_body(std::string_view part, std::size_t max_bytes);

    /// Notes that the request is complete.
    /// \param connection_size memory of the connection, which the request holds from now
    /// on.
    /// \returns false if it was given up because the process held too much.
    [[nodiscard]] bool complete_request(std::size_t connection_size);

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

    /// Records the memory of the request's head, which is parsed.
    void set_head_bytes();

    http_request parsed;
    bool body_complete = false;
    std::size_t received = 0; ///< Bytes of the body so far, including discarded ones.

    /// Records what the exchange holds, after that has changed.
    void update_held_resources();

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
    [[nodiscard]] MHD_Result queue_or_suspend_unaccounted();
    void release(resource_shortage shortage) override;
    [[nodiscard]] held_resources held_locked() const;

    std::mutex mutex;
    MHD_Connection* connection;
    std::shared_ptr<server_state> server;
    int descriptor = -1;
    std::chrono::steady_clock::time_point started;
    answer_phase phase = answer_phase::waiting;
    bool suspended = false;
    bool queued = false;
    int status = 0;
    std::vector<http_header> answer_headers;
    std::string pending; ///< The complete body, or the unsent part of a stream.
    std::size_t pending_offset = 0;
    std::size_t head_bytes = 0;     ///< Memory of the request's head.
    std::size_t handled_bytes = 0;  ///< Memory of a complete request and its connection.
    std::size_t response_bytes = 0; ///< Of a complete answer that is being sent.
    bool is_given_up = false;       ///< The process held too much.
    std::atomic<bool> client_disconnected{false};
    std::function<void()> disconnect_action;
};

} // namespace agateseam

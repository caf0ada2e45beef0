/// The server side of HTTP/1.1: one connection of a caller, which carries one request
/// after the other.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/memory_budget.hpp>
#include <agateseam/routing_table.hpp>
#include <net/socket_buffers.hpp>
#include <transport/endpoint.hpp>
#include <transport/event_loop.hpp>
#include <transport/message_parser.hpp>

namespace agateseam
{

/// \brief A request that was received completely.
struct caller_request
{
    message_head head;
    std::shared_ptr<const std::string> body; ///< Without chunk framing.
    time_point arrived{};                    ///< When the first byte was read.

    /// \brief Returns the target without its query.
    [[nodiscard]] std::string_view path() const noexcept;
};

/// \brief The status and the header fields of an answer. The fields that frame the body
/// are added when the answer is sent.
struct caller_answer_head
{
    int status = 200;
    std::vector<header_field> fields;
};

class caller_connection;

/// \brief One request and the means to answer it. Each request gets exactly one answer.
class caller_exchange
{
  public:
    caller_exchange(caller_connection& exchange_connection, caller_request request);

    [[nodiscard]] const caller_request& request() const noexcept
    {
        return this->received_request;
    }

    /// \brief Tells whether the caller has closed the connection, or was refused.
    [[nodiscard]] bool disconnected() const noexcept;

    /// \brief Tells whether the caller got "not run" because the process held too much.
    [[nodiscard]] bool refused() const noexcept { return this->is_refused; }

    /// \brief Tells whether the connection was closed because the process held too much.
    [[nodiscard]] bool broken_off() const noexcept { return this->is_broken_off; }

    /// \brief Notes that a server is about to receive the request, so that the caller
    /// can't be told any more that it hasn't run.
    /// \returns false if the caller was refused before; nothing may be sent then.
    [[nodiscard]] bool begin_send();

    /// \brief Sets the action that runs when the caller closes the connection or the
    /// request is interrupted. It replaces the action that was set before.
    void on_disconnect(std::function<void()> action);

    /// \brief Ends what the request waits for. It can still be answered.
    void interrupt();

    /// \brief Sends a complete answer.
    /// \param head may state the body's length, for an answer to HEAD.
    /// \returns whether it was written to the connection.
    task<bool> answer(caller_answer_head head, std::string body);

    /// \brief Sends the head of an answer whose length isn't known yet.
    task<bool> begin(caller_answer_head head);

    /// \brief Sends a part of the body of an answer that `begin` started.
    task<bool> send(std::string_view part);

    /// \brief Completes an answer that `begin` started.
    task<bool> finish();

    /// \brief Closes the connection so that the caller can't take an unfinished answer
    /// for a complete one.
    void abort();

    [[nodiscard]] bool answered() const noexcept { return this->response_started; }

  private:
    friend class caller_connection;

    [[nodiscard]] std::string render_head(const caller_answer_head& head,
                                          std::string_view framing);

    caller_connection* connection;
    caller_request received_request;
    bool response_started = false;
    bool chunked = false;
    bool is_refused = false;
    bool is_broken_off = false;
};

/// \brief Answers the requests of callers.
class caller_handler
{
  public:
    virtual ~caller_handler() = default;

    /// \brief Answers one request; the exchange lives until this returns.
    virtual task<void> handle(caller_exchange& exchange) = 0;

    /// \brief Returns the current limits of size and time.
    [[nodiscard]] virtual caller_limits limits() const = 0;

    /// \brief Tells whether answers should ask the caller to open a new connection.
    [[nodiscard]] virtual bool closing() const = 0;

    /// \brief Is called for a request that was refused before it could be handled, or
    /// before a server received it.
    virtual void refused(int status, std::string_view reason) = 0;
};

/// What a connection is doing.
enum class connection_phase : std::uint8_t
{
    idle,
    receiving, ///< A request has begun.
    handling,  ///< No server has received the request.
    sent,      ///< A server may be running the request.
    refused,   ///< The rest of the input is discarded.
    closed
};

/// \brief Reads requests, passes them to a handler and notices when the caller
/// disconnects.
class caller_connection final : public std::enable_shared_from_this<caller_connection>,
                                private memory_holder
{
  public:
    caller_connection(event_loop& io_loop, tcp_socket accepted,
                      caller_handler& request_handler);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// \brief Starts serving the connection, until it is closed.
    static void start(const std::shared_ptr<caller_connection>& connection);

    /// \brief Tells whether no request is being read or answered and none has arrived.
    [[nodiscard]] bool idle();

    void close();

  private:
    friend class caller_exchange;

    /// Bytes that are read before they are parsed. While a request is answered, its
    /// caller may send a whole other one, which counts as waiting for the caller from
    /// here on.
    static constexpr std::size_t max_read_ahead = 65'536;

    enum class read_outcome
    {
        complete,
        closed,
        refused
    };

    task<void> serve();
    task<void> read_ahead();
    task<read_outcome> read_request(caller_request& request);
    task<void> handle_request(caller_request request);
    void begin_request(const caller_limits& limits);
    task<bool> wait_for_bytes(time_point until);
    task<read_outcome> refuse(int status, std::string_view reason);
    task<bool> write(std::string head, std::string body = {});
    task<void> wait_until_writable();
    task<void> drain_before_close();
    void start_reading();
    [[nodiscard]] bool may_read() const noexcept;
    void receive(std::string_view bytes);
    void break_off();
    void release(resource_shortage shortage) override;
    void recount() override;
    void adapt_receive_buffer();
    void count_sent(std::size_t bytes);
    void refuse_overloaded();
    void reset();
    void free_buffers();
    void free_unused_input();
    void enter(connection_phase next);
    void set_unread_bytes(std::size_t bytes);
    void update_held_resources();
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] hold_kind held_kind() const;
    /// Tells whether the caller sends much behind a request that isn't answered.
    [[nodiscard]] bool is_far_ahead() const noexcept;
    [[nodiscard]] bool is_refused() const noexcept
    {
        return this->phase == connection_phase::refused;
    }
    void handle_disconnect();
    void run_disconnect_action();

    event_loop* loop;
    tcp_socket socket;
    caller_handler* handler;
    std::string input;
    std::unique_ptr<request_parser> parser; ///< Of the request that is received.
    caller_exchange* exchange = nullptr;    ///< Of the request that is handled.
    std::size_t request_head_bytes = 0;     ///< Memory of that request's head.
    std::size_t unread_bytes = 0; ///< Memory of an answer that the caller doesn't read.
    std::size_t sent_since_count = 0; ///< Bytes since `unsent` was set.
    std::size_t unsent = 0;           ///< Bytes of answers that the kernel holds.
    receive_buffer receive_size = receive_buffer::small;
    connection_phase phase = connection_phase::idle;
    time_point held_since{}; ///< Begin of the phase, or of what the caller doesn't read.
    wake_signal state_changed;  ///< Bytes were read, or the connection ended.
    time_point first_byte_at{}; ///< Of the request that is read or answered.
    time_point latest_byte_at{};
    bool reading = false;
    bool ended = false; ///< The caller closed, or the connection broke.
    bool busy = false;  ///< A request is being read or answered, or its answer delivered.
    bool keep_alive = true; ///< Whether another request may follow.
    std::function<void()> disconnect_action;
};

} // namespace agateseam

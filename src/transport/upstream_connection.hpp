/// The client side of HTTP/1.1: pooled connections to backend servers.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/memory_budget.hpp>
#include <transport/event_loop.hpp>
#include <transport/message_parser.hpp>

namespace agateseam
{

/// The outcome of a read or of a call.
enum class io_outcome : std::uint8_t
{
    good,
    not_sent,    ///< No connection was made, or none accepted a byte.
    timed_out,   ///< No bytes came by the deadline.
    broken,      ///< The connection was reset or closed before the message's end.
    garbled,     ///< The bytes are not a valid message, or are too many.
    unidentified ///< A response came that may belong to another request.
};

/// Which request a response belongs to, as far as its head tells.
enum class response_match : std::uint8_t
{
    current,
    other,  ///< A late or extra response to another request.
    unknown ///< May be either of them.
};

/// \brief Returns the name of an outcome for logs.
[[nodiscard]] std::string_view to_string(io_outcome end) noexcept;

/// \brief One connection to a backend server; one request at a time.
class upstream_connection final
    : public std::enable_shared_from_this<upstream_connection>,
      private memory_holder
{
  public:
    upstream_connection(event_loop& io_loop, std::string peer_address);
    ~upstream_connection() override;
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    /// \brief Connects, or gives up after `timeout`.
    task<bool> connect(duration timeout);

    /// \brief Starts sending a request. The response may be read meanwhile.
    void send(std::string head, std::shared_ptr<const std::string> body);

    /// \brief Reads the head of the response to the current request.
    ///
    /// Responses to other requests are skipped: a server may send one late, on the
    /// connection where the current response is expected. One that can't be told from
    /// these closes the connection.
    /// \param match tells by the head which request a response belongs to.
    task<io_outcome>
    read_head(time_point deadline,
              const std::function<response_match(const message_head&)>& match);

    /// \brief Waits until there is something to read; the end of the wait leaves the
    /// connection as it is.
    /// \returns false when nothing has arrived by `until`.
    task<bool> wait_for_input(time_point until);

    /// \brief Reads more of the body. `take_body` returns it, `done` tells whether it is
    /// complete.
    task<io_outcome> read_body(time_point deadline);

    /// \brief Reads what has arrived of the body, without a wait.
    /// \returns nothing if nothing has arrived.
    [[nodiscard]] std::optional<io_outcome> read_arrived();

    /// \brief Tells whether bytes have arrived that aren't read yet.
    [[nodiscard]] bool has_unread_bytes();

    /// \brief Reads the body to its end. A body of more than `max_bytes` is an error.
    task<io_outcome> read_whole(time_point deadline, std::size_t max_bytes);

    /// \brief Reads the body to its end as long as more of it arrives.
    /// \param max_pause without any bytes; it ends as `timed_out`.
    /// \param deadline by which it must have arrived even so.
    task<io_outcome> read_arriving(duration max_pause, time_point deadline,
                                   std::size_t max_bytes);

    [[nodiscard]] const message_head& head() const { return this->parser->head; }
    [[nodiscard]] std::string take_body();
    /// \brief Sets how many bytes of the response its reader keeps, which count as the
    /// connection's.
    void set_kept_by_reader(std::size_t bytes);
    [[nodiscard]] bool done() const { return this->parser && this->parser->is_done(); }

    /// \brief Tells whether the response has a length or chunks, and so an end of its
    /// own.
    [[nodiscard]] bool has_stated_end() const
    {
        return this->parser && !this->parser->need_eof();
    }

    /// \brief Tells whether another request may follow on this connection.
    [[nodiscard]] bool reusable() const;

    /// \brief Notes that the connection gets into a pool, and frees large buffers.
    void set_idle(duration timeout);
    /// \brief Notes that the connection is taken from a pool.
    void set_in_use();
    [[nodiscard]] bool is_idle_timeout_over(time_point now) const noexcept
    {
        return now - this->idle_since >= this->idle_timeout;
    }

    /// \brief Tells whether an idle connection is open and has no unexpected bytes.
    [[nodiscard]] bool alive();

    /// \brief Closes the connection. A pending read ends as `broken`.
    void close();

    /// \brief Closes the connection and frees what was read of the response.
    void abandon();

    [[nodiscard]] const std::string& address() const noexcept { return this->peer; }
    /// \brief Tells whether the response that is read is the first on this connection, so
    /// that it can't belong to an earlier request.
    [[nodiscard]] bool is_first_response() const noexcept
    {
        return this->responses_read == 1;
    }

    /// \brief Returns when the current request was sent.
    [[nodiscard]] time_point sent_at() const noexcept { return this->request_sent_at; }

    /// \brief Sets the id of the request that the connection carries.
    void set_request_id(std::string id) { this->carried_request = std::move(id); }
    /// \brief Returns the id of the latest request; empty if it has none.
    [[nodiscard]] const std::string& request_id() const noexcept
    {
        return this->carried_request;
    }

    /// \brief Returns how many bytes have arrived since the current request was sent.
    [[nodiscard]] std::size_t received_bytes() const noexcept
    {
        return this->bytes_received;
    }

  private:
    task<io_outcome> read_more(time_point deadline);
    /// Returns how a read of a connection that was closed here ends.
    [[nodiscard]] io_outcome closed_outcome() const noexcept;
    io_outcome take_received(std::string_view bytes, const io_error& fault);
    io_outcome parse_body();
    [[nodiscard]] bool is_request_received();
    [[nodiscard]] bool has_parsable_input() const noexcept
    {
        return this->input.size() > this->incomplete_bytes;
    }
    /// Reads the rest of a response that nobody waits for.
    task<io_outcome> skip_body(time_point deadline);
    void release(resource_shortage shortage) override;
    void update_held_resources();
    /// Closes the connection because of its bytes.
    io_outcome close_garbled();

    event_loop* loop;
    std::string peer;
    tcp_socket socket;
    std::string input;
    std::string carried_request;      ///< The id of the latest one.
    std::size_t incomplete_bytes = 0; ///< Of `input`, which need more to be parsed.
    std::unique_ptr<response_parser> parser;
    std::uint64_t responses_read = 0; ///< Without interim ones.
    bool is_head_request = false;     ///< Method HEAD: the response has no body.
    std::size_t sent_head_bytes = 0;
    std::size_t unreceived_bytes = 0; ///< Of the request, which the kernel may hold.
    time_point request_sent_at{};
    std::size_t bytes_received = 0; ///< Since `request_sent_at`.
    bool writing = false;
    bool closed = false;
    bool timed_out = false;
    bool is_released = false;      ///< The process held too much.
    std::size_t skipped_bytes = 0; ///< Of responses to other requests.
    std::size_t kept_by_reader = 0;
    bool is_idle = false; ///< In a pool.
    time_point idle_since{};
    duration idle_timeout{}; ///< As the server stated, or the default.
    deadline_timer read_timer;
};

/// \brief Time-outs and limits of a connection pool.
struct upstream_options
{
    /// A handshake between zones takes 3 ms; a lost first packet is sent again after 1 s.
    std::chrono::milliseconds connect_timeout{400};
    /// The idle time-out when the server sends no `Keep-Alive` field.
    std::chrono::milliseconds default_idle_timeout{1'000};
    /// Subtracted from the time-out that the server states, because a request needs time
    /// to reach it.
    std::chrono::milliseconds idle_timeout_margin{300};
    std::size_t max_idle_per_address = 32;
};

/// \brief Keeps idle connections for each address.
class upstream_pool
{
  public:
    upstream_pool(event_loop& io_loop, upstream_options initial_options);

    /// \brief Takes the idle connection of an address that was used last and is alive.
    /// \param request_id a request that may have been sent on a connection before: a
    /// server may repeat its earlier answer there, which would pass for the new one. Such
    /// a connection is closed.
    /// \returns null without one.
    [[nodiscard]] std::shared_ptr<upstream_connection>
    take(const std::string& address, std::string_view request_id = {});

    /// \brief Opens a new connection within the connect time-out, and within `max_time`
    /// if that is shorter.
    /// \returns null when it fails.
    task<std::shared_ptr<upstream_connection>> open(const std::string& address,
                                                    duration max_time = duration::max());

    /// \brief Returns a connection to the pool, or closes it if it can't be used again.
    void return_connection(const std::shared_ptr<upstream_connection>& connection);

    /// \brief Closes idle connections that are past their time-out or not alive.
    void close_expired();

    /// \brief Closes the idle connections of all addresses but those that `keep`
    /// accepts.
    void close_unwanted(const std::function<bool(const std::string&)>& keep);

    [[nodiscard]] std::uint64_t opened() const noexcept { return this->opened_count; }

  private:
    event_loop* loop;
    upstream_options options;
    std::unordered_map<std::string, std::deque<std::shared_ptr<upstream_connection>>>
        idle;
    std::uint64_t opened_count = 0;
};

} // namespace agateseam

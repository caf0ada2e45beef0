#include <transport/caller_connection.hpp>

#include <algorithm>
#include <array>

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// After the sending side is closed, input is read and discarded for this long. Closing
/// with unread input would send a reset, which could discard the answer at the caller.
constexpr auto drain_time = 500ms;
/// The whole request may take this many times as long as its header, because bodies are
/// about ten times as large.
constexpr int body_timeout_factor = 4;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_not_implemented = 501;
constexpr int http_1_1 = 11;

/// Tells whether the body's length is unambiguous. Otherwise a backend server could see
/// the request end elsewhere, which allows request smuggling.
bool has_unambiguous_framing(const message_head& head)
{
    std::size_t content_lengths = 0;
    for (const header_field& field : head.fields)
    {
        if (equals_ignoring_case(field.name, "Transfer-Encoding") &&
            !equals_ignoring_case(field.value, "chunked"))
        {
            return false;
        }
        if (equals_ignoring_case(field.name, "Content-Length"))
        {
            ++content_lengths;
        }
    }
    return content_lengths <= 1;
}

bool wants_keep_alive(const message_head& head)
{
    const std::string_view connection = head.field("Connection");
    if (list_contains_token(connection, "close"))
    {
        return false;
    }
    return head.version >= http_1_1 || list_contains_token(connection, "keep-alive");
}

} // namespace

caller_connection::caller_connection(event_loop& io_loop, tcp_socket accepted,
                                     caller_handler& request_handler)
    : loop(&io_loop)
    , socket(std::move(accepted))
    , handler(&request_handler)
    , state_changed(io_loop)
{
    io_error ignored; // The connection works without the option.
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
}

caller_connection::~caller_connection()
{
    process_memory_budget().remove(*this);
}

void caller_connection::start(const std::shared_ptr<caller_connection>& connection)
{
    connection->enter(connection_phase::idle);
    spawn(*connection->loop,
          [connection]() -> task<void> { co_await connection->serve(); });
}

bool caller_connection::idle()
{
    if (this->busy || !this->input.empty())
    {
        return false;
    }
    char byte = 0;
    return this->ended ||
           ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void caller_connection::close()
{
    io_error ignored; // Fails only if the socket is closed already.
    this->socket.close(ignored);
    this->enter(connection_phase::closed);
    this->handle_disconnect();
}

/// Closes the connection so that the kernel drops what the caller hasn't read.
void caller_connection::reset()
{
    io_error ignored; // The connection is closed in any case.
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void caller_connection::handle_disconnect()
{
    this->ended = true;
    this->state_changed.notify();
    this->run_disconnect_action();
}

void caller_connection::run_disconnect_action()
{
    if (this->disconnect_action)
    {
        const auto action = std::move(this->disconnect_action);
        this->disconnect_action = nullptr;
        action();
    }
}

void caller_connection::start_reading()
{
    if (this->reading || this->ended || !this->may_read())
    {
        return;
    }
    this->reading = true;
    spawn(*this->loop,
          [self = this->shared_from_this()]() -> task<void>
          { co_await self->read_ahead(); });
}

/// Keeps reading while a request is answered, so that a disconnect is noticed.
task<void> caller_connection::read_ahead()
{
    bool has_ended = false;
    while (!this->ended && !has_ended && this->may_read())
    {
        io_error fault;
        co_await this->socket.async_wait(asio::socket_base::wait_read,
                                         store_error_in(fault));
        std::size_t count = 0;
        const auto bytes = shared_read_buffer();
        if (!fault)
        {
            count =
                this->socket.read_some(asio::buffer(bytes.data(), bytes.size()), fault);
        }
        if (fault == asio::error::would_block || fault == asio::error::try_again)
        {
            continue;
        }
        has_ended = fault || count == 0;
        if (!has_ended)
        {
            this->receive({bytes.data(), count});
        }
    }
    this->reading = false;
    if (has_ended)
    {
        this->handle_disconnect();
    }
}

bool caller_connection::may_read() const noexcept
{
    return this->exchange != nullptr || this->input.size() < this->max_read_ahead;
}

void caller_connection::receive(std::string_view bytes)
{
    this->latest_byte_at = boot_now();
    if (!this->busy)
    {
        this->busy = true;
        this->first_byte_at = this->latest_byte_at;
    }
    if (!this->is_refused())
    {
        this->input.append(bytes);
    }
    this->state_changed.notify();
    if (this->exchange == nullptr)
    {
        return; // Counted when it has been parsed.
    }
    const caller_limits limits = this->handler->limits();
    if (this->input.size() >
        std::max(this->max_read_ahead, limits.header_bytes) + limits.body_bytes)
    {
        this->handler->refused(status_bad_request, "sent too far ahead");
        this->break_off();
    }
    this->update_held_resources();
}

task<bool> caller_connection::wait_for_bytes(time_point deadline)
{
    this->start_reading();
    const duration remaining = deadline - boot_now();
    if (this->ended || remaining <= duration::zero())
    {
        co_return false;
    }
    co_return co_await this->state_changed.wait_for(remaining) && !this->ended;
}

task<void> caller_connection::serve()
{
    while (this->keep_alive && !this->ended)
    {
        caller_request request;
        const read_outcome end = co_await this->read_request(request);
        this->parser.reset();
        if (end != read_outcome::complete)
        {
            break;
        }
        this->keep_alive = wants_keep_alive(request.head);
        co_await this->handle_request(std::move(request));
    }
    co_await this->drain_before_close();
    this->close();
}

task<void> caller_connection::handle_request(caller_request request)
{
    caller_exchange current(*this, std::move(request));
    this->exchange = &current;
    this->enter(connection_phase::handling);
    if (!current.disconnected())
    {
        this->start_reading();
        co_await this->handler->handle(current);
    }
    this->disconnect_action = nullptr;
    this->busy = false;
    if (!current.answered() && !current.refused())
    {
        current.abort();
    }
    this->exchange = nullptr;
}

/// Creates the parser of the next request.
void caller_connection::begin_request(const caller_limits& limits)
{
    this->parser = std::make_unique<request_parser>();
    this->parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    this->parser->body_limit(limits.body_bytes);
    this->parser->eager(true);
    this->enter(connection_phase::receiving);
}

task<caller_connection::read_outcome>
caller_connection::read_request(caller_request& request)
{
    namespace http = boost::beast::http;
    const caller_limits limits = this->handler->limits();
    if (!this->input.empty())
    {
        this->busy = true;
        this->first_byte_at = boot_now();
        this->latest_byte_at = this->first_byte_at;
    }
    else
    {
        this->enter(connection_phase::idle);
    }
    const time_point idle_deadline = boot_now() + limits.idle_timeout;
    time_point deadline = idle_deadline;
    bool continue_sent = false;
    for (;;)
    {
        boost::beast::error_code fault;
        if (!this->input.empty())
        {
            if (!this->parser)
            {
                this->begin_request(limits);
            }
            const bool is_valid = parse_some(*this->parser, this->input, fault);
            this->free_unused_input();
            this->adapt_receive_buffer();
            this->update_held_resources();
            if (this->is_refused() || this->ended)
            {
                co_return read_outcome::refused;
            }
            if (!is_valid)
            {
                const int status =
                    fault == http::error::header_limit ? status_head_too_large
                    : fault == http::error::body_limit ? status_body_too_large
                                                       : status_bad_request;
                co_return co_await this->refuse(status, fault.message());
            }
            if (this->parser->is_done())
            {
                break;
            }
            if (!this->may_read())
            {
                co_return co_await this->refuse(this->parser->is_header_done()
                                                    ? status_bad_request
                                                    : status_head_too_large,
                                                "an element is too long");
            }
            // A body has its time anew with each part that arrives.
            deadline =
                this->parser->is_header_done()
                    ? this->latest_byte_at + limits.header_timeout * body_timeout_factor
                    : this->first_byte_at + limits.header_timeout;
        }
        if (this->parser && this->parser->is_header_done() && !continue_sent &&
            list_contains_token(this->parser->head.field("Expect"), "100-continue"))
        {
            continue_sent = true;
            co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
            if (this->is_refused())
            {
                co_return read_outcome::refused;
            }
            // The body may have arrived meanwhile, which wakes nobody.
            continue;
        }
        const bool has_bytes = co_await this->wait_for_bytes(deadline);
        if (this->is_refused())
        {
            co_return read_outcome::refused;
        }
        if (!has_bytes)
        {
            if (this->ended || !this->busy)
            {
                co_return read_outcome::closed;
            }
            co_return co_await this->refuse(status_timeout, "the request took too long");
        }
    }
    if (!has_unambiguous_framing(this->parser->head))
    {
        co_return co_await this->refuse(status_not_implemented,
                                        "framed in a way that isn't supported");
    }
    this->request_head_bytes = this->parser->head_memory_size();
    request.head = std::move(this->parser->head);
    request.body = std::make_shared<const std::string>(std::move(this->parser->body));
    request.arrived = this->first_byte_at;
    co_return read_outcome::complete;
}

task<caller_connection::read_outcome> caller_connection::refuse(int status,
                                                                std::string_view reason)
{
    this->keep_alive = false;
    this->enter(connection_phase::refused);
    this->handler->refused(status, reason);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += reason_phrase(status);
    text += "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    co_await this->write(std::move(text));
    co_return read_outcome::refused;
}

task<bool> caller_connection::write(std::string head, std::string body)
{
    const std::size_t size = head.size() + body.size();
    std::size_t sent = 0;
    while (!this->ended && sent < size)
    {
        const std::size_t sent_of_head = std::min(sent, head.size());
        const std::array<asio::const_buffer, 2> rest{asio::buffer(head) + sent_of_head,
                                                     asio::buffer(body) +
                                                         (sent - sent_of_head)};
        io_error fault;
        sent += this->socket.write_some(rest, fault);
        if (fault == asio::error::would_block || fault == asio::error::try_again)
        {
            this->count_sent(sent);
            // Meanwhile its server's answer isn't read either.
            this->set_unread_bytes(head.capacity() + body.capacity() +
                                   kernel_memory(receive_buffer::large));
            co_await this->wait_until_writable();
            this->set_unread_bytes(0);
        }
        else if (fault)
        {
            this->handle_disconnect();
        }
    }
    this->count_sent(size);
    co_return !this->ended;
}

/// Waits until the caller has read a part of what it was sent. A caller that reads
/// nothing for as long as a connection may be idle is disconnected.
task<void> caller_connection::wait_until_writable()
{
    deadline_timer timer(*this->loop);
    timer.arm(this->handler->limits().idle_timeout,
              [self = this->shared_from_this()] { self->reset(); });
    io_error ignored; // The next write reports it.
    co_await this->socket.async_wait(asio::socket_base::wait_write,
                                     store_error_in(ignored));
}

task<void> caller_connection::drain_before_close()
{
    if (this->ended)
    {
        co_return;
    }
    this->busy = true;
    io_error ignored; // The connection is closed in any case.
    this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    const time_point deadline = boot_now() + drain_time;
    while (!this->ended && boot_now() < deadline)
    {
        this->input.clear();
        this->free_unused_input();
        co_await this->wait_for_bytes(deadline);
    }
}

} // namespace agateseam

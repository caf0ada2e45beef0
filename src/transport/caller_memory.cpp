// What a caller's connection holds, and how it releases that.
#include <transport/caller_connection.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

#include <pcg_random.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// Memory of a connection and its coroutines, without buffers.
constexpr std::size_t connection_overhead = 4 << 10; // bytes
/// Memory of a request that is handled, without its head and its body.
constexpr std::size_t exchange_overhead = 12 << 10; // bytes
/// A head is held twice: as it was received and in what its handler makes of it.
constexpr std::size_t head_copies = 2;
/// A larger input buffer is freed when it is empty.
constexpr std::size_t max_empty_buffer = 4 << 10; // bytes

constexpr int status_overloaded = 503;

/// Returns the length of the body, or 0 for one in chunks.
std::uint64_t stated_length(const message_head& head)
{
    const std::string_view text = head.field("Content-Length");
    std::uint64_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

/// Refused callers come back within this time, at random, so that not all of them do at
/// once.
constexpr auto min_overload_retry_after = 500ms;
constexpr std::uint32_t overload_retry_spread_ms = 1'000;

/// Returns an answer that tells a caller that its request hasn't run and never will.
std::string make_overload_answer()
{
    static thread_local pcg32 random(
        static_cast<std::uint64_t>(boot_now().time_since_epoch().count()));
    constexpr std::string_view body =
        R"({"error":{"code":"overloaded","run":"not_run"}})";
    const auto retry_after = min_overload_retry_after +
                             std::chrono::milliseconds(random(overload_retry_spread_ms));
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f",
                  std::chrono::duration<double>(retry_after).count());
    return "HTTP/1.1 " + std::to_string(status_overloaded) + " " +
           std::string(reason_phrase(status_overloaded)) +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\nRetry-After: " + seconds +
           "\r\nConnection: close\r\n\r\n" + std::string(body);
}

} // namespace

void caller_connection::enter(connection_phase next)
{
    this->phase = next;
    this->held_since = boot_now();
    process_memory_budget().renew(*this);
    this->update_held_resources();
}

void caller_connection::set_unread_bytes(std::size_t bytes)
{
    if (this->unread_bytes == 0)
    {
        this->held_since = boot_now();
    }
    this->unread_bytes = bytes;
    this->update_held_resources();
}

void caller_connection::update_held_resources()
{
    process_memory_budget().update(
        *this,
        {this->held_bytes(), this->held_kind(), this->socket.is_open(), this->held_since},
        boot_now());
}

std::size_t caller_connection::held_bytes() const
{
    std::size_t bytes = connection_overhead + this->input.capacity() + this->unread_bytes;
    if (this->socket.is_open())
    {
        bytes += socket_overhead + this->unsent;
    }
    if (this->socket.is_open() && this->receive_size == receive_buffer::large)
    {
        bytes += kernel_memory(receive_buffer::large);
    }
    if (this->parser)
    {
        bytes += this->parser->memory_size();
    }
    if (this->exchange != nullptr)
    {
        bytes += exchange_overhead + head_copies * this->request_head_bytes +
                 this->exchange->received_request.body->capacity();
    }
    return bytes;
}

hold_kind caller_connection::held_kind() const
{
    if (this->exchange == nullptr || this->unread_bytes > 0 || this->is_far_ahead())
    {
        return hold_kind::awaits_peer;
    }
    return this->phase == connection_phase::handling ? hold_kind::awaits_server
                                                     : hold_kind::in_progress;
}

bool caller_connection::is_far_ahead() const noexcept
{
    return this->exchange != nullptr && this->input.size() >= this->max_read_ahead;
}

void caller_connection::release(resource_shortage shortage)
{
    const bool is_answering = this->unread_bytes > 0 ||
                              (this->exchange != nullptr && this->exchange->answered());
    if (this->phase == connection_phase::closed)
    {
        // The request ends soon, and its memory with it.
    }
    else if (!is_answering && (this->phase == connection_phase::receiving ||
                               this->phase == connection_phase::handling))
    {
        this->refuse_overloaded();
        if (shortage == resource_shortage::connections)
        {
            this->close();
        }
    }
    else if (this->exchange != nullptr && !this->exchange->refused())
    {
        this->break_off();
    }
    else
    {
        // A connection that is closed in an orderly way keeps what its caller hasn't
        // read.
        this->unsent > 0 ? this->reset() : this->close();
    }
    this->free_buffers();
    this->update_held_resources();
}

void caller_connection::recount()
{
    if (this->unsent > 0)
    {
        this->unsent = unsent_bytes(this->socket.native_handle());
        process_memory_budget().recount(*this, this->held_bytes());
    }
}

/// Counts answers that were written and may not have been read.
void caller_connection::count_sent(std::size_t bytes)
{
    this->sent_since_count += bytes;
    if (this->sent_since_count > min_counted_unsent)
    {
        this->sent_since_count = 0;
        this->unsent = unsent_bytes(this->socket.native_handle());
        this->update_held_resources();
    }
}

/// Lets more bytes arrive at once while the rest of a large body is received.
void caller_connection::adapt_receive_buffer()
{
    receive_buffer size = receive_buffer::small;
    if (this->parser && this->parser->is_header_done() && !this->parser->is_done() &&
        std::max<std::uint64_t>(stated_length(this->parser->head),
                                this->parser->body.size()) > small_receive_bytes)
    {
        size = receive_buffer::large;
    }
    if (this->receive_size != size)
    {
        this->receive_size = size;
        set_receive_buffer(this->socket.native_handle(), size);
    }
}

/// Ends a request whose caller is at fault, or for which there is no memory.
void caller_connection::break_off()
{
    this->exchange->is_broken_off = true;
    this->exchange->response_started = true;
    this->reset();
    this->free_buffers();
}

/// Answers that the request hasn't run. It isn't sent to any server then.
void caller_connection::refuse_overloaded()
{
    this->handler->refused(status_overloaded, "the process holds too much");
    this->keep_alive = false;
    if (this->exchange != nullptr)
    {
        this->exchange->is_refused = true;
    }
    io_error ignored; // A caller that reads nothing doesn't get the refusal.
    this->socket.write_some(asio::buffer(make_overload_answer()), ignored);
    this->enter(connection_phase::refused);
    this->state_changed.notify();
    this->run_disconnect_action();
}

void caller_connection::free_buffers()
{
    // An assignment of an empty string would keep the memory.
    std::string().swap(this->input);
    this->parser.reset();
    this->adapt_receive_buffer();
    this->unread_bytes = 0; // The write ends with the connection.
    if (this->exchange != nullptr)
    {
        this->exchange->received_request.body = std::make_shared<const std::string>();
    }
}

void caller_connection::free_unused_input()
{
    if (this->input.empty() && this->input.capacity() > max_empty_buffer)
    {
        std::string().swap(this->input);
    }
}

} // namespace agateseam

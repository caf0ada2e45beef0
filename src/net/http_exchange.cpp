#include <net/http_exchange.hpp>

#include <algorithm>

#include <poll.h>
#include <sys/socket.h>

#include <agateseam/clock.hpp>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

constexpr std::size_t stream_block_bytes = 32 * 1024;
constexpr std::size_t max_bytes_before_abort = 64 * 1024; // still sent on an abort

/// Memory of a request without its head and its body.
constexpr std::size_t exchange_overhead = 4 << 10; // bytes
/// A handler keeps the body of its request, and a copy while a server receives it.
constexpr std::size_t body_copies = 3;
/// The head is held by the library and, parsed, here.
constexpr std::size_t header_overhead = 128; // bytes

ssize_t read_stream(void* context, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<exchange_impl*>(context)->read(buffer, size);
}

} // namespace

exchange_impl::exchange_impl(MHD_Connection* mhd_connection,
                             std::shared_ptr<server_state> shared_state)
    : connection(mhd_connection)
    , server(std::move(shared_state))
    , started(steady_clock::now())
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    this->descriptor = info != nullptr ? info->connect_fd : -1;
}

exchange_impl::~exchange_impl()
{
    this->server->budget.remove(*this);
}

void exchange_impl::set_head_bytes()
{
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& [name, value] : this->parsed.headers)
        {
            this->head_bytes += name.size() + value.size() + header_overhead;
        }
    }
    this->update_held_resources();
}

void exchange_impl::append_body(std::string_view part, std::size_t max_bytes)
{
    bool has_grown = false;
    {
        const std::scoped_lock lock(this->mutex);
        this->received += part.size();
        const std::size_t capacity = this->parsed.body.capacity();
        if (this->is_given_up || this->received > max_bytes)
        {
            std::string().swap(this->parsed.body);
        }
        else
        {
            this->parsed.body.append(part);
        }
        has_grown = this->parsed.body.capacity() != capacity;
    }
    if (has_grown)
    {
        this->update_held_resources();
    }
}

bool exchange_impl::complete_request(std::size_t connection_size)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->body_complete = !this->is_given_up;
        this->handled_bytes =
            connection_size + body_copies * this->parsed.body.capacity();
    }
    this->update_held_resources();
    const std::scoped_lock lock(this->mutex);
    return !this->is_given_up;
}

/// Must not be called while the mutex is locked: a release locks the budget before it.
void exchange_impl::update_held_resources()
{
    held_resources resources;
    {
        const std::scoped_lock lock(this->mutex);
        resources = this->held_locked();
    }
    this->server->budget.update(*this, resources, steady_clock_source{}.now());
}

held_resources exchange_impl::held_locked() const
{
    held_resources resources;
    resources.since = time_point{this->started.time_since_epoch()};
    if (this->is_given_up || this->connection == nullptr)
    {
        return resources;
    }
    const std::size_t unsent =
        this->response_bytes + this->pending.capacity() - this->pending_offset;
    resources.bytes = exchange_overhead + this->head_bytes + unsent;
    resources.bytes +=
        this->body_complete ? this->handled_bytes : this->parsed.body.capacity();
    const bool is_unread = unsent > stream_block_bytes;
    resources.kind = this->body_complete && !is_unread ? hold_kind::in_progress
                                                       : hold_kind::awaits_peer;
    if (this->body_complete)
    {
        // Its own one, and that to a server until it has the whole answer.
        resources.connections = this->response_bytes == 0 ? 2 : 1;
    }
    return resources;
}

/// Gives the request up: discards the rest of its body, or ends its answer visibly.
void exchange_impl::release(resource_shortage)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->is_given_up = true;
        if (!this->body_complete)
        {
            std::string().swap(this->parsed.body);
        }
        else if (this->queued && this->phase == answer_phase::complete)
        {
            if (this->descriptor >= 0)
            {
                ::shutdown(this->descriptor, SHUT_RDWR);
            }
        }
        else
        {
            this->phase = answer_phase::aborted;
            std::string().swap(this->pending);
            this->pending_offset = 0;
            this->resume_locked();
        }
    }
    this->update_held_resources();
}

void exchange_impl::resume_locked()
{
    if (this->suspended && this->connection != nullptr)
    {
        this->suspended = false;
        MHD_resume_connection(this->connection);
    }
}

void exchange_impl::respond(int code, std::vector<http_header> headers, std::string body)
{
    const std::scoped_lock lock(this->mutex);
    if (this->phase != answer_phase::waiting)
    {
        return;
    }
    this->phase = answer_phase::complete;
    this->status = code;
    this->answer_headers = std::move(headers);
    this->pending = std::move(body);
    this->resume_locked();
}

void exchange_impl::begin_stream(int code, std::vector<http_header> headers)
{
    const std::scoped_lock lock(this->mutex);
    if (this->phase != answer_phase::waiting)
    {
        return;
    }
    this->phase = answer_phase::streaming;
    this->status = code;
    this->answer_headers = std::move(headers);
    this->resume_locked();
}

std::size_t exchange_impl::write(std::string_view data)
{
    std::size_t unsent = 0;
    bool has_grown = false;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->phase != answer_phase::streaming || this->disconnected())
        {
            return 0;
        }
        const std::size_t capacity = this->pending.capacity();
        this->pending.append(data);
        this->resume_locked();
        unsent = this->pending.size() - this->pending_offset;
        has_grown = this->pending.capacity() != capacity;
    }
    if (has_grown)
    {
        this->update_held_resources();
    }
    return unsent;
}

void exchange_impl::finish()
{
    const std::scoped_lock lock(this->mutex);
    if (this->phase == answer_phase::streaming)
    {
        this->phase = answer_phase::ended;
        this->resume_locked();
    }
}

void exchange_impl::abort()
{
    const std::scoped_lock lock(this->mutex);
    if (this->phase == answer_phase::waiting || this->phase == answer_phase::streaming)
    {
        this->phase = answer_phase::aborted;
        if (this->pending.size() - this->pending_offset > max_bytes_before_abort)
        {
            this->pending.clear();
            this->pending_offset = 0;
        }
        this->resume_locked();
    }
}

void exchange_impl::on_disconnect(std::function<void()> action)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->disconnected())
        {
            this->disconnect_action = std::move(action);
            return;
        }
    }
    action();
}

void exchange_impl::handle_disconnect()
{
    std::function<void()> action;
    {
        const std::scoped_lock lock(this->mutex);
        this->client_disconnected.store(true, std::memory_order_release);
        action = std::move(this->disconnect_action);
        this->disconnect_action = nullptr;
    }
    if (action)
    {
        action();
    }
}

MHD_Response* exchange_impl::make_response()
{
    MHD_Response* response = nullptr;
    if (this->phase == answer_phase::complete)
    {
        response = MHD_create_response_from_buffer(
            this->pending.size(), this->pending.data(), MHD_RESPMEM_MUST_COPY);
        this->response_bytes = this->pending.size();
        std::string().swap(this->pending);
    }
    else
    {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_bytes,
                                                     read_stream, this, nullptr);
    }
    for (const auto& [name, value] : this->answer_headers)
    {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (this->server->closing)
    {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    return response;
}

MHD_Result exchange_impl::queue_or_suspend()
{
    const MHD_Result outcome = this->queue_or_suspend_unaccounted();
    this->update_held_resources();
    return outcome;
}

MHD_Result exchange_impl::queue_or_suspend_unaccounted()
{
    const std::scoped_lock lock(this->mutex);
    if (this->phase == answer_phase::waiting && this->server->stopping)
    {
        return MHD_NO;
    }
    if (this->phase == answer_phase::waiting)
    {
        this->suspended = true;
        MHD_suspend_connection(this->connection);
        return MHD_YES;
    }
    if (this->phase == answer_phase::aborted && !this->queued)
    {
        return MHD_NO;
    }
    if (this->queued)
    {
        return MHD_YES;
    }
    this->queued = true;
    MHD_Response* response = this->make_response();
    const MHD_Result queue_result = MHD_queue_response(
        this->connection, static_cast<unsigned>(this->status), response);
    MHD_destroy_response(response);
    return queue_result;
}

ssize_t exchange_impl::read(char* buffer, std::size_t size)
{
    const std::scoped_lock lock(this->mutex);
    const std::size_t available = this->pending.size() - this->pending_offset;
    if (this->phase == answer_phase::aborted && (available == 0 || this->disconnected()))
    {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (available > 0)
    {
        const std::size_t count = std::min(available, size);
        std::copy_n(this->pending.data() + this->pending_offset, count, buffer);
        this->pending_offset += count;
        if (this->pending_offset == this->pending.size())
        {
            this->pending.clear();
            this->pending_offset = 0;
        }
        return static_cast<ssize_t>(count);
    }
    if (this->phase == answer_phase::ended)
    {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (this->server->stopping)
    {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    this->suspended = true;
    MHD_suspend_connection(this->connection);
    return 0;
}

void exchange_impl::complete(bool sent)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->connection = nullptr;
        this->descriptor = -1;
        this->suspended = false;
        this->response_bytes = 0;
    }
    this->update_held_resources();
    if (!sent)
    {
        this->handle_disconnect();
    }
}

void exchange_impl::check_disconnect()
{
    bool closed = false;
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->suspended || this->descriptor < 0)
        {
            return;
        }
        pollfd poll_request{this->descriptor, POLLRDHUP, 0};
        closed = ::poll(&poll_request, 1, 0) > 0 &&
                 (poll_request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        if (closed)
        {
            this->phase = answer_phase::aborted;
            this->resume_locked();
        }
    }
    if (closed)
    {
        this->handle_disconnect();
    }
}

void exchange_impl::stop()
{
    this->abort();
    this->handle_disconnect();
}

} // namespace agateseam

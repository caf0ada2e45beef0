#include <net/http_exchange.hpp>

#include <algorithm>

#include <poll.h>

namespace agateseam
{

namespace
{

constexpr std::size_t stream_block_bytes = 32 * 1024;
constexpr std::size_t max_bytes_before_abort = 64 * 1024; // still sent on an abort

ssize_t read_stream(void* context, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<exchange_impl*>(context)->read(buffer, size);
}

} // namespace

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
    const std::scoped_lock lock(this->mutex);
    if (this->phase != answer_phase::streaming || this->disconnected())
    {
        return 0;
    }
    this->pending.append(data);
    this->resume_locked();
    return this->pending.size() - this->pending_offset;
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
    }
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

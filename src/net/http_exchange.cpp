#include <net/http_exchange.hpp>

#include <algorithm>

#include <poll.h>

namespace agateseam
{

namespace
{

constexpr std::size_t read_block = 32 * 1024;       // bytes
constexpr std::size_t last_words_limit = 64 * 1024; // bytes sent out before a cut

ssize_t stream_reader(void* context, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<exchange_impl*>(context)->read(buffer, size);
}

} // namespace

void exchange_impl::wake_locked()
{
    if (this->suspended && this->connection != nullptr)
    {
        this->suspended = false;
        MHD_resume_connection(this->connection);
    }
}

void exchange_impl::respond(int code, std::vector<http_header> headers, std::string body)
{
    const std::scoped_lock hold(this->mutex);
    if (this->state != phase::waiting)
    {
        return;
    }
    this->state = phase::whole;
    this->status = code;
    this->answer_headers = std::move(headers);
    this->pending = std::move(body);
    this->wake_locked();
}

void exchange_impl::begin_stream(int code, std::vector<http_header> headers)
{
    const std::scoped_lock hold(this->mutex);
    if (this->state != phase::waiting)
    {
        return;
    }
    this->state = phase::streaming;
    this->status = code;
    this->answer_headers = std::move(headers);
    this->wake_locked();
}

std::size_t exchange_impl::write(std::string_view data)
{
    const std::scoped_lock hold(this->mutex);
    if (this->state != phase::streaming || this->gone())
    {
        return 0;
    }
    this->pending.append(data);
    this->wake_locked();
    return this->pending.size() - this->pending_offset;
}

void exchange_impl::finish()
{
    const std::scoped_lock hold(this->mutex);
    if (this->state == phase::streaming)
    {
        this->state = phase::ended;
        this->wake_locked();
    }
}

void exchange_impl::abort()
{
    const std::scoped_lock hold(this->mutex);
    if (this->state == phase::waiting || this->state == phase::streaming)
    {
        this->state = phase::aborted;
        if (this->pending.size() - this->pending_offset > last_words_limit)
        {
            this->pending.clear();
            this->pending_offset = 0;
        }
        this->wake_locked();
    }
}

void exchange_impl::on_disconnect(std::function<void()> call)
{
    {
        const std::scoped_lock hold(this->mutex);
        if (!this->gone())
        {
            this->gone_call = std::move(call);
            return;
        }
    }
    call();
}

void exchange_impl::tell_gone()
{
    std::function<void()> call;
    {
        const std::scoped_lock hold(this->mutex);
        this->client_gone.store(true, std::memory_order_release);
        call = std::move(this->gone_call);
        this->gone_call = nullptr;
    }
    if (call)
    {
        call();
    }
}

MHD_Response* exchange_impl::make_response()
{
    MHD_Response* response = nullptr;
    if (this->state == phase::whole)
    {
        response = MHD_create_response_from_buffer(
            this->pending.size(), this->pending.data(), MHD_RESPMEM_MUST_COPY);
    }
    else
    {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, read_block,
                                                     stream_reader, this, nullptr);
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
    const std::scoped_lock hold(this->mutex);
    if (this->state == phase::waiting && this->server->stopping)
    {
        return MHD_NO;
    }
    if (this->state == phase::waiting)
    {
        this->suspended = true;
        MHD_suspend_connection(this->connection);
        return MHD_YES;
    }
    if (this->state == phase::aborted && !this->queued)
    {
        return MHD_NO;
    }
    if (this->queued)
    {
        return MHD_YES;
    }
    this->queued = true;
    MHD_Response* response = this->make_response();
    const MHD_Result done = MHD_queue_response(
        this->connection, static_cast<unsigned>(this->status), response);
    MHD_destroy_response(response);
    return done;
}

ssize_t exchange_impl::read(char* buffer, std::size_t size)
{
    const std::scoped_lock hold(this->mutex);
    const std::size_t ready = this->pending.size() - this->pending_offset;
    if (this->state == phase::aborted && (ready == 0 || this->gone()))
    {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (ready > 0)
    {
        const std::size_t count = std::min(ready, size);
        std::copy_n(this->pending.data() + this->pending_offset, count, buffer);
        this->pending_offset += count;
        if (this->pending_offset == this->pending.size())
        {
            this->pending.clear();
            this->pending_offset = 0;
        }
        return static_cast<ssize_t>(count);
    }
    if (this->state == phase::ended)
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

void exchange_impl::complete(bool whole)
{
    {
        const std::scoped_lock hold(this->mutex);
        this->connection = nullptr;
        this->descriptor = -1;
        this->suspended = false;
    }
    if (!whole)
    {
        this->tell_gone();
    }
}

void exchange_impl::check_peer()
{
    bool closed = false;
    {
        const std::scoped_lock hold(this->mutex);
        if (!this->suspended || this->descriptor < 0)
        {
            return;
        }
        pollfd probe{this->descriptor, POLLRDHUP, 0};
        closed = ::poll(&probe, 1, 0) > 0 &&
                 (probe.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        if (closed)
        {
            this->state = phase::aborted;
            this->wake_locked();
        }
    }
    if (closed)
    {
        this->tell_gone();
    }
}

void exchange_impl::stop()
{
    this->abort();
    this->tell_gone();
}

} // namespace agateseam

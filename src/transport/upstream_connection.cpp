#include <transport/upstream_connection.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include <net/socket_buffers.hpp>
#include <transport/endpoint.hpp>

namespace agateseam
{

namespace
{

constexpr int first_final_status = 200; // 1xx responses are interim
/// A server that sends more of these doesn't come to an answer.
constexpr int max_interim_responses = 100;
/// Most bytes of responses to other requests before the one that is waited for.
constexpr std::size_t max_skipped_bytes = 1 << 20;
/// Most bytes of one element of the syntax, such as a chunk's extension.
constexpr std::size_t max_unparsed_bytes = 128 << 10;
/// An idle connection doesn't keep a larger read buffer.
constexpr std::size_t max_idle_buffer = 4 << 10;
/// Memory of a connection without buffers.
constexpr std::size_t connection_overhead = 2 << 10; // bytes
/// The kernel may hold this much of a request that its server doesn't read.
constexpr std::size_t max_unreceived_bytes = 64 << 10;
/// Limit of a server's head beside the fields of the request that it echoes.
constexpr std::uint32_t max_own_head_bytes = 8 << 10;
/// The kernel closes a connection whose sent bytes stay unacknowledged for this long.
constexpr unsigned unacknowledged_timeout_ms = 2'000;
/// Interval of keep-alive probes, and the idle time before the first one.
constexpr int keepalive_interval_s = 1;
/// The kernel closes a connection after this many unanswered probes.
constexpr int max_unanswered_probes = 2;

void set_socket_options(tcp_socket& socket)
{
    const int descriptor = socket.native_handle();
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_interval_s,
               sizeof keepalive_interval_s);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
               sizeof keepalive_interval_s);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &max_unanswered_probes,
               sizeof max_unanswered_probes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
               sizeof unacknowledged_timeout_ms);
}

/// Returns the seconds of "timeout=N" in a Keep-Alive field, or -1.
int stated_idle_seconds(std::string_view field)
{
    const std::size_t position = field.find("timeout=");
    if (position == std::string_view::npos)
    {
        return -1;
    }
    const std::string_view number =
        field.substr(position + std::string_view("timeout=").size());
    int seconds = -1;
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    return seconds;
}

} // namespace

std::string_view to_string(io_outcome end) noexcept
{
    switch (end)
    {
    case io_outcome::good:
        return "good";
    case io_outcome::not_sent:
        return "not_sent";
    case io_outcome::timed_out:
        return "timed_out";
    case io_outcome::broken:
        return "broken";
    case io_outcome::garbled:
        return "garbled";
    case io_outcome::unidentified:
        break;
    }
    return "unidentified";
}

upstream_connection::upstream_connection(event_loop& io_loop, std::string peer_address)
    : loop(&io_loop)
    , peer(std::move(peer_address))
    , socket(io_loop)
    , read_timer(io_loop)
{
}

upstream_connection::~upstream_connection()
{
    process_memory_budget().remove(*this);
}

void upstream_connection::update_held_resources()
{
    held_resources resources;
    resources.bytes = connection_overhead + this->unreceived_bytes +
                      this->input.capacity() + this->kept_by_reader;
    if (this->parser)
    {
        resources.bytes += this->parser->memory_size();
    }
    resources.kind = this->is_idle ? hold_kind::awaits_peer : hold_kind::in_progress;
    resources.connections = this->socket.is_open() ? 1 : 0;
    resources.since = this->is_idle ? this->idle_since : this->request_sent_at;
    process_memory_budget().update(*this, resources, boot_now());
}

void upstream_connection::set_kept_by_reader(std::size_t bytes)
{
    this->kept_by_reader = bytes;
    this->update_held_resources();
}

void upstream_connection::release(resource_shortage)
{
    this->is_released = true;
    this->abandon();
}

void upstream_connection::abandon()
{
    this->close();
    // An assignment of an empty string would keep the memory.
    std::string().swap(this->input);
    if (this->parser)
    {
        std::string().swap(this->parser->body);
    }
    this->kept_by_reader = 0;
    this->unreceived_bytes = 0;
    this->update_held_resources();
}

io_outcome upstream_connection::close_garbled()
{
    this->close();
    return io_outcome::garbled;
}

task<bool> upstream_connection::connect(duration timeout)
{
    const auto endpoint = parse_endpoint(this->peer);
    if (!endpoint)
    {
        co_return false;
    }
    const auto self = this->shared_from_this();
    deadline_timer connect_timer(*this->loop);
    connect_timer.arm(timeout, [self] { self->close(); });
    io_error fault;
    this->socket.open(endpoint->protocol(), fault);
    if (!fault)
    {
        limit_socket_buffers(this->socket.native_handle(), receive_buffer::large);
    }
    this->set_in_use();
    if (!fault)
    {
        co_await this->socket.async_connect(*endpoint, store_error_in(fault));
    }
    connect_timer.disarm();
    if (fault || this->closed)
    {
        this->close();
        co_return false;
    }
    set_socket_options(this->socket);
    this->socket.non_blocking(true, fault);
    co_return !fault;
}

void upstream_connection::send(std::string head, std::shared_ptr<const std::string> body)
{
    this->parser.reset();
    this->request_sent_at = boot_now();
    this->bytes_received = 0;
    this->timed_out = false;
    this->writing = true;
    this->is_head_request = head.starts_with("HEAD ");
    this->sent_head_bytes = head.size();
    this->unreceived_bytes =
        std::min(head.size() + (body ? body->size() : 0), max_unreceived_bytes);
    this->update_held_resources();
    const auto sent_head = std::make_shared<std::string>(std::move(head));
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(*sent_head), body ? asio::buffer(*body) : asio::const_buffer{}};
    asio::async_write(this->socket, parts,
                      [self = this->shared_from_this(), sent_head,
                       body](const io_error& fault, std::size_t)
                      {
                          // An error is reported when the response is read, because the
                          // server may have answered before the connection broke. It
                          // counts as writing then, and so is not reused.
                          self->writing = fault.failed();
                      });
}

io_outcome upstream_connection::closed_outcome() const noexcept
{
    return this->is_released ? io_outcome::garbled
           : this->timed_out ? io_outcome::timed_out
                             : io_outcome::broken;
}

task<io_outcome> upstream_connection::read_more(time_point deadline)
{
    if (this->closed)
    {
        co_return this->closed_outcome();
    }
    const duration remaining = deadline - boot_now();
    if (remaining <= duration::zero())
    {
        co_return io_outcome::timed_out;
    }
    const auto self = this->shared_from_this();
    this->read_timer.arm(remaining,
                         [self]
                         {
                             self->timed_out = true;
                             self->close();
                         });
    io_error fault;
    std::size_t count = 0;
    const auto bytes = shared_read_buffer();
    for (;;)
    {
        co_await this->socket.async_wait(asio::socket_base::wait_read,
                                         store_error_in(fault));
        if (fault)
        {
            break;
        }
        count = this->socket.read_some(asio::buffer(bytes.data(), bytes.size()), fault);
        if (fault != asio::error::would_block && fault != asio::error::try_again)
        {
            break;
        }
    }
    this->read_timer.disarm();
    co_return this->take_received({bytes.data(), count}, fault);
}

io_outcome upstream_connection::take_received(std::string_view bytes,
                                              const io_error& fault)
{
    if (this->is_released || this->timed_out)
    {
        return this->closed_outcome();
    }
    if (fault == asio::error::eof && this->parser && this->parser->is_header_done() &&
        this->parser->need_eof() && this->is_request_received())
    {
        boost::beast::error_code end_error;
        this->parser->put_eof(end_error);
        this->closed = true;
        return end_error ? io_outcome::broken : io_outcome::good;
    }
    if (fault || bytes.empty())
    {
        this->close();
        return io_outcome::broken;
    }
    this->input.append(bytes);
    this->bytes_received += bytes.size();
    return io_outcome::good;
}

/// Tells whether the server's host has received the whole request.
///
/// Otherwise the end of a connection may be that of one which was reset: the write of the
/// request may have taken the error, which is reported only once, and the reset that
/// answers the rest of the request may not have arrived.
bool upstream_connection::is_request_received()
{
    int unacknowledged_bytes = 0;
    return !this->writing &&
           ::ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged_bytes) == 0 &&
           unacknowledged_bytes == 0;
}

task<io_outcome> upstream_connection::read_head(
    time_point deadline, const std::function<response_match(const message_head&)>& match)
{
    int interim_responses = 0;
    for (;;)
    {
        this->parser = std::make_unique<response_parser>();
        this->incomplete_bytes = 0;
        this->parser->eager(true);
        this->parser->header_limit(max_own_head_bytes +
                                   static_cast<std::uint32_t>(this->sent_head_bytes));
        this->parser->skip(this->is_head_request); // no body follows
        // The callers of read_body and read_whole limit the size.
        this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        while (!this->parser->is_header_done())
        {
            boost::beast::error_code fault;
            if (!this->input.empty() && !parse_some(*this->parser, this->input, fault))
            {
                this->close();
                co_return io_outcome::garbled;
            }
            if (this->parser->is_header_done())
            {
                break;
            }
            const io_outcome end = co_await this->read_more(deadline);
            if (end != io_outcome::good)
            {
                co_return end;
            }
        }
        if (this->parser->head.status < first_final_status)
        {
            if (++interim_responses > max_interim_responses)
            {
                co_return this->close_garbled();
            }
            continue;
        }
        ++this->responses_read;
        this->unreceived_bytes = 0;
        switch (match(this->parser->head))
        {
        case response_match::current:
            co_return io_outcome::good;
        case response_match::unknown:
            this->close();
            co_return io_outcome::unidentified;
        case response_match::other:
            break;
        }
        const io_outcome end = co_await this->skip_body(deadline);
        if (end != io_outcome::good)
        {
            co_return end;
        }
    }
}

task<io_outcome> upstream_connection::skip_body(time_point deadline)
{
    while (!this->parser->is_done())
    {
        const io_outcome end = co_await this->read_body(deadline);
        if (end != io_outcome::good)
        {
            co_return end;
        }
        this->skipped_bytes += this->take_body().size();
        if (this->skipped_bytes > max_skipped_bytes)
        {
            co_return this->close_garbled();
        }
    }
    co_return io_outcome::good;
}

task<bool> upstream_connection::wait_for_input(time_point until)
{
    // While the request is being written, a cancellation would end that too.
    if (this->closed || this->writing || this->has_parsable_input())
    {
        co_return true;
    }
    const auto self = this->shared_from_this();
    this->read_timer.arm(std::max<duration>(until - boot_now(), duration::zero()),
                         [self]
                         {
                             io_error ignored; // The wait ends by itself without it.
                             self->socket.cancel(ignored);
                         });
    io_error fault;
    co_await this->socket.async_wait(asio::socket_base::wait_read, store_error_in(fault));
    this->read_timer.disarm();
    co_return !fault || this->closed;
}

task<io_outcome> upstream_connection::read_body(time_point deadline)
{
    if (!this->has_parsable_input())
    {
        const io_outcome end = co_await this->read_more(deadline);
        if (end != io_outcome::good)
        {
            co_return end;
        }
    }
    co_return this->parse_body();
}

std::optional<io_outcome> upstream_connection::read_arrived()
{
    if (!this->has_parsable_input())
    {
        if (this->closed)
        {
            return this->closed_outcome();
        }
        io_error fault;
        const auto bytes = shared_read_buffer();
        const std::size_t count =
            this->socket.read_some(asio::buffer(bytes.data(), bytes.size()), fault);
        if (fault == asio::error::would_block || fault == asio::error::try_again)
        {
            return std::nullopt;
        }
        const io_outcome end = this->take_received({bytes.data(), count}, fault);
        if (end != io_outcome::good)
        {
            return end;
        }
    }
    return this->parse_body();
}

bool upstream_connection::has_unread_bytes()
{
    io_error ignored; // Then there are none.
    return this->has_parsable_input() || this->socket.available(ignored) > 0;
}

io_outcome upstream_connection::parse_body()
{
    boost::beast::error_code fault;
    if (!this->input.empty() && !parse_some(*this->parser, this->input, fault))
    {
        return this->close_garbled();
    }
    if (this->input.size() > max_unparsed_bytes && !this->parser->is_done())
    {
        return this->close_garbled();
    }
    this->update_held_resources();
    if (this->is_released)
    {
        return io_outcome::garbled;
    }
    // The end of a chunk is parsed together with the next one's header, which may come
    // much later than the chunk's bytes.
    this->incomplete_bytes = this->parser->is_done() ? 0 : this->input.size();
    return io_outcome::good;
}

task<io_outcome> upstream_connection::read_whole(time_point deadline,
                                                 std::size_t max_bytes)
{
    return this->read_arriving(duration::max(), deadline, max_bytes);
}

task<io_outcome> upstream_connection::read_arriving(duration max_pause,
                                                    time_point deadline,
                                                    std::size_t max_bytes)
{
    while (!this->parser->is_done())
    {
        const duration left = deadline - boot_now();
        const io_outcome end = co_await this->read_body(
            max_pause < left ? boot_now() + max_pause : deadline);
        if (end != io_outcome::good)
        {
            co_return end;
        }
        if (this->parser->body.size() > max_bytes)
        {
            co_return this->close_garbled();
        }
    }
    co_return io_outcome::good;
}

std::string upstream_connection::take_body()
{
    std::string taken;
    taken.swap(this->parser->body);
    this->update_held_resources();
    return taken;
}

void upstream_connection::set_idle(duration timeout)
{
    if (this->input.capacity() > max_idle_buffer)
    {
        std::string().swap(this->input);
    }
    this->is_idle = true;
    this->idle_since = boot_now();
    this->idle_timeout = timeout;
    this->set_kept_by_reader(0);
}

void upstream_connection::set_in_use()
{
    this->is_idle = false;
    this->request_sent_at = boot_now();
    process_memory_budget().renew(*this);
    this->update_held_resources();
}

bool upstream_connection::reusable() const
{
    return !this->closed && !this->writing && this->input.empty() && this->parser &&
           this->parser->is_done() && !this->parser->need_eof() &&
           this->parser->keep_alive();
}

bool upstream_connection::alive()
{
    if (this->closed)
    {
        return false;
    }
    char byte = 0;
    const auto count =
        ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Unexpected bytes, a close by the server and an error all make it unusable.
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void upstream_connection::close()
{
    this->closed = true;
    io_error ignored; // Fails only if the socket is closed already.
    this->socket.close(ignored);
    this->update_held_resources();
}

upstream_pool::upstream_pool(event_loop& io_loop, upstream_options initial_options)
    : loop(&io_loop)
    , options(initial_options)
{
}

std::shared_ptr<upstream_connection> upstream_pool::take(const std::string& address,
                                                         std::string_view request_id)
{
    auto& connections = this->idle[address];
    const time_point now = boot_now();
    while (!connections.empty())
    {
        auto connection = connections.back();
        connections.pop_back();
        const bool has_carried_request =
            !request_id.empty() && connection->request_id() == request_id;
        const bool is_usable =
            !connection->is_idle_timeout_over(now) && !has_carried_request;
        connection->set_in_use();
        if (is_usable && connection->alive())
        {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

task<std::shared_ptr<upstream_connection>> upstream_pool::open(const std::string& address,
                                                               duration max_time)
{
    auto connection = std::make_shared<upstream_connection>(*this->loop, address);
    ++this->opened_count;
    if (!co_await connection->connect(
            std::min<duration>(this->options.connect_timeout, max_time)))
    {
        co_return nullptr;
    }
    co_return connection;
}

void upstream_pool::return_connection(
    const std::shared_ptr<upstream_connection>& connection)
{
    if (!connection->reusable())
    {
        connection->close();
        return;
    }
    const int stated_seconds =
        stated_idle_seconds(connection->head().field("Keep-Alive"));
    connection->set_idle(stated_seconds < 0
                             ? duration(this->options.default_idle_timeout)
                             : duration(std::chrono::seconds(stated_seconds)) -
                                   this->options.idle_timeout_margin);
    auto& connections = this->idle[connection->address()];
    connections.push_back(connection);
    if (connections.size() > this->options.max_idle_per_address)
    {
        connections.front()->close();
        connections.pop_front();
    }
}

void upstream_pool::close_expired()
{
    const time_point now = boot_now();
    for (auto address_pool = this->idle.begin(); address_pool != this->idle.end();)
    {
        std::erase_if(address_pool->second,
                      [now](const std::shared_ptr<upstream_connection>& connection)
                      {
                          if (!connection->is_idle_timeout_over(now) &&
                              connection->alive())
                          {
                              return false;
                          }
                          connection->close();
                          return true;
                      });
        address_pool = address_pool->second.empty() ? this->idle.erase(address_pool)
                                                    : std::next(address_pool);
    }
}

void upstream_pool::close_unwanted(const std::function<bool(const std::string&)>& keep)
{
    for (auto address_pool = this->idle.begin(); address_pool != this->idle.end();)
    {
        if (keep(address_pool->first))
        {
            ++address_pool;
            continue;
        }
        for (const auto& connection : address_pool->second)
        {
            connection->close();
        }
        address_pool = this->idle.erase(address_pool);
    }
}

} // namespace agateseam

#include <net/http_server.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <strings.h>
#include <thread>
#include <unordered_set>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds sweep_interval{200};
constexpr std::size_t read_block = 32 * 1024; // bytes

class server_impl;

/// One request's state, shared by libmicrohttpd's callbacks and the handler.
class exchange_impl final : public http_exchange,
                            public std::enable_shared_from_this<exchange_impl>
{
  public:
    explicit exchange_impl(MHD_Connection* peer)
        : connection(peer)
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

    void on_gone(std::function<void()> call) override;

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
    bool too_large = false;

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

class server_impl final : public http_server
{
  public:
    server_impl(const http_server_options& chosen, http_handler& target)
        : options(chosen)
        , handler(&target)
    {
    }

    ~server_impl() override { this->shut_down(); }
    server_impl(const server_impl&) = delete;
    server_impl& operator=(const server_impl&) = delete;

    [[nodiscard]] result<void> start();

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->bound_port;
    }

    [[nodiscard]] std::size_t open_exchanges() const noexcept override
    {
        const std::scoped_lock hold(this->mutex);
        return this->open.size();
    }

    void quiesce() override
    {
        if (!this->quiesced.exchange(true))
        {
            const int socket = static_cast<int>(MHD_quiesce_daemon(this->daemon));
            if (socket >= 0)
            {
                ::close(socket);
            }
        }
    }

    void add(const std::shared_ptr<exchange_impl>& exchange)
    {
        const std::scoped_lock hold(this->mutex);
        this->open.insert(exchange);
    }

    void drop(const std::shared_ptr<exchange_impl>& exchange)
    {
        const std::scoped_lock hold(this->mutex);
        this->open.erase(exchange);
    }

    http_server_options options;
    http_handler* handler;

  private:
    void sweep();
    void shut_down();
    [[nodiscard]] std::vector<std::shared_ptr<exchange_impl>> exchanges() const;

    MHD_Daemon* daemon = nullptr;
    std::uint16_t bound_port = 0;
    std::atomic<bool> quiesced{false};
    mutable std::mutex mutex;
    std::condition_variable stopping;
    bool stop_requested = false;
    std::unordered_set<std::shared_ptr<exchange_impl>> open;
    std::thread sweeper;
};

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
        this->wake_locked();
    }
}

void exchange_impl::on_gone(std::function<void()> call)
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

ssize_t stream_reader(void* context, std::uint64_t, char* buffer, std::size_t size)
{
    return static_cast<exchange_impl*>(context)->read(buffer, size);
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
    return response;
}

MHD_Result exchange_impl::queue_or_suspend()
{
    const std::scoped_lock hold(this->mutex);
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
    if (this->state == phase::aborted)
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

MHD_Result copy_header(void* context, MHD_ValueKind, const char* name, const char* value)
{
    auto* headers = static_cast<std::vector<http_header>*>(context);
    headers->emplace_back(name, value != nullptr ? value : "");
    return MHD_YES;
}

MHD_Result copy_argument(void* context, MHD_ValueKind, const char* name,
                         const char* value)
{
    auto* query = static_cast<std::string*>(context);
    if (!query->empty())
    {
        query->push_back('&');
    }
    query->append(name);
    if (value != nullptr)
    {
        query->append("=").append(value);
    }
    return MHD_YES;
}

MHD_Result reject(MHD_Connection* connection, unsigned status, std::string_view code)
{
    std::string body = R"({"error":{"message":"the request was not accepted","type":)"
                       R"("invalid_request_error","code":")";
    body.append(code).append(R"(","step":"receive","run":"not_run"}})");
    MHD_Response* response =
        MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, "x-agateseam-run", "not_run");
    MHD_add_response_header(response, "Connection", "close");
    const MHD_Result done = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return done;
}

MHD_Result first_call(server_impl& server, MHD_Connection* connection, const char* url,
                      const char* method, void** context)
{
    auto exchange = std::make_shared<exchange_impl>(connection);
    exchange->parsed.method = method;
    exchange->parsed.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, copy_header,
                              &exchange->parsed.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, copy_argument,
                              &exchange->parsed.query);
    const std::string length{exchange->parsed.header("Content-Length")};
    if (!length.empty() &&
        std::strtoull(length.c_str(), nullptr, 10) > server.options.body_limit)
    {
        return reject(connection, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
    }
    *context = new std::shared_ptr<exchange_impl>(exchange);
    server.add(exchange);
    return MHD_YES;
}

MHD_Result take_body_part(const server_impl& server, exchange_impl& exchange,
                          const char* data, std::size_t* size)
{
    const auto age = std::chrono::steady_clock::now() - exchange.start_time();
    if (exchange.parsed.body.size() + *size > server.options.body_limit ||
        age > server.options.request_limit)
    {
        return MHD_NO;
    }
    exchange.parsed.body.append(data, *size);
    *size = 0;
    return MHD_YES;
}

MHD_Result on_access(void* context, MHD_Connection* connection, const char* url,
                     const char* method, const char*, const char* data, std::size_t* size,
                     void** request_context)
{
    auto& server = *static_cast<server_impl*>(context);
    if (*request_context == nullptr)
    {
        return first_call(server, connection, url, method, request_context);
    }
    auto& exchange = *static_cast<std::shared_ptr<exchange_impl>*>(*request_context);
    if (*size > 0)
    {
        return take_body_part(server, *exchange, data, size);
    }
    if (!exchange->body_complete)
    {
        exchange->body_complete = true;
        server.handler->handle(exchange);
    }
    return exchange->queue_or_suspend();
}

void on_completed(void* context, MHD_Connection*, void** request_context,
                  MHD_RequestTerminationCode reason)
{
    if (*request_context == nullptr)
    {
        return;
    }
    auto* holder = static_cast<std::shared_ptr<exchange_impl>*>(*request_context);
    const std::shared_ptr<exchange_impl> exchange = *holder;
    *request_context = nullptr;
    exchange->complete(reason == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    static_cast<server_impl*>(context)->drop(exchange);
    delete holder;
}

result<sockaddr_in> socket_address(const http_server_options& options)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (::inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
    {
        return fail(error_code::invalid, "listen", options.address,
                    "the address is not an IPv4 number");
    }
    return address;
}

result<void> server_impl::start()
{
    const auto address = socket_address(this->options);
    if (!address)
    {
        return tl::unexpected<error>(address.error());
    }
    const bool tls = !this->options.certificate.empty();
    unsigned flags =
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    if (tls)
    {
        flags |= MHD_USE_TLS;
    }
    std::vector<MHD_OptionItem> items{
        {MHD_OPTION_SOCK_ADDR, 0,
         const_cast<sockaddr_in*>(&*address)}, // NOLINT: the library's type
        {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(this->options.threads),
         nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(this->options.connection_limit), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(this->options.header_limit * 2), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(this->options.idle_limit.count()), nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
    };
    if (tls)
    {
        items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, this->options.certificate.data()});
        items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, this->options.private_key.data()});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    this->daemon =
        MHD_start_daemon(flags, this->options.port, nullptr, nullptr, on_access, this,
                         MHD_OPTION_NOTIFY_COMPLETED, on_completed, this,
                         MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
    if (this->daemon == nullptr)
    {
        return fail(error_code::unavailable, "listen",
                    this->options.address + ":" + std::to_string(this->options.port),
                    "the address cannot be listened on");
    }
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
    this->bound_port = info != nullptr ? info->port : this->options.port;
    this->sweeper = std::thread([this] { this->sweep(); });
    return {};
}

std::vector<std::shared_ptr<exchange_impl>> server_impl::exchanges() const
{
    const std::scoped_lock hold(this->mutex);
    return {this->open.begin(), this->open.end()};
}

void server_impl::sweep()
{
    std::unique_lock hold(this->mutex);
    while (!this->stop_requested)
    {
        this->stopping.wait_for(hold, sweep_interval);
        hold.unlock();
        for (const auto& exchange : this->exchanges())
        {
            exchange->check_peer();
        }
        hold.lock();
    }
}

void server_impl::shut_down()
{
    {
        const std::scoped_lock hold(this->mutex);
        this->stop_requested = true;
    }
    this->stopping.notify_all();
    if (this->sweeper.joinable())
    {
        this->sweeper.join();
    }
    if (this->daemon != nullptr)
    {
        this->quiesce();
        for (const auto& exchange : this->exchanges())
        {
            exchange->stop();
        }
        MHD_stop_daemon(this->daemon);
    }
}

} // namespace

std::string_view http_request::header(std::string_view name) const noexcept
{
    for (const auto& [key, value] : this->headers)
    {
        if (key.size() == name.size() &&
            ::strncasecmp(key.data(), name.data(), name.size()) == 0)
        {
            return value;
        }
    }
    return {};
}

std::string http_request::query_argument(std::string_view name) const
{
    std::string_view rest = this->query;
    while (!rest.empty())
    {
        const std::size_t end = rest.find('&');
        const std::string_view item = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const std::size_t equals = item.find('=');
        if (item.substr(0, equals) == name)
        {
            return equals == std::string_view::npos
                       ? std::string{}
                       : std::string(item.substr(equals + 1));
        }
    }
    return {};
}

std::string url_decode(std::string_view text)
{
    std::string copy(text);
    std::replace(copy.begin(), copy.end(), '+', ' ');
    const std::size_t size = MHD_http_unescape(copy.data());
    copy.resize(size);
    return copy;
}

result<std::unique_ptr<http_server>>
http_server::create(const http_server_options& options, http_handler& handler)
{
    auto server = std::make_unique<server_impl>(options, handler);
    if (auto started = server->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return server;
}

} // namespace agateseam

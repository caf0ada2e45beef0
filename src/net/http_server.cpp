#include <net/http_exchange.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <strings.h>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds sweep_interval{200};
constexpr std::size_t discard_factor = 16; ///< Body limits read only to refuse politely.

/// One connection, from its begin to its end.
struct connection_watch
{
    int descriptor = -1;
    bool in_head = true; ///< Between requests, or in a request's head.
    steady_clock::time_point head_limit;
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
            this->current_phase.closing = true;
            const int socket = static_cast<int>(MHD_quiesce_daemon(this->daemon));
            if (socket >= 0)
            {
                ::close(socket);
            }
        }
    }

    void close_after_answers() override { this->current_phase.closing = true; }

    /// A connection begins; its first head must be complete within the request limit.
    [[nodiscard]] connection_watch* watch(int descriptor)
    {
        const std::scoped_lock hold(this->mutex);
        auto fresh = std::make_unique<connection_watch>();
        fresh->descriptor = descriptor;
        fresh->head_limit = steady_clock::now() + this->options.request_limit;
        connection_watch* const key = fresh.get();
        this->watches.emplace(key, std::move(fresh));
        return key;
    }

    void unwatch(connection_watch* watched)
    {
        const std::scoped_lock hold(this->mutex);
        this->watches.erase(watched);
    }

    /// A request's head is complete.
    void add(const std::shared_ptr<exchange_impl>& exchange, connection_watch* watched)
    {
        const std::scoped_lock hold(this->mutex);
        this->open.insert(exchange);
        watched->in_head = false;
    }

    /// A request is over; the connection may idle, then bring another one.
    void drop(const std::shared_ptr<exchange_impl>& exchange, connection_watch* watched)
    {
        const std::scoped_lock hold(this->mutex);
        this->open.erase(exchange);
        watched->in_head = true;
        watched->head_limit =
            steady_clock::now() + this->options.idle_limit + this->options.request_limit;
    }

    server_phase current_phase;
    http_server_options options;
    http_handler* handler;

  private:
    void sweep();
    void end_slow_heads();
    void shut_down();
    [[nodiscard]] std::vector<std::shared_ptr<exchange_impl>> exchanges() const;

    MHD_Daemon* daemon = nullptr;
    std::uint16_t bound_port = 0;
    std::atomic<bool> quiesced{false};
    mutable std::mutex mutex;
    std::condition_variable stopping;
    bool stop_requested = false;
    std::unordered_set<std::shared_ptr<exchange_impl>> open;
    std::unordered_map<connection_watch*, std::unique_ptr<connection_watch>> watches;
    std::thread sweeper;
};

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

[[nodiscard]] connection_watch* watch_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<connection_watch*>(info->socket_context);
}

void on_connection(void* context, MHD_Connection* connection, void** socket_context,
                   MHD_ConnectionNotificationCode code)
{
    auto& server = *static_cast<server_impl*>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
        const MHD_ConnectionInfo* info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *socket_context = server.watch(info->connect_fd);
        return;
    }
    server.unwatch(static_cast<connection_watch*>(*socket_context));
}

MHD_Result first_call(server_impl& server, MHD_Connection* connection, const char* url,
                      const char* method, void** context)
{
    auto exchange = std::make_shared<exchange_impl>(connection, server.current_phase);
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
    server.add(exchange, watch_of(connection));
    return MHD_YES;
}

/// Keeps a part of the body; what is past the limit is read and dropped, within bounds,
/// so that the client can hear of its refusal.
MHD_Result take_body_part(const server_impl& server, exchange_impl& exchange,
                          const char* data, std::size_t* size)
{
    const auto age = steady_clock::now() - exchange.start_time();
    const std::size_t limit = server.options.body_limit;
    exchange.received += *size;
    if (exchange.received > limit * discard_factor || age > server.options.request_limit)
    {
        return MHD_NO;
    }
    if (exchange.received > limit)
    {
        std::string().swap(exchange.parsed.body);
    }
    else
    {
        exchange.parsed.body.append(data, *size);
    }
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
    if (exchange->received > server.options.body_limit)
    {
        return reject(connection, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
    }
    if (!exchange->body_complete)
    {
        exchange->body_complete = true;
        server.handler->handle(exchange);
    }
    return exchange->queue_or_suspend();
}

void on_completed(void* context, MHD_Connection* connection, void** request_context,
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
    static_cast<server_impl*>(context)->drop(exchange, watch_of(connection));
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
    this->daemon = MHD_start_daemon(
        flags, this->options.port, nullptr, nullptr, on_access, this,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        on_connection, this, MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
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
        this->end_slow_heads();
        hold.lock();
    }
}

/// Ends connections whose head takes too long; libmicrohttpd then sees them closed.
void server_impl::end_slow_heads()
{
    const auto now = steady_clock::now();
    const std::scoped_lock hold(this->mutex);
    for (const auto& [key, watched] : this->watches)
    {
        if (watched->in_head && now > watched->head_limit)
        {
            ::shutdown(watched->descriptor, SHUT_RDWR);
        }
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
        this->current_phase.stopping = true;
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

#include <net/http_connection.hpp>
#include <net/http_exchange.hpp>
#include <net/socket_buffers.hpp>

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

constexpr std::chrono::milliseconds check_interval{200};
/// Up to this many times the body limit is read and discarded, so that the client reads
/// the refusal.
constexpr std::size_t max_discard_factor = 16;
/// The library parses a head in place, beside what it reads next.
constexpr std::size_t header_copies = 2;
constexpr std::size_t tls_memory = 64 << 10; // bytes of a session

class server_impl final : public http_server
{
  public:
    server_impl(const http_server_options& initial_options, http_handler& request_handler)
        : options(initial_options)
        , handler(&request_handler)
    {
        this->current_state->budget.set_limits(
            held_memory_limit(this->options.memory_bytes),
            std::min<std::size_t>(this->options.max_connections,
                                  connection_limit_of(descriptor_limit())));
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
        const std::scoped_lock lock(this->mutex);
        return this->open.size();
    }

    void quiesce() override
    {
        if (!this->quiesced.exchange(true))
        {
            this->current_state->closing = true;
            const int socket = static_cast<int>(MHD_quiesce_daemon(this->daemon));
            if (socket >= 0)
            {
                ::close(socket);
            }
        }
    }

    void close_after_answers() override { this->current_state->closing = true; }

    void answer_open(const std::function<void(http_exchange&)>& answer,
                     std::chrono::milliseconds max_wait) override
    {
        for (const auto& exchange : this->exchanges())
        {
            answer(*exchange);
        }
        std::unique_lock lock(this->mutex);
        this->exchange_ended.wait_for(lock, max_wait,
                                      [this] { return this->open.empty(); });
    }

    /// Tracks a new connection. Its first request head must be complete within the
    /// request time-out.
    [[nodiscard]] http_connection* add_connection(int descriptor)
    {
        auto created = std::make_unique<http_connection>(
            this->current_state->budget, descriptor, this->connection_memory());
        created->head_deadline = steady_clock::now() + this->options.request_timeout;
        http_connection* const key = created.get();
        const std::scoped_lock lock(this->mutex);
        this->connections.emplace(key, std::move(created));
        return key;
    }

    void remove_connection(http_connection* tracked)
    {
        const std::scoped_lock lock(this->mutex);
        this->connections.erase(tracked);
    }

    /// Adds the exchange of a request whose head is complete.
    void add_exchange(const std::shared_ptr<exchange_impl>& exchange,
                      http_connection* tracked)
    {
        const std::scoped_lock lock(this->mutex);
        this->open.insert(exchange);
        tracked->awaits_head = false;
    }

    /// Removes the exchange of a finished request. The connection may then be idle and
    /// receive another request.
    void remove_exchange(const std::shared_ptr<exchange_impl>& exchange,
                         http_connection* tracked)
    {
        tracked->hold();
        const std::scoped_lock lock(this->mutex);
        this->open.erase(exchange);
        tracked->awaits_head = true;
        tracked->head_deadline = steady_clock::now() + this->options.idle_timeout +
                                 this->options.request_timeout;
        this->exchange_ended.notify_all();
    }

    /// Returns the memory of the library for one connection.
    [[nodiscard]] std::size_t connection_memory() const noexcept
    {
        return this->options.max_header_bytes * header_copies +
               (this->options.certificate.empty() ? 0 : tls_memory);
    }

    std::shared_ptr<server_state> current_state = std::make_shared<server_state>();
    http_server_options options;
    http_handler* handler;

  private:
    void limit_sockets() const;
    void run_checks();
    void close_slow_connections();
    void shut_down();
    [[nodiscard]] std::vector<std::shared_ptr<exchange_impl>> exchanges() const;

    MHD_Daemon* daemon = nullptr;
    std::uint16_t bound_port = 0;
    std::atomic<bool> quiesced{false};
    mutable std::mutex mutex;
    std::condition_variable stop_signal;
    std::condition_variable exchange_ended;
    bool stop_requested = false;
    std::unordered_set<std::shared_ptr<exchange_impl>> open;
    std::unordered_map<http_connection*, std::unique_ptr<http_connection>> connections;
    std::thread checker;
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
    if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    {
        MHD_add_response_header(response, "Retry-After", "1");
    }
    const MHD_Result queue_result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queue_result;
}

[[nodiscard]] http_connection* state_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<http_connection*>(info->socket_context);
}

void on_connection(void* context, MHD_Connection* connection, void** socket_context,
                   MHD_ConnectionNotificationCode code)
{
    auto& server = *static_cast<server_impl*>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
        const MHD_ConnectionInfo* info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *socket_context = server.add_connection(info->connect_fd);
        return;
    }
    server.remove_connection(static_cast<http_connection*>(*socket_context));
}

MHD_Result begin_request(server_impl& server, MHD_Connection* connection, const char* url,
                         const char* method, void** context)
{
    auto exchange = std::make_shared<exchange_impl>(connection, server.current_state);
    exchange->parsed.method = method;
    exchange->parsed.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, copy_header,
                              &exchange->parsed.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, copy_argument,
                              &exchange->parsed.query);
    const std::string length{exchange->parsed.header("Content-Length")};
    if (!length.empty() &&
        std::strtoull(length.c_str(), nullptr, 10) > server.options.max_body_bytes)
    {
        return reject(connection, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
    }
    exchange->set_head_bytes();
    *context = new std::shared_ptr<exchange_impl>(exchange);
    server.add_exchange(exchange, state_of(connection));
    return MHD_YES;
}

/// Stores a part of the body. A body over the limit is read and discarded, up to a bound,
/// so that the client can read the refusal.
MHD_Result receive_body_part(const server_impl& server, exchange_impl& exchange,
                             const char* data, std::size_t* size)
{
    const auto age = steady_clock::now() - exchange.start_time();
    const std::size_t limit = server.options.max_body_bytes;
    exchange.append_body({data, *size}, limit);
    if (exchange.received > limit * max_discard_factor ||
        age > server.options.request_timeout)
    {
        return MHD_NO;
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
        return begin_request(server, connection, url, method, request_context);
    }
    auto& exchange = *static_cast<std::shared_ptr<exchange_impl>*>(*request_context);
    if (*size > 0)
    {
        return receive_body_part(server, *exchange, data, size);
    }
    if (exchange->received > server.options.max_body_bytes)
    {
        return reject(connection, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large");
    }
    if (!exchange->body_complete)
    {
        http_connection& tracked = *state_of(connection);
        tracked.lend();
        if (!exchange->complete_request(tracked.memory_size()))
        {
            return reject(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "overloaded");
        }
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
    auto* context_exchange =
        static_cast<std::shared_ptr<exchange_impl>*>(*request_context);
    const std::shared_ptr<exchange_impl> exchange = *context_exchange;
    *request_context = nullptr;
    exchange->complete(reason == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    static_cast<server_impl*>(context)->remove_exchange(exchange, state_of(connection));
    delete context_exchange;
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
    std::vector<MHD_OptionItem> daemon_options{
        {MHD_OPTION_SOCK_ADDR, 0,
         const_cast<sockaddr_in*>(&*address)}, // NOLINT: the library's type
        {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(this->options.threads),
         nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(this->options.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(this->options.max_header_bytes * header_copies), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(this->options.idle_timeout.count()), nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
    };
    if (tls)
    {
        daemon_options.push_back(
            {MHD_OPTION_HTTPS_MEM_CERT, 0, this->options.certificate.data()});
        daemon_options.push_back(
            {MHD_OPTION_HTTPS_MEM_KEY, 0, this->options.private_key.data()});
    }
    daemon_options.push_back({MHD_OPTION_END, 0, nullptr});
    this->daemon = MHD_start_daemon(
        flags, this->options.port, nullptr, nullptr, on_access, this,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        on_connection, this, MHD_OPTION_ARRAY, daemon_options.data(), MHD_OPTION_END);
    if (this->daemon == nullptr)
    {
        return fail(error_code::unavailable, "listen",
                    this->options.address + ":" + std::to_string(this->options.port),
                    "the address cannot be listened on");
    }
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
    this->bound_port = info != nullptr ? info->port : this->options.port;
    this->limit_sockets();
    this->checker = std::thread([this] { this->run_checks(); });
    return {};
}

/// Limits what the kernel keeps for the connections that are accepted from now on.
void server_impl::limit_sockets() const
{
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (info != nullptr)
    {
        limit_socket_buffers(info->listen_fd, receive_buffer::large);
    }
}

std::vector<std::shared_ptr<exchange_impl>> server_impl::exchanges() const
{
    const std::scoped_lock lock(this->mutex);
    return {this->open.begin(), this->open.end()};
}

void server_impl::run_checks()
{
    std::unique_lock lock(this->mutex);
    while (!this->stop_requested)
    {
        this->stop_signal.wait_for(lock, check_interval);
        lock.unlock();
        for (const auto& exchange : this->exchanges())
        {
            exchange->check_disconnect();
        }
        this->close_slow_connections();
        lock.lock();
    }
}

/// Shuts down connections whose request head takes too long. libmicrohttpd then sees
/// them closed and releases them.
void server_impl::close_slow_connections()
{
    const auto now = steady_clock::now();
    const std::scoped_lock lock(this->mutex);
    for (const auto& [key, tracked] : this->connections)
    {
        if (tracked->awaits_head && now > tracked->head_deadline)
        {
            tracked->shut_down();
        }
    }
}

void server_impl::shut_down()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stop_requested = true;
    }
    this->stop_signal.notify_all();
    if (this->checker.joinable())
    {
        this->checker.join();
    }
    if (this->daemon != nullptr)
    {
        this->quiesce();
        this->current_state->stopping = true;
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

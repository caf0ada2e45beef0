#include <algorithm>
#include <functional>
#include <thread>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <transport/upstream_connection.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

/// A server that serves one connection by a function of its socket.
class one_connection_server
{
  public:
    explicit one_connection_server(std::function<void(int)> serve_connection)
        : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const socket_address = reinterpret_cast<sockaddr*>(&address);
        const int receive_buffer = 4 << 10;
        REQUIRE(::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                             sizeof receive_buffer) == 0);
        REQUIRE(::bind(this->listener, socket_address, size) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
        REQUIRE(::getsockname(this->listener, socket_address, &size) == 0);
        this->port = ntohs(address.sin_port);
        this->worker =
            std::thread([serve = std::move(serve_connection), socket = this->listener]
                        { serve(::accept(socket, nullptr, nullptr)); });
    }

    ~one_connection_server()
    {
        this->worker.join();
        ::close(this->listener);
    }

    one_connection_server(const one_connection_server&) = delete;
    one_connection_server& operator=(const one_connection_server&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

  private:
    int listener;
    std::uint16_t port = 0;
    std::thread worker;
};

void send_text(int connection, std::string_view text)
{
    (void)::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

void read_some(int connection)
{
    char bytes[512];
    (void)::recv(connection, bytes, sizeof bytes, 0);
}

/// Reads a request to the end of its body, which is of the letter x, as the head isn't.
void read_request(int connection, std::size_t body_size)
{
    std::string bytes(64 << 10, ' ');
    while (body_size > 0)
    {
        const auto count = ::recv(connection, bytes.data(), bytes.size(), 0);
        if (count <= 0)
        {
            return;
        }
        body_size -= static_cast<std::size_t>(
            std::count(bytes.begin(), bytes.begin() + count, 'x'));
    }
}

void reset(int connection)
{
    const linger at_once{1, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(connection);
}

/// The outcome of reading a response and the bytes of its body.
struct read_result
{
    io_outcome head = io_outcome::not_sent;
    io_outcome body = io_outcome::not_sent;
    std::string bytes;
};

task<void> fetch_into(event_loop& loop, std::string address, std::size_t request_size,
                      duration pause, read_result& fetched)
{
    const auto link = std::make_shared<upstream_connection>(loop, std::move(address));
    const bool is_connected = co_await link->connect(1s);
    REQUIRE(is_connected);
    link->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(request_size) +
                   "\r\n\r\n",
               std::make_shared<const std::string>(request_size, 'x'));
    const time_point deadline = boot_now() + 5s;
    fetched.head = co_await link->read_head(deadline, [](const message_head&)
                                            { return response_match::current; });
    if (fetched.head != io_outcome::good)
    {
        link->close();
        co_return;
    }
    co_await pause_for(loop, pause);
    fetched.body = co_await link->read_whole(deadline, 1 << 20);
    fetched.bytes = link->take_body();
    link->close();
}

/// Fetches from a server with a request of the size.
/// \param pause before the body of the response is read.
read_result fetch(const one_connection_server& server, std::size_t request_size,
                  duration pause = duration::zero())
{
    read_result fetched;
    event_loop loop{1};
    spawn(loop,
          [&]() -> task<void>
          { co_await fetch_into(loop, server.address(), request_size, pause, fetched); });
    loop.run();
    return fetched;
}

constexpr std::size_t large_request = 8 << 20; ///< More than the sockets' buffers.
/// More than the server's receive buffer; it fits into the client's send buffer.
constexpr std::size_t buffered_request = 64 << 10;
constexpr std::string_view head_without_length =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a reset that only the write of the request sees, after which the end of
// a response without a length passes for its proper end.
TEST_CASE("a response without a length that is reset during the request is incomplete")
{
    for (const duration pause : {duration::zero(), duration(150ms)})
    {
        const one_connection_server server(
            [](int connection)
            {
                read_some(connection);
                send_text(connection, head_without_length);
                send_text(connection, "half of it");
                std::this_thread::sleep_for(50ms);
                reset(connection);
            });
        const read_result fetched = fetch(server, large_request, pause);
        CHECK(fetched.head == io_outcome::good);
        CHECK(fetched.body == io_outcome::broken);
    }
}

TEST_CASE("a response without a length that closes during the request is incomplete")
{
    for (const std::size_t request_size : {large_request, buffered_request})
    {
        const one_connection_server server(
            [](int connection)
            {
                read_some(connection);
                send_text(connection, head_without_length);
                send_text(connection, "half of it");
                ::shutdown(connection, SHUT_WR);
                std::this_thread::sleep_for(100ms);
                reset(connection);
            });
        const read_result fetched = fetch(server, request_size, 30ms);
        CHECK(fetched.head == io_outcome::good);
        CHECK(fetched.body == io_outcome::broken);
    }
}

TEST_CASE("a response without a length ends with a close after the request was read")
{
    for (const std::size_t request_size : {std::size_t{10}, large_request})
    {
        const one_connection_server server(
            [request_size](int connection)
            {
                send_text(connection, head_without_length);
                read_request(connection, request_size);
                send_text(connection, "all of it");
                ::close(connection);
            });
        const read_result fetched = fetch(server, request_size);
        CHECK(fetched.body == io_outcome::good);
        CHECK(fetched.bytes == "all of it");
    }
}

// Guards against a response that is taken for complete although its head isn't.
TEST_CASE("a response that ends within its head is broken")
{
    const std::string response = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\n";
    for (std::size_t size = 0; size < response.size(); ++size)
    {
        for (const bool is_reset : {false, true})
        {
            const one_connection_server server(
                [part = response.substr(0, size), is_reset](int connection)
                {
                    read_request(connection, 10);
                    send_text(connection, part);
                    is_reset ? reset(connection) : void(::close(connection));
                });
            CHECK(fetch(server, 10).head == io_outcome::broken);
        }
    }
}

namespace
{

/// Returns answers that aren't valid HTTP, each with a complete body of the letters
/// "body" if it is read regardless.
std::vector<std::string> invalid_answers()
{
    const std::string body = "Content-Length: 4\r\n\r\nbody";
    std::vector<std::string> answers;
    for (const std::string_view status_line :
         {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X",
          "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
          "HTTP/1.1 -20 X", "HTTP/1.1 2x0 X", "HTTP/1.1  200 X", "HTTP/2.0 200 X",
          "HTTP/11 200 X", "HTTP 200 X", "ICY 200 OK", "HTTP/1.1 200 X\x01Y",
          " HTTP/1.1 200 X"})
    {
        answers.push_back(std::string(status_line) + "\r\n" + body);
    }
    using namespace std::string_literals;
    for (const std::string& line : {"Na me: v"s,
                                    "Name : v"s,
                                    "Na\x01me: v"s,
                                    "Na\x7fme: v"s,
                                    "Na\0me: v"s,
                                    "Na\x80me: v"s,
                                    "Na\tme: v"s,
                                    "Na(me: v"s,
                                    ": v"s,
                                    "no colon"s,
                                    "Name: v\0w"s,
                                    "Name: v\x01w"s,
                                    "Name: v\x7fw"s,
                                    "Name: v\rw"s,
                                    "Name: v\nw"s,
                                    "Content-Length: 3"s,
                                    "Content-Length: 4, 5"s,
                                    "Content-Length: +4"s,
                                    "Content-Length: -4"s,
                                    "Content-Length: 0x4"s,
                                    "Content-Length: 4 4"s,
                                    "Content-Length: "s,
                                    "Content-Length: 99999999999999999999999"s,
                                    "Transfer-Encoding: gzip"s,
                                    "Transfer-Encoding: xchunked"s,
                                    "Transfer-Encoding: chunked, gzip"s,
                                    "Transfer-Encoding: gzip, chunked"s,
                                    "Transfer-Encoding: identity"s})
    {
        answers.push_back("HTTP/1.1 200 X\r\n" + line + "\r\n" + body);
    }
    for (const std::string_view chunks :
         {"g\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n",
          "\r\nbody\r\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n",
          "4\r\nbody\r\n0\r\nNa me: v\r\n\r\n"})
    {
        answers.push_back("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" +
                          std::string(chunks));
    }
    return answers;
}

} // namespace

// Guards against an answer that isn't valid HTTP and is passed on, whole or in part.
TEST_CASE("an answer that is not valid HTTP is garbled")
{
    for (const std::string& answer : invalid_answers())
    {
        CAPTURE(answer);
        const one_connection_server server(
            [&answer](int connection)
            {
                read_request(connection, 10);
                send_text(connection, answer);
                ::close(connection);
            });
        const read_result fetched = fetch(server, 10);
        const io_outcome end =
            fetched.head == io_outcome::good ? fetched.body : fetched.head;
        CHECK(end == io_outcome::garbled);
    }
}

TEST_CASE("each status of HTTP is accepted")
{
    for (const std::string_view status : {"200", "299", "404", "418", "503", "599"})
    {
        CAPTURE(status);
        const one_connection_server server(
            [status](int connection)
            {
                read_request(connection, 10);
                send_text(connection, "HTTP/1.1 " + std::string(status) +
                                          "\r\nX-\xc3\x9c: no token\r\n");
                ::close(connection);
            });
        const one_connection_server sound(
            [status](int connection)
            {
                read_request(connection, 10);
                send_text(connection, "HTTP/1.1 " + std::string(status) +
                                          " \xc3\x9c\r\nX: \xc3\x9c\tx \r\n"
                                          "Content-Length: 4\r\n\r\nbody");
                ::close(connection);
            });
        CHECK(fetch(server, 10).head == io_outcome::garbled);
        CHECK(fetch(sound, 10).bytes == "body");
    }
}

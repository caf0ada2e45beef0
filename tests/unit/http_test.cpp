#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <agateseam/published.hpp>
#include <fakes/service_fake.hpp>
#include <net/http_client.hpp>

using namespace agateseam;

namespace
{

/// A server that accepts one connection, sends fixed bytes and closes it. It may read a
/// second request before it closes.
class fixed_answer_server
{
  public:
    explicit fixed_answer_server(std::string bytes, bool reads_another_request = false)
        : answer(std::move(bytes))
        , reads_another(reads_another_request)
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const socket_address = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(this->listener, socket_address, size) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
        REQUIRE(::getsockname(this->listener, socket_address, &size) == 0);
        this->port = ntohs(address.sin_port);
        this->worker = std::thread([this] { this->serve(); });
    }

    ~fixed_answer_server() { this->worker.join(); }
    fixed_answer_server(const fixed_answer_server&) = delete;
    fixed_answer_server& operator=(const fixed_answer_server&) = delete;

    std::uint16_t port = 0;

  private:
    void serve() const
    {
        const int connection = ::accept(this->listener, nullptr, nullptr);
        std::string request(4'096, ' ');
        (void)::recv(connection, request.data(), request.size(), 0);
        (void)::send(connection, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
        if (this->reads_another)
        {
            (void)::recv(connection, request.data(), request.size(), 0);
        }
        ::close(this->listener);
        ::close(connection);
    }

    std::string answer;
    bool reads_another;
    int listener;
    std::thread worker;
};

result<http_reply> fetch_fixed_answer(std::string bytes)
{
    const fixed_answer_server server(std::move(bytes));
    const auto client = http_client::create({});
    REQUIRE(client);
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    call.max_body_bytes = 1 << 20;
    return (*client)->fetch(call);
}

/// Returns the beginning of an answer in whose head a part comes again and again, or in
/// whose body if the part is a single letter.
std::string make_long_answer(std::string_view repeated)
{
    constexpr std::size_t size = 64 << 20;
    std::ostringstream bytes;
    if (!repeated.starts_with("HTTP"))
    {
        bytes << "HTTP/1.1 200 X\r\n";
    }
    if (repeated.size() == 1)
    {
        bytes << "Content-Length: 999999999\r\n\r\n";
    }
    for (std::size_t written = 0; written < size; written += repeated.size())
    {
        bytes << repeated;
    }
    return bytes.str();
}

} // namespace

TEST_CASE("an answer that the server cuts short is an error")
{
    for (const std::string_view bytes :
         {"HTTP/1.0 200 OK\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    {
        CAPTURE(bytes);
        const auto reply = fetch_fixed_answer(std::string(bytes));
        REQUIRE(!reply);
        CHECK(reply.error().code == error_code::broken);
    }
    const auto reply =
        fetch_fixed_answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    REQUIRE(reply);
    CHECK(reply->body == "whole");
}

// Guards against an answer that isn't valid HTTP and is passed on, whole or in part.
TEST_CASE("a call whose answer is not valid HTTP fails")
{
    using namespace std::string_literals;
    const std::string body = "Content-Length: 4\r\n\r\nbody";
    std::vector<std::string> answers;
    for (const std::string_view status_line :
         {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X",
          "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 2x0 X",
          "HTTP/1.1  200 X", "HTTP 200 X", "ICY 200 OK", "HTTP/1.1 200 X\x01Y"})
    {
        answers.push_back(std::string(status_line) + "\r\n" + body);
    }
    for (const std::string& line : {"Na me: v"s,
                                    "Name : v"s,
                                    "Na\x01me: v"s,
                                    "Na\x7fme: v"s,
                                    "Na\0me: v"s,
                                    "Na\x80me: v"s,
                                    ": v"s,
                                    "no colon"s,
                                    "Name: v\0w"s,
                                    "Name: v\x01w"s,
                                    "Name: v\rw"s,
                                    "A: b\r\n folded: v"s,
                                    "Content-Length: 3"s,
                                    "Content-Length: 4, 5"s,
                                    "Content-Length: +4"s,
                                    "Content-Length: 0x4"s,
                                    "Content-Length: "s,
                                    "Transfer-Encoding: gzip"s,
                                    "Transfer-Encoding: identity"s,
                                    "Transfer-Encoding: gzip, chunked"s})
    {
        answers.push_back("HTTP/1.1 200 X\r\n" + line + "\r\n" + body);
    }
    answers.emplace_back("HTTP/1.1 200 X\r\nTransfer-Encoding: identity\r\n\r\nbo");
    for (const std::string& answer : answers)
    {
        CAPTURE(answer);
        const auto reply = fetch_fixed_answer(answer);
        REQUIRE(!reply);
        CHECK(reply.error().code == error_code::broken);
    }
}

TEST_CASE("an answer without end is broken off")
{
    for (const std::string_view repeated :
         {"Name: value\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "x"})
    {
        CAPTURE(repeated);
        const auto reply = fetch_fixed_answer(make_long_answer(repeated));
        REQUIRE(!reply);
        CHECK(reply.error().code == error_code::broken);
        CHECK(reply.error().description.find("too large") != std::string::npos);
    }
}

// Guards against a call that a server read on a kept connection and that counts as not
// sent because the client's own repeat finds no listener.
TEST_CASE("a call that was sent on a kept connection may have run")
{
    const fixed_answer_server server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                     true);
    const auto client = http_client::create({});
    REQUIRE(client);
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    call.body = "{}";
    REQUIRE((*client)->fetch(call));
    const auto second = (*client)->fetch(call);
    REQUIRE(!second);
    CHECK(second.error().code == error_code::broken);
}

TEST_CASE("a call over loopback gets the complete answer")
{
    auto service = fakes::service_fake::create({});
    REQUIRE(service);
    auto client = http_client::create({});
    REQUIRE(client);
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string((*service)->port()) + "/book";
    call.body = "{}";
    const auto reply = (*client)->fetch(call);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    call.url = "http://127.0.0.1:" + std::to_string((*service)->port()) + "/admin/runs";
    call.method = "GET";
    const auto runs = (*client)->fetch(call);
    REQUIRE(runs);
    CHECK(runs->body.find("/book") != std::string::npos);
}

TEST_CASE("a published snapshot replaces the previous one")
{
    published<int> snapshot;
    CHECK(snapshot.read().get() == nullptr);
    snapshot.publish(std::make_unique<const int>(1));
    snapshot.publish(std::make_unique<const int>(2));
    CHECK(*snapshot.read() == 2);
}

namespace
{

/// Starts the same call again whenever it ends, as a retry does.
class restarting_sink final : public http_sink,
                              public std::enable_shared_from_this<restarting_sink>
{
  public:
    restarting_sink(http_client& retry_client, http_call repeated_call, int& call_counter)
        : client(&retry_client)
        , call(std::move(repeated_call))
        , ended_calls(&call_counter)
    {
    }

    void on_head(int, const std::vector<http_header>&) override {}
    [[nodiscard]] bool on_data(std::string_view) override { return true; }

    void on_done(const result<void>&) override
    {
        ++*this->ended_calls;
        this->client->start(this->call, this->shared_from_this());
    }

  private:
    http_client* client;
    http_call call;
    int* ended_calls;
};

} // namespace

TEST_CASE("a stopping client ends open calls once and drops calls started meanwhile")
{
    fakes::service_options slow_service;
    slow_service.delay = std::chrono::minutes(1);
    auto service = fakes::service_fake::create(slow_service);
    REQUIRE(service);
    auto client = http_client::create({});
    REQUIRE(client);
    int ended_calls = 0;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string((*service)->port()) + "/wait";
    (*client)->start(call,
                     std::make_shared<restarting_sink>(**client, call, ended_calls));
    (*client)->stop();
    CHECK(ended_calls == 1);
}

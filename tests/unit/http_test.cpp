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

/// Answers one connection with fixed bytes and closes it.
class canned_server
{
  public:
    explicit canned_server(std::string bytes)
        : answer(std::move(bytes))
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(this->listener, generic, size) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
        REQUIRE(::getsockname(this->listener, generic, &size) == 0);
        this->port = ntohs(address.sin_port);
        this->worker = std::thread([this] { this->serve(); });
    }

    ~canned_server()
    {
        this->worker.join();
        ::close(this->listener);
    }
    canned_server(const canned_server&) = delete;
    canned_server& operator=(const canned_server&) = delete;

    std::uint16_t port = 0;

  private:
    void serve() const
    {
        const int peer = ::accept(this->listener, nullptr, nullptr);
        std::string request(4'096, ' ');
        (void)::recv(peer, request.data(), request.size(), 0);
        (void)::send(peer, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
        ::close(peer);
    }

    std::string answer;
    int listener;
    std::thread worker;
};

result<http_reply> fetch_canned(std::string bytes)
{
    const canned_server server(std::move(bytes));
    const auto client = http_client::create({});
    REQUIRE(client);
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    return (*client)->fetch(call);
}

} // namespace

TEST_CASE("an answer without its proper end is never whole")
{
    for (const std::string_view bytes :
         {"HTTP/1.0 200 OK\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    {
        CAPTURE(bytes);
        const auto reply = fetch_canned(std::string(bytes));
        REQUIRE(!reply);
        CHECK(reply.error().code == error_code::broken);
    }
    const auto reply = fetch_canned("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    REQUIRE(reply);
    CHECK(reply->body == "whole");
}

TEST_CASE("a whole answer arrives once over loopback")
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

TEST_CASE("a published snapshot replaces the one before")
{
    published<int> slot;
    CHECK(slot.read().get() == nullptr);
    slot.publish(std::make_unique<const int>(1));
    slot.publish(std::make_unique<const int>(2));
    CHECK(*slot.read() == 2);
}

namespace
{

/// Starts the same call again whenever it ends, as a retry does.
class repeating_sink final : public http_sink,
                             public std::enable_shared_from_this<repeating_sink>
{
  public:
    repeating_sink(http_client& target, http_call repeated, int& ended)
        : client(&target)
        , call(std::move(repeated))
        , ends(&ended)
    {
    }

    void on_head(int, const std::vector<http_header>&) override {}
    [[nodiscard]] bool on_data(std::string_view) override { return true; }

    void on_done(const result<void>&) override
    {
        ++*this->ends;
        this->client->start(this->call, this->shared_from_this());
    }

  private:
    http_client* client;
    http_call call;
    int* ends;
};

} // namespace

TEST_CASE("a client that stops ends open calls once and drops what they start")
{
    fakes::service_options slow;
    slow.delay = std::chrono::minutes(1);
    auto service = fakes::service_fake::create(slow);
    REQUIRE(service);
    auto client = http_client::create({});
    REQUIRE(client);
    int ended = 0;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string((*service)->port()) + "/wait";
    (*client)->start(call, std::make_shared<repeating_sink>(**client, call, ended));
    (*client)->stop();
    CHECK(ended == 1);
}

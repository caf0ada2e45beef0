#include <doctest/doctest.h>

#include <agateseam/published.hpp>
#include <fakes/service_fake.hpp>
#include <net/http_client.hpp>

using namespace agateseam;

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

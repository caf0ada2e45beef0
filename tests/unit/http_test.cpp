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

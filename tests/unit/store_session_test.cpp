#include <doctest/doctest.h>

#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

#include <platform/store_session.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

class silent_listener final : public platform_listener
{
  public:
    void on_configuration(std::shared_ptr<const routing_table>, std::string) override {}
    void on_servers(std::vector<backend_server>, bool) override {}
    void on_server_changed(backend_server) override {}
    void on_server_removed(std::string_view, bool) override {}
    void on_evacuations(const std::vector<std::string>&, store_position,
                        std::string_view) override
    {
    }
    void on_evacuation_changed(std::string_view, bool, store_position,
                               std::string_view) override
    {
    }
    void on_entries(std::vector<registered_entry>) override {}
    void on_store_reachability_changed(bool, std::string_view) override {}
    void on_store_era_changed(std::uint64_t, std::uint64_t) override {}
    [[nodiscard]] store_watch_plan plan_watch() const override { return {}; }
};

/// A session that could not call the store, whose followers wait to call it again.
class failing_session
{
  public:
    /// \param store_address "IP:port" of a store that doesn't respond.
    /// \param timeout of the call.
    explicit failing_session(std::string store_address, duration timeout = 1s)
        : address(std::move(store_address))
    {
        spawn(this->loop,
              [this, timeout]() -> task<void>
              {
                  co_await this->session.call(this->client, "GET", "/", nullptr, timeout);
                  this->has_failed = true;
              });
        while (!this->has_failed)
        {
            this->loop.poll();
        }
        this->loop.restart();
    }

    /// Starts as many waits as follow from `failures` and `count` failed calls. Only the
    /// last ones are counted, which are the longest.
    void add_followers(int failures, int count)
    {
        for (int failure = 0; failure < failures + count; ++failure)
        {
            spawn(this->loop,
                  [this, is_counted = failure >= failures]() -> task<void>
                  {
                      co_await this->session.wait_before_retry();
                      this->retries += is_counted ? 1 : 0;
                  });
        }
        this->loop.poll();
    }

    /// Records the report of a relay to which the store has just begun to respond.
    /// \returns the number of waits that it ends.
    int answer()
    {
        const int before = this->retries;
        this->session.record_relay_report({}, "127.0.0.1:2", boot_now());
        this->loop.poll();
        return this->retries - before;
    }

  private:
    std::string address;
    event_loop loop;
    silent_listener listener;
    store_session session{this->loop, this->address, this->listener, 1};
    store_client client{this->loop, this->address};
    bool has_failed = false;
    int retries = 0;
};

constexpr const char* closed_port = "127.0.0.1:1";

/// A store that accepts connections and never responds.
class silent_store
{
  public:
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

  private:
    event_loop loop;
    boost::asio::ip::tcp::acceptor acceptor{this->loop,
                                            {boost::asio::ip::address_v4::loopback(), 0}};
};

} // namespace

TEST_CASE("the end of an outage ends all waits before a retry")
{
    failing_session failing(closed_port);
    std::this_thread::sleep_for(store_availability::min_outage_time);
    failing.add_followers(5, 6);
    CHECK(failing.answer() == 6);
}

TEST_CASE("a call that had little time and got no response begins no outage")
{
    const silent_store store;
    failing_session failing(store.address(), 50ms);
    std::this_thread::sleep_for(store_availability::min_outage_time);
    failing.add_followers(5, 6);
    CHECK(failing.answer() == 0);
}

TEST_CASE("a call that had enough time and got no response begins an outage")
{
    const silent_store store;
    failing_session failing(store.address(), store_availability::min_outage_time);
    std::this_thread::sleep_for(store_availability::min_outage_time);
    failing.add_followers(5, 6);
    CHECK(failing.answer() == 6);
}

TEST_CASE("an answer after a short failure ends no wait before a retry")
{
    failing_session failing(closed_port);
    failing.add_followers(5, 6);
    CHECK(failing.answer() == 0);
}

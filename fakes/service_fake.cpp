#include <fakes/service_fake.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

namespace agateseam::fakes
{

namespace
{

using json = nlohmann::json;
using std::chrono::steady_clock;

struct pending_run
{
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due;
};

class service_impl final : public service_fake, public http_handler
{
  public:
    explicit service_impl(const service_options& chosen)
        : options(chosen)
    {
    }

    ~service_impl() override
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        if (this->worker.joinable())
        {
            this->worker.join();
        }
        this->server.reset();
    }
    service_impl(const service_impl&) = delete;
    service_impl& operator=(const service_impl&) = delete;

    result<void> start()
    {
        http_server_options listen;
        listen.address = this->options.address;
        listen.port = this->options.port;
        listen.threads = 1;
        auto created = http_server::create(listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        this->worker = std::thread([this] { this->run(); });
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void handle(std::shared_ptr<http_exchange> exchange) override
    {
        const std::scoped_lock hold(this->mutex);
        const http_request& request = exchange->request();
        if (request.path == "/admin/runs")
        {
            exchange->respond(200, {}, this->runs.dump());
            return;
        }
        if (request.path == "/admin/faults")
        {
            const json body = json::parse(request.body, nullptr, false);
            this->die_after_run = body.is_object() && body.value("die_after_run", false);
            exchange->respond(200, {}, "{}");
            return;
        }
        this->runs.push_back({{"path", request.path},
                              {"key", request.header("Idempotency-Key")},
                              {"request", request.header("x-request-id")},
                              {"saw_key", !request.header("Authorization").empty()}});
        this->waiting.push_back({exchange, steady_clock::now() + this->options.delay});
        this->changed.notify_all();
    }

  private:
    void run()
    {
        std::unique_lock hold(this->mutex);
        while (!this->stopping)
        {
            if (this->waiting.empty())
            {
                this->changed.wait(hold);
                continue;
            }
            const pending_run next = this->waiting.front();
            if (next.due > steady_clock::now())
            {
                this->changed.wait_until(hold, next.due);
                continue;
            }
            this->waiting.pop_front();
            this->answer(*next.exchange);
        }
    }

    void answer(http_exchange& exchange)
    {
        if (this->die_after_run)
        {
            exchange.abort();
            return;
        }
        const json body{{"run", ++this->answered}, {"path", exchange.request().path}};
        exchange.respond(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    service_options options;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool die_after_run = false;
    std::uint64_t answered = 0;
    json runs = json::array();
    std::deque<pending_run> waiting;
    std::unique_ptr<http_server> server;
    std::thread worker;
};

} // namespace

result<std::unique_ptr<service_fake>> service_fake::create(const service_options& options)
{
    auto fake = std::make_unique<service_impl>(options);
    if (auto started = fake->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return fake;
}

} // namespace agateseam::fakes

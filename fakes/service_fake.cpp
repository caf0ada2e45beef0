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

/// A call that is answered after the delay.
struct pending_call
{
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due;
};

class service_impl final : public service_fake, public http_handler
{
  public:
    explicit service_impl(const service_options& fake_options)
        : options(fake_options)
    {
    }

    ~service_impl() override
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->stopping = true;
        }
        this->state_changed.notify_all();
        if (this->worker_thread.joinable())
        {
            this->worker_thread.join();
        }
        this->server.reset();
    }
    service_impl(const service_impl&) = delete;
    service_impl& operator=(const service_impl&) = delete;

    result<void> start()
    {
        http_server_options server_options;
        server_options.address = this->options.address;
        server_options.port = this->options.port;
        server_options.threads = 1;
        auto created_server = http_server::create(server_options, *this);
        if (!created_server)
        {
            return tl::unexpected<error>(created_server.error());
        }
        this->server = std::move(*created_server);
        this->worker_thread = std::thread([this] { this->run_worker(); });
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void handle(std::shared_ptr<http_exchange> exchange) override
    {
        const std::scoped_lock lock(this->mutex);
        const http_request& request = exchange->request();
        if (request.path == "/admin/runs")
        {
            exchange->respond(200, {}, this->runs.dump());
            return;
        }
        if (request.path == "/admin/faults")
        {
            const json body = json::parse(request.body, nullptr, false);
            this->abort_after_run =
                body.is_object() && body.value("die_after_run", false);
            exchange->respond(200, {}, "{}");
            return;
        }
        this->runs.push_back({{"path", request.path},
                              {"key", request.header("Idempotency-Key")},
                              {"request", request.header("x-request-id")},
                              {"saw_key", !request.header("Authorization").empty()}});
        this->pending_calls.push_back(
            {exchange, steady_clock::now() + this->options.delay});
        this->state_changed.notify_all();
    }

  private:
    void run_worker()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping)
        {
            if (this->pending_calls.empty())
            {
                this->state_changed.wait(lock);
                continue;
            }
            const pending_call next = this->pending_calls.front();
            if (next.due > steady_clock::now())
            {
                this->state_changed.wait_until(lock, next.due);
                continue;
            }
            this->pending_calls.pop_front();
            this->answer(*next.exchange);
        }
    }

    void answer(http_exchange& exchange)
    {
        if (this->abort_after_run)
        {
            exchange.abort();
            return;
        }
        const json body{{"run", ++this->answered}, {"path", exchange.request().path}};
        exchange.respond(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    service_options options;
    std::mutex mutex;
    std::condition_variable state_changed;
    bool stopping = false;
    bool abort_after_run = false; ///< Whether calls run but get no answer.
    std::uint64_t answered = 0;
    json runs = json::array();              ///< As listed at /admin/runs.
    std::deque<pending_call> pending_calls; ///< By due time, as all have the same delay.
    std::unique_ptr<http_server> server;
    std::thread worker_thread;
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

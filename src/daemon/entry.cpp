#include <daemon/daemon.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <thread>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/config_controller.hpp>
#include <daemon/entry_context.hpp>
#include <daemon/member_controller.hpp>
#include <daemon/renewal_controller.hpp>
#include <daemon/usage_collector.hpp>
#include <daemon/usage_controller.hpp>

namespace agateseam
{

namespace
{

/// Time for the answers to the requests that are open at the end of a stop.
constexpr std::chrono::milliseconds last_answers_time{100};

/// Serves callers and operators.
class entry final : public daemon_process, public http_handler
{
  public:
    explicit entry(std::unique_ptr<entry_context> shared)
        : context(std::move(shared))
    {
    }

    /// Ends the callers' requests first, so that requests logged as cut are cut.
    ~entry() override
    {
        if (this->server)
        {
            this->server->answer_open(
                [](http_exchange& exchange)
                {
                    respond(exchange, to_api_error({error_code::broken, "stop", "",
                                                    "the entry stopped before the end"},
                                                   run_state::unknown));
                },
                last_answers_time);
        }
        this->server.reset();
        {
            const std::scoped_lock lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        if (this->operator_worker.joinable())
        {
            this->operator_worker.join();
        }
        this->usage.reset();
        this->renewals.reset();
        this->config.reset();
        this->members.reset();
        this->context->allowance->stop();
        this->collector.reset();
        this->context->claims->stop();
        this->context->client->stop();
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    [[nodiscard]] result<void> start()
    {
        this->config = std::make_unique<config_controller>(*this->context);
        this->members = std::make_unique<member_controller>(*this->context);
        this->collector = std::make_unique<usage_collector>(*this->context->telemetry,
                                                            *this->context->store);
        this->context->telemetry->gauges = [shared = this->context.get()]
        { return shared->gauges(); };
        this->context->telemetry->role_metrics = [shared = this->context.get()]
        { return to_text(shared->counters) + to_metrics(*shared->store); };
        this->renewals = std::make_unique<renewal_controller>(*this->context);
        this->operator_worker = std::thread([this] { this->run_operator_worker(); });
        auto created = http_server::create(this->context->settings.listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        this->usage = std::make_unique<usage_controller>(*this->context->telemetry,
                                                         *this->context->client);
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void drain() override
    {
        this->context->draining = true;
        this->server->close_after_answers();
    }

    void stop_listening() override { this->server->quiesce(); }

    /// A request counts until the last byte of its answer has been handed to the kernel.
    [[nodiscard]] std::size_t open_work() const override
    {
        const std::size_t requests = this->context->requests_in_progress;
        return std::max(requests, this->server->open_exchanges());
    }

    void handle(std::shared_ptr<http_exchange> exchange) override
    {
        const std::string& path = exchange->request().path;
        if (path == "/healthz")
        {
            exchange->respond(200, {}, "");
        }
        else if (path == "/readyz")
        {
            exchange->respond(this->ready() ? 200 : 503, {}, "");
        }
        else if (this->context->telemetry->serve(
                     *exchange, this->context->trusted(exchange->request())))
        {
        }
        else if (path == usage_batches_path &&
                 this->context->trusted(exchange->request()))
        {
            this->context->telemetry->merge_stamp(
                exchange->request().header(headers::stamp));
            this->collector->accept(std::move(exchange));
        }
        else if (path.starts_with("/operator/"))
        {
            this->queue_operator_request(std::move(exchange));
        }
        else if (path == "/rpc")
        {
            this->serve_share_rpc(*exchange);
        }
        else if (path == "/peer/config")
        {
            this->serve_config_peer(std::move(exchange));
        }
        else if (!this->context->board.config.read() || !this->context->may_admit())
        {
            respond(*exchange, to_api_error({error_code::unavailable, "receive", "",
                                             "the configuration may be out of date"},
                                            run_state::not_run));
        }
        else if (path == "/v1/models")
        {
            this->list_models(*exchange);
        }
        else if (path == "/v1/chat/completions" || path == "/v1/completions")
        {
            this->accept_model_request(std::move(exchange));
        }
        else
        {
            start_service_request(*this->context, std::move(exchange));
        }
    }

  private:
    [[nodiscard]] bool ready() const
    {
        return !this->context->draining && this->context->may_admit() &&
               this->context->board.config.read() && this->context->board.members.read();
    }

    /// Serves the calls of other entries about allowance shares.
    void serve_share_rpc(http_exchange& exchange)
    {
        if (!constant_time_equal(exchange.request().header(headers::fleet),
                                 this->context->settings.fleet_secret))
        {
            respond(exchange, to_api_error({error_code::unauthorized, "rpc", "",
                                            "the fleet secret is missing or wrong"},
                                           run_state::not_run));
            return;
        }
        exchange.respond(200, {{"Content-Type", "application/json"}},
                         this->context->allowance->serve(exchange.request().body));
    }

    void serve_config_peer(std::shared_ptr<http_exchange> exchange)
    {
        if (!constant_time_equal(exchange->request().header(headers::fleet),
                                 this->context->settings.fleet_secret))
        {
            respond(*exchange, to_api_error({error_code::unauthorized, "peer", "",
                                             "the fleet secret is missing or wrong"},
                                            run_state::not_run));
            return;
        }
        this->context->peers->answer(std::move(exchange));
    }

    void accept_model_request(std::shared_ptr<http_exchange> exchange)
    {
        if (exchange->request().method != "POST")
        {
            api_error refused;
            refused.status = 405;
            refused.code = "method_not_allowed";
            refused.step = "receive";
            refused.message = "use POST";
            respond(*exchange, refused);
            return;
        }
        start_model_request(*this->context, std::move(exchange));
    }

    void list_models(http_exchange& exchange) const
    {
        const auto owner = this->context->authenticate(exchange.request());
        if (!owner)
        {
            respond(exchange, to_api_error(owner.error(), run_state::not_run));
            return;
        }
        nlohmann::json models = nlohmann::json::array();
        const auto view = this->context->board.config.read();
        for (const auto& [name, pool] : view->current.pools)
        {
            if (!pool.model.empty())
            {
                models.push_back(
                    {{"id", pool.model}, {"object", "model"}, {"owned_by", name}});
            }
        }
        exchange.respond(200, {{"Content-Type", "application/json"}},
                         nlohmann::json{{"object", "list"}, {"data", models}}.dump());
    }

    /// Queues a request for the operator thread; operators' requests wait for the store
    /// and would block the server's threads.
    void queue_operator_request(std::shared_ptr<http_exchange> exchange)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->operator_requests.push_back(std::move(exchange));
        }
        this->wake.notify_all();
    }

    void run_operator_worker()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping)
        {
            if (this->operator_requests.empty())
            {
                this->wake.wait(lock);
                continue;
            }
            auto next = std::move(this->operator_requests.front());
            this->operator_requests.pop_front();
            lock.unlock();
            serve_operator(*this->context, std::move(next));
            lock.lock();
        }
    }

    std::unique_ptr<entry_context> context;
    std::unique_ptr<config_controller> config;
    std::unique_ptr<member_controller> members;
    std::unique_ptr<usage_collector> collector;
    std::unique_ptr<usage_controller> usage;
    std::unique_ptr<renewal_controller> renewals;
    std::unique_ptr<http_server> server;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::deque<std::shared_ptr<http_exchange>> operator_requests;
    std::thread operator_worker;
};

} // namespace

result<std::unique_ptr<daemon_process>> make_entry(const daemon_settings& settings)
{
    auto context = entry_context::create(settings);
    if (!context)
    {
        return tl::unexpected<error>(context.error());
    }
    auto new_entry = std::make_unique<entry>(std::move(*context));
    if (auto started = new_entry->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return new_entry;
}

} // namespace agateseam

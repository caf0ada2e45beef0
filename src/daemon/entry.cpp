#include <daemon/daemon.hpp>

#include <condition_variable>
#include <deque>
#include <thread>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/config_controller.hpp>
#include <daemon/entry_context.hpp>
#include <daemon/member_controller.hpp>

namespace agateseam
{

namespace
{

/// Serves callers and operators.
class entry final : public daemon_process, public http_handler
{
  public:
    explicit entry(std::unique_ptr<entry_context> shared)
        : context(std::move(shared))
    {
    }

    ~entry() override
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        if (this->operator_worker.joinable())
        {
            this->operator_worker.join();
        }
        this->config.reset();
        this->members.reset();
        this->server.reset();
        this->context->claims->stop();
        this->context->renewer->stop();
        this->context->client.reset();
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    [[nodiscard]] result<void> start()
    {
        this->config = std::make_unique<config_controller>(*this->context);
        this->members = std::make_unique<member_controller>(*this->context);
        this->operator_worker = std::thread([this] { this->serve_operators(); });
        auto created = http_server::create(this->context->settings.listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void drain() override { this->context->leaving = true; }

    [[nodiscard]] std::size_t open_work() const override { return this->context->open; }

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
        else if (path == "/metrics")
        {
            exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                              this->metrics());
        }
        else if (path.starts_with("/operator/"))
        {
            this->queue_operator(std::move(exchange));
        }
        else if (path == "/peer/config")
        {
            this->serve_peer(std::move(exchange));
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
            this->take_model_request(std::move(exchange));
        }
        else
        {
            start_service_request(*this->context, std::move(exchange));
        }
    }

  private:
    [[nodiscard]] bool ready() const
    {
        return !this->context->leaving && this->context->may_admit() &&
               this->context->board.config.read() && this->context->board.members.read();
    }

    void serve_peer(std::shared_ptr<http_exchange> exchange)
    {
        if (!equal_secrets(exchange->request().header(headers::fleet),
                           this->context->settings.fleet_secret))
        {
            respond(*exchange, to_api_error({error_code::unauthorized, "peer", "",
                                             "the fleet secret is missing or wrong"},
                                            run_state::not_run));
            return;
        }
        this->context->peers->answer(std::move(exchange));
    }

    void take_model_request(std::shared_ptr<http_exchange> exchange)
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

    [[nodiscard]] std::string metrics() const
    {
        return "# TYPE agateseam_requests_open gauge\nagateseam_requests_open " +
               std::to_string(this->context->open) + "\n";
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

    /// Operators' calls wait for the store, so they have a thread of their own.
    void queue_operator(std::shared_ptr<http_exchange> exchange)
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->operator_calls.push_back(std::move(exchange));
        }
        this->wake.notify_all();
    }

    void serve_operators()
    {
        std::unique_lock hold(this->mutex);
        while (!this->stopping)
        {
            if (this->operator_calls.empty())
            {
                this->wake.wait(hold);
                continue;
            }
            auto next = std::move(this->operator_calls.front());
            this->operator_calls.pop_front();
            hold.unlock();
            serve_operator(*this->context, std::move(next));
            hold.lock();
        }
    }

    std::unique_ptr<entry_context> context;
    std::unique_ptr<config_controller> config;
    std::unique_ptr<member_controller> members;
    std::unique_ptr<http_server> server;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::deque<std::shared_ptr<http_exchange>> operator_calls;
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
    auto made = std::make_unique<entry>(std::move(*context));
    if (auto started = made->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return made;
}

} // namespace agateseam

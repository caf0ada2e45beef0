#include <daemon/daemon.hpp>

#include <algorithm>
#include <condition_variable>
#include <thread>

#include <nlohmann/json.hpp>

#include <agateseam/api_key.hpp>
#include <daemon/agent_context.hpp>
#include <daemon/api_error.hpp>
#include <daemon/usage_controller.hpp>

namespace agateseam
{

namespace
{

constexpr std::chrono::milliseconds heartbeat_interval{500};
constexpr std::chrono::milliseconds reconcile_interval{50};
constexpr std::chrono::seconds outcome_retention{120};
constexpr std::string_view attempts_path = "/agent/attempts/";

/// Runs the attempts that entries and other agents order.
class agent final : public daemon_process, public http_handler
{
  public:
    explicit agent(std::unique_ptr<agent_context> shared)
        : context(std::move(shared))
    {
    }

    ~agent() override
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        if (this->heartbeat_thread.joinable())
        {
            this->heartbeat_thread.join();
        }
        this->usage.reset();
        this->context->slots->stop();
        this->server.reset();
        this->context->client->stop();
    }
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    [[nodiscard]] result<void> start()
    {
        this->context->telemetry->gauges = [shared = this->context.get()]
        {
            const load_report load = shared->report();
            return process_gauges{load.slots, load.used, load.queued,
                                  shared->attempts_in_progress};
        };
        auto created = http_server::create(this->context->settings.listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        this->usage = std::make_unique<usage_controller>(*this->context->telemetry,
                                                         *this->context->client);
        this->heartbeat_thread = std::thread([this] { this->run_heartbeats(); });
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void drain() override { this->context->drain(); }

    /// The server keeps listening, because entries renew the leases of running attempts.
    void stop_listening() override {}

    /// An attempt counts until the last byte of its answer has been handed to the kernel.
    [[nodiscard]] std::size_t open_work() const override
    {
        const std::size_t attempts = this->context->attempts_in_progress;
        return std::max(attempts, this->server->open_exchanges());
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
            const bool accepts_work = this->context->ready && !this->context->draining;
            exchange->respond(accepts_work ? 200 : 503, {}, "");
        }
        else if (this->context->telemetry->serve(*exchange, this->trusted(*exchange)))
        {
        }
        else if (!this->trusted(*exchange))
        {
            respond(*exchange, to_api_error({error_code::unauthorized, "receive order",
                                             "", "the fleet secret is missing or wrong"},
                                            run_state::not_run));
        }
        else if (path == "/agent/load")
        {
            exchange->respond(200, {{"Content-Type", "application/json"}},
                              to_text(this->context->report()));
        }
        else if (path == "/agent/leases")
        {
            this->renew_leases(*exchange);
        }
        else if (path == "/agent/order")
        {
            this->check_and_forward_order(exchange);
        }
        else if (path.starts_with(attempts_path))
        {
            this->report_outcome(*exchange);
        }
        else if (path == "/agent/drain")
        {
            this->drain();
            exchange->respond(200, {}, "");
        }
        else
        {
            this->start_attempt(exchange);
        }
    }

  private:
    [[nodiscard]] bool trusted(const http_exchange& exchange) const
    {
        return constant_time_equal(exchange.request().header(headers::fleet),
                                   this->context->settings.fleet_secret);
    }

    void start_attempt(const std::shared_ptr<http_exchange>& exchange)
    {
        if (!this->context->ready)
        {
            respond(*exchange, to_api_error({error_code::unavailable, "receive order",
                                             this->context->settings.vm,
                                             "the engine is not reconciled yet"},
                                            run_state::not_run));
            return;
        }
        const http_request& request = exchange->request();
        this->context->telemetry->merge_stamp(request.header(headers::stamp));
        auto order = parse_attempt_order(request.header(headers::attempt));
        if (!order)
        {
            respond(*exchange, to_api_error(order.error(), run_state::not_run));
            return;
        }
        if (!this->context->attempts.begin(order->id, this->context->time.now()))
        {
            respond(*exchange, to_api_error({error_code::conflict, "receive order",
                                             this->context->settings.vm,
                                             "this attempt was here before"},
                                            run_state::unknown));
        }
        else if (request.path == "/agent/prefill")
        {
            start_prefill_attempt(*this->context, exchange, std::move(*order));
        }
        else if (request.path == "/agent/decode")
        {
            start_decode_attempt(*this->context, exchange, std::move(*order));
        }
        else if (request.path == "/agent/service")
        {
            start_service_attempt(*this->context, exchange, std::move(*order));
        }
        else
        {
            respond(*exchange, to_api_error({error_code::not_found, "receive order", "",
                                             "no such order"},
                                            run_state::not_run));
        }
    }

    /// Renews the leases of an entry's attempts and expires those that the entry gave up.
    void renew_leases(http_exchange& exchange)
    {
        const auto order = parse_lease_order(exchange.request().body);
        if (!order)
        {
            respond(exchange, to_api_error(order.error(), run_state::not_run));
            return;
        }
        std::vector<attempt_id> unknown;
        for (const attempt_id& id : order->renew)
        {
            this->context->slots->renew(id);
            if (!this->context->attempts.renew(id, this->context->time.now()))
            {
                unknown.push_back(id);
            }
        }
        for (const attempt_id& id : order->end)
        {
            this->context->slots->end(id);
        }
        exchange.respond(200, {{"Content-Type", "application/json"}},
                         lease_reply_text(unknown));
    }

    /// Forwards an order to the engine, unless its generation is older than that of an
    /// earlier order. The agent checks this because some engines ignore the generation.
    void check_and_forward_order(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
        const auto generation =
            body.is_object() ? body.value("generation", nlohmann::json()) : body;
        if (!generation.is_number_unsigned())
        {
            respond(*exchange, to_api_error({error_code::invalid, "receive order", "",
                                             "an order states its generation"},
                                            run_state::not_run));
        }
        else if (!this->context->accept_generation(generation.get<std::uint64_t>()))
        {
            respond(*exchange, to_api_error({error_code::conflict, "receive order",
                                             this->context->settings.vm,
                                             "the order's generation is old"},
                                            run_state::not_run));
        }
        else
        {
            this->forward_order(exchange);
        }
    }

    void forward_order(const std::shared_ptr<http_exchange>& exchange)
    {
        http_call call;
        call.method = "POST";
        call.url = this->context->settings.backend.url + "/orders";
        call.step = "order";
        call.max_body_bytes = max_backend_answer_bytes;
        call.total_timeout = this->context->settings.limits.first_token_timeout;
        call.fresh_connection = true;
        call.body = exchange->take_body();
        this->context->client->fetch_async(
            std::move(call),
            [exchange](const result<http_reply>& reply)
            {
                if (reply)
                {
                    exchange->respond(reply->status, {}, reply->body);
                    return;
                }
                const bool refused = reply.error().code == error_code::unavailable;
                respond(*exchange,
                        to_api_error(reply.error(),
                                     refused ? run_state::not_run : run_state::unknown));
            });
    }

    /// Reports the recorded outcome of the attempt that the path names as
    /// REQUEST/ATTEMPT.
    void report_outcome(http_exchange& exchange)
    {
        std::string name = exchange.request().path.substr(attempts_path.size());
        std::replace(name.begin(), name.end(), '/', '.');
        const auto id = parse_attempt_id(name);
        if (!id)
        {
            respond(exchange, to_api_error(id.error(), run_state::not_run));
            return;
        }
        const auto record = this->context->attempts.find(*id);
        if (!record)
        {
            respond(exchange, to_api_error(record.error(), run_state::unknown));
            return;
        }
        const nlohmann::json body{{"attempt", to_text(*id)},
                                  {"ended", record->ended},
                                  {"run", to_string(record->run)}};
        exchange.respond(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    void run_heartbeats()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping)
        {
            this->wake.wait_for(lock, this->context->ready ? heartbeat_interval
                                                           : reconcile_interval);
            lock.unlock();
            if (!this->context->ready)
            {
                this->context->ready = this->context->reconcile();
            }
            this->context->run_heartbeat();
            this->context->attempts.erase_ended_before(this->context->time.now() -
                                                       outcome_retention);
            lock.lock();
        }
    }

    std::unique_ptr<agent_context> context;
    std::unique_ptr<http_server> server;
    std::unique_ptr<usage_controller> usage;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread heartbeat_thread;
};

} // namespace

result<std::unique_ptr<daemon_process>> make_agent(const daemon_settings& settings)
{
    auto context = agent_context::create(settings);
    if (!context)
    {
        return tl::unexpected<error>(context.error());
    }
    auto new_agent = std::make_unique<agent>(std::move(*context));
    if (auto started = new_agent->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return new_agent;
}

} // namespace agateseam

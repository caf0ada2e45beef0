#include <daemon/agent_context.hpp>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/attempt_meter.hpp>
#include <daemon/json_members.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;

duration processing_time(double tokens, double tokens_per_second)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(tokens / tokens_per_second));
}

/// One prefill. It waits in the fair queue for the engine and then runs.
class prefill_attempt final : public slot_owner,
                              public heartbeat_listener,
                              public std::enable_shared_from_this<prefill_attempt>
{
  public:
    prefill_attempt(agent_context& shared, std::shared_ptr<http_exchange> relay,
                    attempt_order accepted)
        : context(&shared)
        , exchange(std::move(relay))
        , order(std::move(accepted))
        , meter(*shared.telemetry, this->order)
    {
        ++this->context->attempts_in_progress;
    }

    ~prefill_attempt() override
    {
        this->context->slots->release(this->order.id, this->tokens_used);
        --this->context->attempts_in_progress;
    }

    prefill_attempt(const prefill_attempt&) = delete;
    prefill_attempt& operator=(const prefill_attempt&) = delete;

    void start()
    {
        this->body = this->exchange->take_body();
        if (!is_json_object(this->body))
        {
            this->refuse(
                {error_code::invalid, "prefill", "", "the body is not a JSON object"});
            return;
        }
        const auto queued = this->context->slots->submit(this->make_slot_request(),
                                                         this->shared_from_this());
        if (!queued)
        {
            this->refuse(queued.error());
            return;
        }
        const std::weak_ptr<prefill_attempt> weak = this->weak_from_this();
        this->exchange->on_disconnect(
            [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->cancel();
                }
            });
    }

    void on_slot_event(const slot_event& event) override
    {
        switch (event.kind)
        {
        case slot_event_kind::granted:
            this->context->slots->start(this->order.id, this->shared_from_this());
            break;
        case slot_event_kind::started:
            this->call_engine();
            break;
        case slot_event_kind::refused:
            this->refuse({event.reason, "prefill", this->context->settings.vm,
                          "the prefill cannot begin in time"});
            break;
        case slot_event_kind::lease_expired:
            this->cancel();
            break;
        }
    }

    /// Renews the lease as long as the decode agent keeps the connection open.
    void on_heartbeat() override
    {
        if (!this->exchange->disconnected())
        {
            this->context->slots->renew(this->order.id);
        }
    }

  private:
    [[nodiscard]] slot_request make_slot_request() const
    {
        const backend_settings& backend = this->context->settings.backend;
        slot_request request;
        request.id = this->order.id;
        request.workspace = this->order.workspace;
        request.weight = this->order.weight;
        request.tokens = this->order.prompt_tokens;
        request.expected_use =
            processing_time(this->order.prompt_tokens, backend.tokens_per_second);
        request.max_use = request.expected_use;
        request.transfer_time =
            processing_time(this->order.prompt_tokens, backend.link_tokens_per_second);
        request.deadline =
            this->context->time.now() + this->order.deadline - request.expected_use;
        return request;
    }

    void call_engine()
    {
        this->tokens_used = this->order.prompt_tokens;
        http_call call;
        call.method = "POST";
        call.url = this->context->settings.backend.url + this->order.path;
        call.step = "prefill";
        call.max_body_bytes = max_backend_answer_bytes;
        call.total_timeout = this->order.deadline;
        call.headers = {{"Content-Type", "application/json"},
                        {"x-request-id", to_text(this->order.id)}};
        call.body = replace_members(
            this->body, {},
            {{"kv_transfer_params", {{"do_remote_decode", true}}}, {"stream", false}});
        std::string().swap(this->body);
        this->meter.record_event(event_kind::prefill_begun, {},
                                 this->order.prompt_tokens);
        this->meter.start_engine_timer();
        const std::scoped_lock lock(this->mutex);
        if (!this->cancelled)
        {
            this->running = this->context->client->fetch_async(
                std::move(call),
                [self = this->shared_from_this()](result<http_reply> reply)
                { self->on_reply(std::move(reply)); });
        }
    }

    void on_reply(result<http_reply> reply)
    {
        if (!reply)
        {
            this->context->note_backend_error(reply.error());
        }
        if (!reply || reply->status != status_ok)
        {
            this->meter.record_lost_prefill(this->order.prompt_tokens);
            this->refuse(reply ? error{error_code::unavailable, "prefill",
                                       this->context->settings.backend.url,
                                       "the engine refused the prefill"}
                               : reply.error());
            return;
        }
        if (this->exchange->disconnected())
        {
            this->meter.record_lost_prefill(this->order.prompt_tokens);
        }
        this->meter.record_event(event_kind::prefill_ended);
        this->context->slots->release(this->order.id, this->tokens_used);
        this->context->attempts.end(this->order.id, run_state::ran,
                                    this->context->time.now());
        this->exchange->respond(status_ok,
                                {{"Content-Type", "application/json"},
                                 this->context->load_header(),
                                 this->context->telemetry->stamp_header(),
                                 this->meter.engine_time_header()},
                                std::move(reply->body));
    }

    /// Cancels the prefill when the decode agent has closed the connection or the lease
    /// has ended.
    void cancel()
    {
        http_client::call_id call = 0;
        {
            const std::scoped_lock lock(this->mutex);
            this->cancelled = true;
            call = this->running;
        }
        this->context->slots->release(this->order.id, this->tokens_used);
        if (call != 0)
        {
            this->context->client->cancel(call);
        }
    }

    void refuse(const error& fault)
    {
        this->context->attempts.end(this->order.id, run_state::not_run,
                                    this->context->time.now());
        api_error refused = to_api_error(fault, run_state::not_run);
        refused.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
            this->context->slots->retry_after());
        respond(*this->exchange, refused);
    }

    agent_context* context;
    std::shared_ptr<http_exchange> exchange;
    attempt_order order;
    attempt_meter meter;
    std::string body;       ///< Of the request, until the engine is called.
    double tokens_used = 0; ///< Prompt tokens that were sent to the engine.
    std::mutex mutex;
    bool cancelled = false;
    http_client::call_id running = 0;
};

} // namespace

void start_prefill_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order)
{
    auto attempt =
        std::make_shared<prefill_attempt>(context, std::move(exchange), std::move(order));
    context.add_heartbeat_listener(attempt);
    attempt->start();
}

} // namespace agateseam

#include <daemon/agent_context.hpp>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/attempt_meter.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;

/// Counts a prefill as waiting for as long as it lives.
class prefill_attempt final : public std::enable_shared_from_this<prefill_attempt>
{
  public:
    prefill_attempt(agent_context& shared, std::shared_ptr<http_exchange> relay,
                    attempt_order accepted)
        : context(&shared)
        , exchange(std::move(relay))
        , order(std::move(accepted))
        , meter(*shared.telemetry, this->order)
    {
        ++this->context->open;
        ++this->context->waiting;
        this->context->waiting_tokens += this->order.prompt_tokens;
    }

    ~prefill_attempt()
    {
        this->context->waiting_tokens -= this->order.prompt_tokens;
        --this->context->waiting;
        --this->context->open;
    }

    prefill_attempt(const prefill_attempt&) = delete;
    prefill_attempt& operator=(const prefill_attempt&) = delete;

    void start()
    {
        json body = json::parse(this->exchange->take_body(), nullptr, false);
        if (!body.is_object())
        {
            respond(*this->exchange, to_api_error({error_code::invalid, "prefill", "",
                                                   "the body is not a JSON object"},
                                                  run_state::not_run));
            return;
        }
        body["kv_transfer_params"] = {{"do_remote_decode", true}};
        body["stream"] = false;
        http_call call;
        call.method = "POST";
        call.url = this->context->settings.backend.url + this->order.path;
        call.step = "prefill";
        call.total_timeout = this->order.deadline;
        call.headers = {{"Content-Type", "application/json"},
                        {"x-request-id", this->order.id.request + "." +
                                             std::to_string(this->order.id.attempt)}};
        call.body = body.dump();
        this->meter.note(event_kind::prefill_begun, {}, this->order.prompt_tokens);
        this->meter.engine_begun();
        const auto running = this->context->client->fetch_async(
            std::move(call), [self = this->shared_from_this()](result<http_reply> reply)
            { self->on_reply(std::move(reply)); });
        this->exchange->on_gone([client = this->context->client.get(), running]
                                { client->cancel(running); });
    }

  private:
    void on_reply(result<http_reply> reply)
    {
        if (!reply || reply->status != status_ok)
        {
            const error fault = reply ? error{error_code::unavailable, "prefill",
                                              this->context->settings.backend.url,
                                              "the engine refused the prefill"}
                                      : reply.error();
            this->meter.prefill_lost(this->order.prompt_tokens);
            respond(*this->exchange, to_api_error(fault, run_state::not_run));
            return;
        }
        if (this->exchange->gone())
        {
            this->meter.prefill_lost(this->order.prompt_tokens);
        }
        this->meter.note(event_kind::prefill_ended);
        this->exchange->respond(status_ok,
                                {{"Content-Type", "application/json"},
                                 this->context->load_header(),
                                 this->context->telemetry->stamp_header(),
                                 this->meter.engine_time_header()},
                                std::move(reply->body));
    }

    agent_context* context;
    std::shared_ptr<http_exchange> exchange;
    attempt_order order;
    attempt_meter meter;
};

} // namespace

void start_prefill_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order)
{
    std::make_shared<prefill_attempt>(context, std::move(exchange), std::move(order))
        ->start();
}

} // namespace agateseam

#include <daemon/agent_context.hpp>

#include <algorithm>
#include <iterator>

#include <daemon/api_error.hpp>
#include <daemon/attempt_meter.hpp>
#include <daemon/service_headers.hpp>

namespace agateseam
{

namespace
{

/// One call of a plain service. It holds a slot until the service has answered.
class service_attempt final : public std::enable_shared_from_this<service_attempt>
{
  public:
    service_attempt(agent_context& shared, std::shared_ptr<http_exchange> relay,
                    attempt_order accepted)
        : context(&shared)
        , exchange(std::move(relay))
        , order(std::move(accepted))
        , meter(*shared.telemetry, this->order)
    {
        ++this->context->attempts_in_progress;
    }

    ~service_attempt()
    {
        this->context->release_service_slot();
        --this->context->attempts_in_progress;
    }

    service_attempt(const service_attempt&) = delete;
    service_attempt& operator=(const service_attempt&) = delete;

    void start()
    {
        http_call call;
        call.method = this->order.method;
        call.url = this->context->settings.backend.url + this->order.path;
        call.step = "service";
        call.max_body_bytes = max_backend_answer_bytes;
        call.total_timeout = this->order.deadline;
        call.fresh_connection = !this->order.repeatable;
        call.headers = {{"x-request-id", this->order.id.request}};
        std::ranges::move(service_headers(this->exchange->request()),
                          std::back_inserter(call.headers));
        if (!this->order.idempotency_key.empty())
        {
            call.headers.emplace_back("Idempotency-Key", this->order.idempotency_key);
        }
        call.body = this->exchange->take_body();
        this->meter.record_event(event_kind::service_begun);
        const auto running = this->context->client->fetch_async(
            std::move(call), [self = this->shared_from_this()](result<http_reply> reply)
            { self->on_reply(std::move(reply)); });
        if (this->order.repeatable)
        {
            this->exchange->on_disconnect([client = this->context->client.get(), running]
                                          { client->cancel(running); });
        }
    }

  private:
    void on_reply(result<http_reply> reply)
    {
        if (!reply)
        {
            const bool begun = reply.error().code != error_code::unavailable;
            const run_state run = begun ? run_state::unknown : run_state::not_run;
            this->context->attempts.end(this->order.id, run, this->context->time.now());
            this->meter.record_event(event_kind::outcome_unknown, {}, 0, to_string(run));
            this->context->note_backend_error(reply.error());
            respond(*this->exchange, to_api_error(reply.error(), run));
            return;
        }
        this->context->attempts.end(this->order.id, run_state::ran,
                                    this->context->time.now());
        this->meter.record_event(event_kind::service_ended, {}, reply->status);
        std::vector<http_header> head{
            {std::string(headers::run), std::string(to_string(run_state::ran))},
            this->context->load_header(),
            this->context->telemetry->stamp_header()};
        const std::string_view type = reply->header("Content-Type");
        if (!type.empty())
        {
            head.emplace_back("Content-Type", type);
        }
        this->exchange->respond(reply->status, std::move(head), std::move(reply->body));
    }

    agent_context* context;
    std::shared_ptr<http_exchange> exchange;
    attempt_order order;
    attempt_meter meter;
};

} // namespace

void start_service_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order)
{
    if (!context.try_take_service_slot())
    {
        context.attempts.end(order.id, run_state::not_run, context.time.now());
        respond(*exchange, to_api_error({error_code::exhausted, "reserve slot",
                                         context.settings.vm, "no slot is free"},
                                        run_state::not_run));
        return;
    }
    std::make_shared<service_attempt>(context, std::move(exchange), std::move(order))
        ->start();
}

} // namespace agateseam

#include <daemon/agent_context.hpp>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>

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
            this->context->attempts.end(this->order.id, run_state::not_run,
                                        this->context->time.now());
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
                        {"x-request-id", to_text(this->order.id)}};
        call.body = body.dump();
        const auto running = this->context->client->fetch_async(
            std::move(call), [self = this->shared_from_this()](result<http_reply> reply)
            { self->on_reply(std::move(reply)); });
        this->exchange->on_gone([client = this->context->client.get(), running]
                                { client->cancel(running); });
    }

  private:
    void on_reply(result<http_reply> reply)
    {
        this->context->attempts.end(this->order.id,
                                    reply ? run_state::ran : run_state::unknown,
                                    this->context->time.now());
        if (!reply || reply->status != status_ok)
        {
            const error fault = reply ? error{error_code::exhausted, "prefill",
                                              this->context->settings.backend.url,
                                              "the engine refused the prefill"}
                                      : reply.error();
            this->context->note_backend(fault);
            respond(*this->exchange, to_api_error(fault, run_state::not_run));
            return;
        }
        this->exchange->respond(
            status_ok,
            {{"Content-Type", "application/json"}, this->context->load_header()},
            std::move(reply->body));
    }

    agent_context* context;
    std::shared_ptr<http_exchange> exchange;
    attempt_order order;
};

} // namespace

void start_prefill_attempt(agent_context& context,
                           std::shared_ptr<http_exchange> exchange, attempt_order order)
{
    if (context.leaving)
    {
        context.attempts.end(order.id, run_state::not_run, context.time.now());
        respond(*exchange, to_api_error({error_code::exhausted, "prefill",
                                         context.settings.vm, "the agent is leaving"},
                                        run_state::not_run));
        return;
    }
    std::make_shared<prefill_attempt>(context, std::move(exchange), std::move(order))
        ->start();
}

} // namespace agateseam

#include <daemon/entry_context.hpp>

#include <charconv>
#include <mutex>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/model_request_parts.hpp>
#include <daemon/server_sent_events.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr std::size_t slow_caller_limit = 1 << 20; // bytes that wait to be sent

/// One caller's request: its attempts, one after the other, and the answer's relay.
class model_request final : public http_sink,
                            public std::enable_shared_from_this<model_request>
{
  public:
    model_request(entry_context& shared, std::shared_ptr<http_exchange> caller)
        : context(&shared)
        , exchange(std::move(caller))
    {
        ++this->context->open;
    }

    ~model_request() override { --this->context->open; }
    model_request(const model_request&) = delete;
    model_request& operator=(const model_request&) = delete;

    void start()
    {
        auto owner = this->context->authenticate(this->exchange->request());
        if (!owner)
        {
            this->refuse(to_api_error(owner.error(), run_state::not_run));
            return;
        }
        this->workspace = std::move(*owner);
        this->key = this->context->follow_key(this->exchange->request());
        auto read =
            read_model_request(this->exchange->request(), this->context->settings.limits);
        if (!read)
        {
            this->refuse(to_api_error(read.error(), run_state::not_run));
            return;
        }
        this->parts = std::move(*read);
        if (!this->find_pool() || !this->admit())
        {
            return;
        }
        this->id = this->context->next_request_id();
        this->deadline =
            this->context->time.now() + this->context->settings.limits.first_token;
        this->body = this->exchange->take_body();
        const std::weak_ptr<model_request> weak = this->weak_from_this();
        this->exchange->on_gone(
            [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->give_up();
                }
            });
        this->next_attempt();
    }

    void on_head(int status, const std::vector<http_header>& head) override
    {
        this->agent_status = status;
        this->context->note_load(head);
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        if (this->withdrawn())
        {
            return false;
        }
        if (this->agent_status != status_ok)
        {
            this->refusal.append(data);
            return true;
        }
        this->events.feed(data);
        while (const auto event = this->events.next())
        {
            this->take(*event);
        }
        return !this->exchange->gone();
    }

    void on_done(const result<void>& outcome) override
    {
        this->context->renewer->remove(this->decode_address, {this->id, this->attempt});
        if (this->exchange->gone())
        {
            this->settle();
        }
        else if (this->complete)
        {
            this->finish();
        }
        else if (this->withdrawn())
        {
            this->give_answer(this->withdrawal());
        }
        else if (this->failure)
        {
            this->try_again(*this->failure);
        }
        else if (!outcome)
        {
            this->try_again({run_state::unknown, outcome.error()});
        }
        else
        {
            this->try_again(
                {run_state::not_run,
                 {error_code::exhausted, "reserve slot", this->decode_vm,
                  "the agent answered " + std::to_string(this->agent_status)}});
        }
    }

  private:
    void refuse(const api_error& refused) { respond(*this->exchange, refused); }

    /// Finds the pool that serves the model and that the workspace may use.
    [[nodiscard]] bool find_pool()
    {
        const auto config = this->context->board.config.read();
        const auto owner = config->current.workspaces.find(this->workspace);
        for (const auto& [name, candidate] : config->current.pools)
        {
            const auto& allowed = owner->second.pools;
            const bool open = allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                                           name) != allowed.end();
            if (open && candidate.model == this->parts.model)
            {
                this->pool = name;
                this->weight = owner->second.weight;
                this->policy = config->current.policy;
                return true;
            }
        }
        this->refuse(to_api_error({error_code::not_found, "find pool", "",
                                   "no such model: " + this->parts.model},
                                  run_state::not_run));
        return false;
    }

    [[nodiscard]] bool admit()
    {
        const double wanted =
            double{0} + this->parts.prompt_tokens + this->parts.output_tokens;
        const admission_decision decision =
            this->context->allowance->reserve(this->workspace, wanted);
        this->limit = decision.limit;
        this->remaining = decision.remaining;
        if (!decision.admitted)
        {
            api_error refused;
            refused.status = 429;
            refused.code = "rate_limit_exceeded";
            refused.step = "admit";
            refused.message = "the workspace's allowance is used up";
            refused.retry_after =
                std::max(milliseconds(1'000),
                         std::chrono::duration_cast<milliseconds>(decision.retry_after));
            this->refuse(refused);
            return false;
        }
        this->reserved = wanted;
        return true;
    }

    /// Tells whether the key was withdrawn and the request has to end for it.
    [[nodiscard]] bool withdrawn() const
    {
        const key_state state = *this->key;
        return state == key_state::withdrawn_cut ||
               (state == key_state::withdrawn && this->delivered == 0);
    }

    [[nodiscard]] api_error withdrawal() const
    {
        return to_api_error(
            {error_code::unauthorized, "authenticate", "", "the key has been withdrawn"},
            this->run_so_far());
    }

    void next_attempt()
    {
        if (this->withdrawn())
        {
            this->give_answer(this->withdrawal());
            return;
        }
        placement_request wanted;
        wanted.pool = this->pool;
        wanted.workspace = this->workspace;
        wanted.failure_domain = this->context->settings.failure_domain;
        wanted.prompt_tokens = this->parts.prompt_tokens;
        wanted.output_tokens = this->parts.output_tokens;
        wanted.excluded = this->excluded;
        const auto choice = this->choose(wanted);
        if (!choice)
        {
            this->give_answer(to_api_error(choice.error(), this->run_so_far()));
            return;
        }
        this->send(*choice);
    }

    [[nodiscard]] result<placement_choice> choose(const placement_request& wanted)
    {
        const auto members = this->context->board.members.read();
        if (!members)
        {
            return fail(error_code::exhausted, "place", "", "no agent is known yet");
        }
        return this->context->placer->choose(wanted, *members, this->policy);
    }

    void send(const placement_choice& choice)
    {
        ++this->attempt;
        this->decode_vm = choice.decode->vm;
        this->decode_address = choice.decode->address;
        this->prefill_vm = choice.prefill->vm;
        attempt_order order;
        order.id = {this->id, this->attempt};
        order.workspace = this->workspace;
        order.weight = this->weight;
        order.path = this->exchange->request().path;
        order.prefill_vm = choice.prefill->vm;
        order.prefill_address = choice.prefill->address;
        order.prompt_tokens = this->parts.prompt_tokens;
        order.output_tokens = this->parts.output_tokens;
        order.resume_from = this->delivered;
        order.deadline = std::chrono::duration_cast<milliseconds>(
            this->deadline - this->context->time.now());
        http_call call;
        call.method = "POST";
        call.url = "http://" + choice.decode->address + "/agent/decode";
        call.step = "decode";
        call.silent_timeout = this->context->settings.limits.silence;
        call.total_timeout = this->context->settings.limits.request;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(order)}};
        call.body = this->body;
        this->start_call(std::move(call));
    }

    void start_call(http_call call)
    {
        this->events = {};
        this->failure.reset();
        this->refusal.clear();
        const std::scoped_lock hold(this->mutex);
        if (this->given_up)
        {
            this->settle();
            return;
        }
        this->context->renewer->add(this->decode_address, {this->id, this->attempt});
        this->call_id =
            this->context->client->start(std::move(call), this->shared_from_this());
    }

    void take(const server_sent_event& event)
    {
        if (event.data == stream_end)
        {
            this->complete = true;
        }
        else if (event.name == "failure")
        {
            this->failure = parse_attempt_failure(event.data);
        }
        else if (event.name == "usage")
        {
            this->usage = json::parse(event.data, nullptr, false);
        }
        else
        {
            this->relay(event);
        }
    }

    void relay(const server_sent_event& event)
    {
        std::uint32_t number = 0;
        std::from_chars(event.id.data(), event.id.data() + event.id.size(), number);
        const bool fresh = number > this->delivered;
        if (fresh)
        {
            const std::uint32_t count = number - this->delivered;
            this->delivered = number;
            this->context->allowance->deliver(this->workspace, count);
            this->reserved -= count;
        }
        if (this->parts.stream)
        {
            this->begin_stream();
            const std::size_t waiting =
                this->exchange->write(to_text({"", "", event.data}));
            if (waiting > slow_caller_limit)
            {
                this->exchange->abort();
            }
            return;
        }
        this->gather(event.data);
    }

    void begin_stream()
    {
        if (!this->streaming)
        {
            this->streaming = true;
            auto head = this->answer_head();
            head.emplace_back("Content-Type", "text/event-stream");
            head.emplace_back("Cache-Control", "no-store");
            this->exchange->begin_stream(status_ok, std::move(head));
        }
    }

    /// Adds a chunk to the whole answer of a caller who does not stream.
    void gather(std::string_view data)
    {
        const json chunk = json::parse(data, nullptr, false);
        if (!chunk.is_object() || chunk.value("choices", json::array()).empty())
        {
            return;
        }
        const json& choice = chunk["choices"][0];
        this->text += this->parts.chat
                          ? choice.value("delta", json::object()).value("content", "")
                          : choice.value("text", "");
        const json reason = choice.value("finish_reason", json());
        if (reason.is_string())
        {
            this->finish_reason = reason.get<std::string>();
        }
    }

    [[nodiscard]] std::vector<http_header> answer_head() const
    {
        return {{"x-request-id", this->id},
                {std::string(headers::run), std::string(to_string(run_state::ran))},
                {"x-ratelimit-limit-tokens", std::to_string(std::llround(this->limit))},
                {"x-ratelimit-remaining-tokens",
                 std::to_string(std::llround(this->remaining))}};
    }

    void finish()
    {
        this->settle();
        if (this->parts.stream)
        {
            this->begin_stream();
            if (this->parts.include_usage)
            {
                const json chunk{{"id", this->id},
                                 {"object", this->parts.chat ? "chat.completion.chunk"
                                                             : "text_completion"},
                                 {"model", this->parts.model},
                                 {"choices", json::array()},
                                 {"usage", this->usage}};
                this->exchange->write(to_text({"", "", chunk.dump()}));
            }
            this->exchange->write(to_text({"", "", stream_end}));
            this->exchange->finish();
            return;
        }
        auto head = this->answer_head();
        head.emplace_back("Content-Type", "application/json");
        this->exchange->respond(status_ok, std::move(head), this->whole_answer());
    }

    [[nodiscard]] std::string whole_answer() const
    {
        json choice{{"index", 0}, {"finish_reason", this->finish_reason}};
        if (this->parts.chat)
        {
            choice["message"] = {{"role", "assistant"}, {"content", this->text}};
        }
        else
        {
            choice["text"] = this->text;
        }
        const json answer{
            {"id", this->id},
            {"object", this->parts.chat ? "chat.completion" : "text_completion"},
            {"model", this->parts.model},
            {"choices", json::array({choice})},
            {"usage", this->usage}};
        return answer.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    [[nodiscard]] run_state run_so_far() const
    {
        if (this->delivered > 0)
        {
            return run_state::ran;
        }
        return this->maybe_run ? run_state::unknown : run_state::not_run;
    }

    /// A model request may be repeated: what was delivered is never produced again.
    void try_again(const attempt_failure& failed)
    {
        log_error("attempt failed", failed.fault,
                  {{"request", std::string_view(this->id)},
                   {"workspace", std::string_view(this->workspace)},
                   {"attempt", std::int64_t{this->attempt}}});
        this->maybe_run = this->maybe_run || failed.run != run_state::not_run;
        this->exclude(failed.fault);
        const bool late =
            this->context->time.now() >= this->deadline && this->delivered == 0;
        if (this->attempt >= this->context->settings.limits.attempts || late)
        {
            this->give_answer(to_api_error(failed.fault, this->run_so_far()));
            return;
        }
        if (this->delivered > 0)
        {
            this->deadline =
                this->context->time.now() + this->context->settings.limits.first_token;
        }
        this->next_attempt();
    }

    void exclude(const error& fault)
    {
        this->excluded.push_back(fault.step == "prefill" ? this->prefill_vm
                                                         : this->decode_vm);
    }

    /// Ends with a refusal, or by cutting a stream that the caller already reads.
    void give_answer(const api_error& refused)
    {
        this->settle();
        if (this->streaming)
        {
            this->exchange->write(to_text({"error", "", to_text(refused)}));
            this->exchange->abort();
            return;
        }
        this->refuse(refused);
    }

    void settle()
    {
        if (this->reserved > 0)
        {
            if (this->delivered > 0 || this->usage.is_object())
            {
                const double prompt =
                    std::min<double>(this->reserved, this->parts.prompt_tokens);
                this->context->allowance->deliver(this->workspace, prompt);
                this->reserved -= prompt;
            }
            this->context->allowance->release(this->workspace, this->reserved);
            this->reserved = 0;
        }
    }

    void give_up()
    {
        http_client::call_id running = 0;
        {
            const std::scoped_lock hold(this->mutex);
            this->given_up = true;
            running = this->call_id;
        }
        if (running != 0)
        {
            this->context->client->cancel(running);
        }
    }

    entry_context* context;
    std::shared_ptr<http_exchange> exchange;
    model_request_parts parts;
    std::string workspace;
    key_flag key;
    std::string pool;
    policy_config policy;
    double weight = 1;
    std::string id;
    std::string body;
    time_point deadline;
    double limit = 0;
    double remaining = 0;
    double reserved = 0;

    std::uint32_t attempt = 0;
    std::string decode_vm;
    std::string decode_address;
    std::string prefill_vm;
    std::vector<std::string> excluded;
    bool maybe_run = false;

    int agent_status = 0;
    event_splitter events;
    std::string refusal;
    std::optional<attempt_failure> failure;
    bool complete = false;
    std::uint32_t delivered = 0;
    bool streaming = false;
    json usage;
    std::string text;
    std::string finish_reason = "stop";

    std::mutex mutex;
    bool given_up = false;
    http_client::call_id call_id = 0;
};

} // namespace

void start_model_request(entry_context& context, std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<model_request>(context, std::move(exchange))->start();
}

} // namespace agateseam

#include <daemon/entry_context.hpp>

#include <algorithm>
#include <charconv>
#include <mutex>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/caller_answer.hpp>
#include <daemon/model_request_parts.hpp>
#include <daemon/renewal_controller.hpp>
#include <daemon/request_meter.hpp>
#include <daemon/server_sent_events.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int status_ok = 200;

/// Reads the token's number from "ATTEMPT.NUMBER"; nothing when of another attempt.
std::optional<std::uint32_t> parse_token_number(std::string_view text,
                                                std::uint32_t attempt) noexcept
{
    const char* const end = text.data() + text.size();
    std::uint32_t first = 0;
    std::uint32_t second = 0;
    const auto head = std::from_chars(text.data(), end, first);
    if (head.ec != std::errc() || head.ptr == end || *head.ptr != '.' || first != attempt)
    {
        return std::nullopt;
    }
    const auto tail = std::from_chars(head.ptr + 1, end, second);
    const bool whole = tail.ec == std::errc() && tail.ptr == end;
    return whole ? std::optional(second) : std::nullopt;
}

/// One caller's request: its attempts, one after the other, and the answer's relay.
class model_request final : public http_sink,
                            public attempt_owner,
                            public std::enable_shared_from_this<model_request>
{
  public:
    model_request(entry_context& shared, std::shared_ptr<http_exchange> caller)
        : context(&shared)
        , exchange(std::move(caller))
        , answer(this->exchange)
        , meter(*shared.telemetry)
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
        if (this->find_pool())
        {
            this->admit();
        }
    }

    /// Goes on once the tokens are reserved.
    void admitted(const admission_decision& decision)
    {
        this->id = this->context->next_request_id();
        this->answer.describe(this->id, this->parts, decision);
        this->meter.admitted(this->id, this->workspace, this->pool, this->policy,
                             this->parts.prompt_tokens);
        this->context->retries->record_request();
        this->deadline = this->context->time.now() +
                         this->context->settings.limits.first_token_timeout;
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
        const auto answers =
            std::find_if(head.begin(), head.end(),
                         [](const auto& item) { return item.first == headers::answer; });
        this->crossed =
            status == status_ok &&
            (answers == head.end() || answers->second != to_text(this->current()));
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        if (this->withdrawn())
        {
            return false;
        }
        if (this->agent_status != status_ok)
        {
            return true;
        }
        if (this->crossed)
        {
            ++this->context->counters.events_dropped;
            return false;
        }
        this->events.feed(data);
        while (const auto event = this->events.next())
        {
            if (!this->take(*event))
            {
                return false;
            }
        }
        return !this->exchange->gone();
    }

    void on_done(const result<void>& outcome) override
    {
        this->context->attempts.remove(this->current());
        if (this->exchange->gone())
        {
            this->meter.cancelled(this->answer.begun());
            this->end_at_agent();
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
        else if (!outcome && outcome.error().code == error_code::unavailable)
        {
            this->try_again({run_state::not_run, outcome.error()});
        }
        else if (!outcome)
        {
            this->probe(outcome.error());
        }
        else
        {
            this->try_again(
                {run_state::not_run,
                 {error_code::exhausted, "reserve slot", this->decode_vm,
                  "the agent answered " + std::to_string(this->agent_status)}});
        }
    }

    void on_lost() override
    {
        ++this->context->counters.attempts_lost;
        http_client::call_id running = 0;
        {
            const std::scoped_lock hold(this->mutex);
            running = this->call_id;
        }
        this->context->client->cancel(running);
    }

  private:
    [[nodiscard]] attempt_id current() const { return {this->id, this->attempt}; }

    void end_at_agent()
    {
        end_attempt(*this->context, this->decode_address, this->current());
    }

    /// A silent or broken stream is no verdict on its server: asks it over a new
    /// connection.
    void probe(const error& fault)
    {
        if (fault.code == error_code::timeout)
        {
            ++this->context->counters.streams_silent;
        }
        http_call call;
        call.url = "http://" + this->decode_address + "/agent/attempts/" + this->id +
                   "/" + std::to_string(this->attempt);
        call.step = "probe";
        call.total_timeout = this->context->settings.limits.silence_timeout;
        call.fresh_connection = true;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret}};
        this->context->client->fetch_async(
            std::move(call),
            [self = this->shared_from_this(), fault](const result<http_reply>& reply)
            {
                self->end_at_agent();
                self->try_again({run_state::unknown, fault},
                                reply ? verdict::alive : verdict::suspect);
            });
    }

    /// Whether the agent of a failed attempt may be asked again.
    enum class verdict : std::uint8_t
    {
        alive,
        suspect
    };

    void refuse(const api_error& refused) { this->answer.refuse(refused); }

    /// Finds the pool that serves the model and that the workspace may use.
    [[nodiscard]] bool find_pool()
    {
        const auto config = this->context->board.config.read();
        const auto owner = config->current.workspaces.find(this->workspace);
        if (owner == config->current.workspaces.end())
        {
            this->refuse(to_api_error({error_code::unauthorized, "find pool", "",
                                       "the workspace has just been removed"},
                                      run_state::not_run));
            return false;
        }
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

    void admit()
    {
        const double wanted =
            double{0} + this->parts.prompt_tokens + this->parts.output_tokens;
        this->context->allowance->reserve_async(
            this->workspace, wanted,
            [self = this->shared_from_this(), wanted](const admission_decision& decision)
            { self->decided(decision, wanted); });
    }

    void decided(const admission_decision& decision, double wanted)
    {
        if (decision.admitted)
        {
            this->reserved = wanted;
            this->admitted(decision);
            return;
        }
        api_error refused;
        refused.status = decision.level_known ? 429 : 503;
        refused.code = decision.level_known ? "rate_limit_exceeded" : "unavailable";
        refused.step = "admit";
        refused.message = decision.level_known ? "the workspace's allowance is used up"
                                               : "the allowance's home cannot be reached";
        refused.retry_after =
            std::max(milliseconds(1'000),
                     std::chrono::duration_cast<milliseconds>(decision.retry_after));
        this->meter.refused(decision.level_known ? error_code::exhausted
                                                 : error_code::unavailable,
                            this->workspace);
        this->refuse(refused);
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
        wanted.excluded_vms = this->excluded;
        const auto choice = this->choose(wanted);
        if (!choice)
        {
            this->meter.failed(choice.error().code, this->answer.begun());
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
        call.silent_timeout = this->context->settings.limits.silence_timeout;
        call.total_timeout = this->context->settings.limits.request_timeout;
        this->meter.sent(this->attempt, this->decode_vm, this->delivered);
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(order)},
            this->context->telemetry->stamp_header()};
        call.body = this->body;
        this->start_call(std::move(call));
    }

    void start_call(http_call call)
    {
        this->events = {};
        this->failure.reset();
        this->crossed = false;
        const std::scoped_lock hold(this->mutex);
        if (this->given_up)
        {
            this->meter.cancelled(this->answer.begun());
            this->settle();
            return;
        }
        this->context->attempts.add(this->decode_address, this->current(),
                                    this->weak_from_this());
        this->call_id =
            this->context->client->start(std::move(call), this->shared_from_this());
    }

    /// \returns false when the attempt cannot go on.
    [[nodiscard]] bool take(const server_sent_event& event)
    try
    {
        if (event.data == stream_end)
        {
            this->complete = true;
        }
        else if (event.name == "failure")
        {
            this->failure = parse_attempt_failure(event.data);
        }
        else if (event.name == "stamp")
        {
            this->context->telemetry->merge_stamp(event.data);
        }
        else if (event.name == "usage")
        {
            this->answer.take_usage(event.data);
        }
        else
        {
            return this->take_choice(event);
        }
        return true;
    }
    catch (const json::exception& fault)
    {
        this->failure = attempt_failure{
            run_state::ran,
            {error_code::broken, "decode", this->decode_vm, fault.what()}};
        return false;
    }

    /// Passes each token on once and in order, and the answer's last chunk once.
    [[nodiscard]] bool take_choice(const server_sent_event& event)
    {
        if (!event.id.empty())
        {
            const auto number = parse_token_number(event.id, this->attempt);
            if (!number || *number <= this->delivered)
            {
                ++this->context->counters.events_dropped;
                return true;
            }
            if (*number > this->delivered + 1)
            {
                ++this->context->counters.event_gaps;
                this->failure = attempt_failure{run_state::ran,
                                                {error_code::broken, "decode",
                                                 this->decode_vm, "a token is missing"}};
                return false;
            }
            return this->pass_token(event);
        }
        if (event.name == "finish" && this->finished)
        {
            return true;
        }
        this->finished = this->finished || event.name == "finish";
        this->answer.pass(event.data);
        return true;
    }

    /// Hands a token on, then counts it: the allowance counts only what has gone out.
    /// Tokens past those that were reserved are dropped.
    [[nodiscard]] bool pass_token(const server_sent_event& event)
    {
        if (this->delivered >= this->parts.output_tokens)
        {
            ++this->context->counters.events_dropped;
            return true;
        }
        ++this->delivered;
        this->meter.tokens(1);
        this->finished = this->finished || event.name == "finish";
        this->answer.pass(event.data);
        if (this->parts.stream)
        {
            this->charge(1);
        }
        return true;
    }

    /// Counts reserved tokens as delivered.
    void charge(double tokens)
    {
        const double counted = std::min(tokens, this->reserved);
        this->context->allowance->deliver(this->workspace, counted);
        this->reserved -= counted;
    }

    void finish()
    {
        // Each engine of a resumed answer counted only what it produced itself.
        if (this->attempt > 1)
        {
            this->answer.complete_usage(this->delivered);
        }
        this->meter.ended(read_engine_usage(this->answer.usage()));
        this->answer.finish();
        if (!this->parts.stream)
        {
            this->charge(this->delivered);
        }
        this->settle();
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
    void try_again(const attempt_failure& failed, verdict agent = verdict::suspect)
    {
        this->meter.attempt_failed(this->attempt, failed.fault);
        log_error("attempt failed", failed.fault,
                  {{"request", std::string_view(this->id)},
                   {"workspace", std::string_view(this->workspace)},
                   {"attempt", std::int64_t{this->attempt}}});
        this->maybe_run = this->maybe_run || failed.run != run_state::not_run;
        if (agent == verdict::suspect)
        {
            this->exclude(failed.fault);
        }
        if (this->exchange->gone())
        {
            this->settle();
            return;
        }
        const bool late =
            this->context->time.now() >= this->deadline && this->delivered == 0;
        if (this->attempt >= this->context->settings.limits.max_attempts || late ||
            !this->take_retry(failed))
        {
            this->meter.failed(failed.fault.code, this->answer.begun());
            this->give_answer(to_api_error(failed.fault, this->run_so_far()));
            return;
        }
        if (this->delivered > 0)
        {
            ++this->context->counters.resumed;
            this->deadline = this->context->time.now() +
                             this->context->settings.limits.first_token_timeout;
        }
        this->next_attempt();
    }

    /// A refusal for want of a slot cost nothing and needs no budget.
    [[nodiscard]] bool take_retry(const attempt_failure& failed)
    {
        ++this->context->counters.retries;
        const bool free = failed.run == run_state::not_run &&
                          failed.fault.code == error_code::exhausted;
        if (free || this->context->retries->try_take())
        {
            return true;
        }
        ++this->context->counters.retries_refused;
        return false;
    }

    void exclude(const error& fault)
    {
        this->excluded.push_back(fault.step == "prefill" ? this->prefill_vm
                                                         : this->decode_vm);
    }

    void give_answer(const api_error& refused)
    {
        this->settle();
        this->answer.refuse(refused);
    }

    /// Counts the prompt once the caller has received something, by the engine's own
    /// count where it is known, and gives the rest of the reservation back.
    void settle()
    {
        if (this->reserved <= 0)
        {
            return;
        }
        if (this->answer.received())
        {
            this->charge(static_cast<double>(this->answer.prompt_tokens()));
        }
        this->context->allowance->release(this->workspace, this->reserved);
        this->reserved = 0;
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
    caller_answer answer;
    request_meter meter;
    model_request_parts parts;
    std::string workspace;
    key_flag key;
    std::string pool;
    policy_config policy;
    double weight = 1;
    std::string id;
    std::string body;
    time_point deadline;
    double reserved = 0;

    std::uint32_t attempt = 0;
    std::string decode_vm;
    std::string decode_address;
    std::string prefill_vm;
    std::vector<std::string> excluded;
    bool maybe_run = false;

    int agent_status = 0;
    bool crossed = false;  ///< The answer is to another attempt.
    bool finished = false; ///< The answer's last chunk has been passed on.
    event_splitter events;
    std::optional<attempt_failure> failure;
    bool complete = false;
    std::uint32_t delivered = 0;

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

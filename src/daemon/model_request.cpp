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

/// Reads the token number from "ATTEMPT.NUMBER".
/// \returns nothing for malformed text or another attempt.
std::optional<std::uint32_t> parse_token_number(std::string_view text,
                                                std::uint32_t attempt) noexcept
{
    const char* const end = text.data() + text.size();
    std::uint32_t parsed_attempt = 0;
    std::uint32_t token_number = 0;
    const auto attempt_part = std::from_chars(text.data(), end, parsed_attempt);
    if (attempt_part.ec != std::errc() || attempt_part.ptr == end ||
        *attempt_part.ptr != '.' || parsed_attempt != attempt)
    {
        return std::nullopt;
    }
    const auto token_part = std::from_chars(attempt_part.ptr + 1, end, token_number);
    const bool complete = token_part.ec == std::errc() && token_part.ptr == end;
    return complete ? std::optional(token_number) : std::nullopt;
}

/// One caller's request. It makes attempts one after another and relays the answer.
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
        ++this->context->requests_in_progress;
    }

    ~model_request() override { --this->context->requests_in_progress; }
    model_request(const model_request&) = delete;
    model_request& operator=(const model_request&) = delete;

    void start()
    {
        auto key_workspace = this->context->authenticate(this->exchange->request());
        if (!key_workspace)
        {
            this->refuse(to_api_error(key_workspace.error(), run_state::not_run));
            return;
        }
        this->workspace = std::move(*key_workspace);
        this->watched_key = this->context->watch_key(this->exchange->request());
        auto parsed_parts =
            read_model_request(this->exchange->request(), this->context->settings.limits);
        if (!parsed_parts)
        {
            this->refuse(to_api_error(parsed_parts.error(), run_state::not_run));
            return;
        }
        this->parts = std::move(*parsed_parts);
        if (this->find_pool())
        {
            this->admit();
        }
    }

    /// Starts the first attempt after the tokens have been reserved.
    void on_admitted(const admission_decision& decision)
    {
        this->id = this->context->next_request_id();
        this->answer.set_request(this->id, this->parts, decision);
        this->meter.record_admitted(this->id, this->workspace, this->pool, this->policy,
                                    this->parts.prompt_tokens);
        this->context->retries->record_request();
        this->deadline = this->context->time.now() +
                         this->context->settings.limits.first_token_timeout;
        this->body = this->exchange->take_body();
        const std::weak_ptr<model_request> weak = this->weak_from_this();
        this->exchange->on_disconnect(
            [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->cancel();
                }
            });
        this->next_attempt();
    }

    void on_head(int status, const std::vector<http_header>& head) override
    {
        this->agent_status = status;
        this->context->apply_load_header(head);
        const auto answer_header =
            std::find_if(head.begin(), head.end(),
                         [](const auto& item) { return item.first == headers::answer; });
        this->answers_another_attempt =
            status == status_ok &&
            (answer_header == head.end() ||
             answer_header->second != to_text(this->current_attempt_id()));
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        if (this->ends_for_withdrawn_key())
        {
            return false;
        }
        if (this->agent_status != status_ok)
        {
            return true;
        }
        if (this->answers_another_attempt)
        {
            ++this->context->counters.events_dropped;
            return false;
        }
        this->events.feed(data);
        while (const auto event = this->events.next())
        {
            if (!this->handle_event(*event))
            {
                return false;
            }
        }
        return !this->exchange->disconnected() && !this->events.is_oversize();
    }

    void on_done(const result<void>& outcome) override
    {
        this->context->attempts.remove(this->current_attempt_id());
        if (this->exchange->disconnected())
        {
            this->meter.record_cancelled(this->answer.stream_begun());
            this->end_current_attempt_at_agent();
            this->settle_reservation();
        }
        else if (this->stream_complete)
        {
            this->finish();
        }
        else if (this->ends_for_withdrawn_key())
        {
            this->end_with_error(this->key_withdrawn_error());
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
            this->probe_agent(outcome.error());
        }
        else
        {
            this->try_again(
                {run_state::not_run,
                 {error_code::exhausted, "reserve slot", this->decode_vm,
                  "the agent answered " + std::to_string(this->agent_status)}});
        }
    }

    void on_attempt_lost() override
    {
        ++this->context->counters.attempts_lost;
        http_client::call_id running_call = 0;
        {
            const std::scoped_lock lock(this->mutex);
            running_call = this->call_id;
        }
        this->context->client->cancel(running_call);
    }

  private:
    [[nodiscard]] attempt_id current_attempt_id() const
    {
        return {this->id, this->attempt};
    }

    void end_current_attempt_at_agent()
    {
        end_attempt_at_agent(*this->context, this->decode_address,
                             this->current_attempt_id());
    }

    /// Asks the agent over a new connection whether it is reachable, because a silent or
    /// broken stream does not show that the agent has failed.
    void probe_agent(const error& fault)
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
                self->end_current_attempt_at_agent();
                self->try_again({run_state::unknown, fault},
                                reply ? agent_health::reachable
                                      : agent_health::suspected);
            });
    }

    /// State of the agent of a failed attempt; a suspected agent is excluded from
    /// retries.
    enum class agent_health : std::uint8_t
    {
        reachable,
        suspected
    };

    void refuse(const api_error& refusal) { this->answer.refuse(refusal); }

    /// Finds a pool that serves the model and that the workspace may use.
    [[nodiscard]] bool find_pool()
    {
        const auto config = this->context->board.config.read();
        const auto workspace_item = config->current.workspaces.find(this->workspace);
        if (workspace_item == config->current.workspaces.end())
        {
            this->refuse(to_api_error({error_code::unauthorized, "find pool", "",
                                       "the workspace has just been removed"},
                                      run_state::not_run));
            return false;
        }
        for (const auto& [name, candidate] : config->current.pools)
        {
            const auto& allowed = workspace_item->second.pools;
            const bool permitted =
                allowed.empty() ||
                std::find(allowed.begin(), allowed.end(), name) != allowed.end();
            if (permitted && candidate.model == this->parts.model)
            {
                this->pool = name;
                this->weight = workspace_item->second.weight;
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
        // Added as floating point, because a sum of 32-bit counts could overflow.
        const double wanted_tokens =
            double{0} + this->parts.prompt_tokens + this->parts.output_tokens;
        this->context->allowance->reserve_async(
            this->workspace, wanted_tokens,
            [self = this->shared_from_this(),
             wanted_tokens](const admission_decision& decision)
            { self->on_admission_decision(decision, wanted_tokens); });
    }

    void on_admission_decision(const admission_decision& decision, double wanted_tokens)
    {
        if (decision.admitted)
        {
            this->reserved_tokens = wanted_tokens;
            this->on_admitted(decision);
            return;
        }
        api_error refusal;
        refusal.status = decision.level_known ? 429 : 503;
        refusal.code = decision.level_known ? "rate_limit_exceeded" : "unavailable";
        refusal.step = "admit";
        refusal.message = decision.level_known ? "the workspace's allowance is used up"
                                               : "the allowance's home cannot be reached";
        refusal.retry_after =
            std::max(milliseconds(1'000),
                     std::chrono::duration_cast<milliseconds>(decision.retry_after));
        this->meter.record_refused(decision.level_known ? error_code::exhausted
                                                        : error_code::unavailable,
                                   this->workspace);
        this->refuse(refusal);
    }

    /// Tells whether the key has been withdrawn in a way that ends this request.
    [[nodiscard]] bool ends_for_withdrawn_key() const
    {
        const key_state state = *this->watched_key;
        return state == key_state::withdrawn_cut ||
               (state == key_state::withdrawn && this->delivered == 0);
    }

    [[nodiscard]] api_error key_withdrawn_error() const
    {
        return to_api_error(
            {error_code::unauthorized, "authenticate", "", "the key has been withdrawn"},
            this->current_run_state());
    }

    void next_attempt()
    {
        if (this->ends_for_withdrawn_key())
        {
            this->end_with_error(this->key_withdrawn_error());
            return;
        }
        placement_request query;
        query.pool = this->pool;
        query.workspace = this->workspace;
        query.failure_domain = this->context->settings.failure_domain;
        query.prompt_tokens = this->parts.prompt_tokens;
        query.output_tokens = this->parts.output_tokens;
        query.excluded_vms = this->excluded_vms;
        const auto choice = this->choose(query);
        if (!choice)
        {
            this->meter.record_failed(choice.error().code, this->answer.stream_begun());
            this->end_with_error(to_api_error(choice.error(), this->current_run_state()));
            return;
        }
        this->send(*choice);
    }

    [[nodiscard]] result<placement_choice> choose(const placement_request& query)
    {
        const auto members = this->context->board.members.read();
        if (!members)
        {
            return fail(error_code::exhausted, "place", "", "no agent is known yet");
        }
        return this->context->placer->choose(query, *members, this->policy);
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
        call.idle_timeout = this->context->settings.limits.silence_timeout;
        call.total_timeout = this->context->settings.limits.request_timeout;
        this->meter.record_sent(this->attempt, this->decode_vm, this->delivered);
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
        this->answers_another_attempt = false;
        const std::scoped_lock lock(this->mutex);
        if (this->cancelled)
        {
            this->meter.record_cancelled(this->answer.stream_begun());
            this->settle_reservation();
            return;
        }
        this->context->attempts.add(this->decode_address, this->current_attempt_id(),
                                    this->weak_from_this());
        this->call_id =
            this->context->client->start(std::move(call), this->shared_from_this());
    }

    /// \returns false when the attempt must end.
    [[nodiscard]] bool handle_event(const server_sent_event& event)
    try
    {
        if (event.data == stream_end)
        {
            this->stream_complete = true;
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
            this->answer.set_usage(event.data);
        }
        else
        {
            return this->handle_chunk(event);
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

    /// Passes on each token once and in order, and the last chunk of the answer once.
    /// \returns false when the attempt must end.
    [[nodiscard]] bool handle_chunk(const server_sent_event& event)
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
            return this->deliver_token(event);
        }
        if (event.name == "finish" && this->last_chunk_passed)
        {
            return true;
        }
        this->last_chunk_passed = this->last_chunk_passed || event.name == "finish";
        this->answer.add_chunk(event.data);
        return true;
    }

    /// Passes on a token and, in a streamed answer, then charges it, because the
    /// allowance counts only tokens that have been sent. Tokens beyond the reserved
    /// number are dropped.
    [[nodiscard]] bool deliver_token(const server_sent_event& event)
    {
        if (this->delivered >= this->parts.output_tokens)
        {
            ++this->context->counters.events_dropped;
            return true;
        }
        ++this->delivered;
        this->meter.record_tokens(1);
        this->last_chunk_passed = this->last_chunk_passed || event.name == "finish";
        this->answer.add_chunk(event.data);
        if (this->parts.stream)
        {
            this->charge(1);
        }
        return true;
    }

    /// Charges tokens to the allowance as delivered, at most as many as are reserved.
    void charge(double tokens)
    {
        const double counted = std::min(tokens, this->reserved_tokens);
        this->context->allowance->deliver(this->workspace, counted);
        this->reserved_tokens -= counted;
    }

    void finish()
    {
        // Each engine of a resumed answer reports only the tokens that it produced
        // itself.
        if (this->attempt > 1)
        {
            this->answer.correct_usage(this->delivered);
        }
        this->meter.record_completed(read_engine_usage(this->answer.usage()));
        this->answer.finish();
        if (!this->parts.stream)
        {
            this->charge(this->delivered);
        }
        this->settle_reservation();
    }

    [[nodiscard]] run_state current_run_state() const
    {
        if (this->delivered > 0)
        {
            return run_state::ran;
        }
        return this->may_have_run ? run_state::unknown : run_state::not_run;
    }

    /// Retries a failed attempt, unless the maximum of attempts, the deadline or the
    /// retry budget is reached; then the request ends with the attempt's error. A retry
    /// is safe for a model request, because a new attempt resumes after the delivered
    /// tokens.
    void try_again(const attempt_failure& failed,
                   agent_health agent = agent_health::suspected)
    {
        this->meter.record_attempt_failed(this->attempt, failed.fault);
        log_error("attempt failed", failed.fault,
                  {{"request", std::string_view(this->id)},
                   {"workspace", std::string_view(this->workspace)},
                   {"attempt", std::int64_t{this->attempt}}});
        this->may_have_run = this->may_have_run || failed.run != run_state::not_run;
        if (agent == agent_health::suspected)
        {
            this->exclude(failed.fault);
        }
        if (this->exchange->disconnected())
        {
            this->settle_reservation();
            return;
        }
        const bool first_token_late =
            this->context->time.now() >= this->deadline && this->delivered == 0;
        if (this->attempt >= this->context->settings.limits.max_attempts ||
            first_token_late || !this->try_take_retry(failed))
        {
            this->meter.record_failed(failed.fault.code, this->answer.stream_begun());
            this->end_with_error(to_api_error(failed.fault, this->current_run_state()));
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

    /// Takes a retry from the budget. An attempt that was refused for lack of a slot
    /// caused no work, so its retry needs no budget.
    [[nodiscard]] bool try_take_retry(const attempt_failure& failed)
    {
        ++this->context->counters.retries;
        const bool needs_no_budget = failed.run == run_state::not_run &&
                                     failed.fault.code == error_code::exhausted;
        if (needs_no_budget || this->context->retries->try_take())
        {
            return true;
        }
        ++this->context->counters.retries_refused;
        return false;
    }

    void exclude(const error& fault)
    {
        this->excluded_vms.push_back(fault.step == "prefill" ? this->prefill_vm
                                                             : this->decode_vm);
    }

    void end_with_error(const api_error& fault)
    {
        this->settle_reservation();
        this->answer.refuse(fault);
    }

    /// Charges the prompt if the caller has received a part of the answer, by the
    /// engine's count if it is known, and releases the rest of the reservation.
    void settle_reservation()
    {
        if (this->reserved_tokens <= 0)
        {
            return;
        }
        if (this->answer.received())
        {
            this->charge(static_cast<double>(this->answer.prompt_tokens()));
        }
        this->context->allowance->release(this->workspace, this->reserved_tokens);
        this->reserved_tokens = 0;
    }

    void cancel()
    {
        http_client::call_id running_call = 0;
        {
            const std::scoped_lock lock(this->mutex);
            this->cancelled = true;
            running_call = this->call_id;
        }
        if (running_call != 0)
        {
            this->context->client->cancel(running_call);
        }
    }

    entry_context* context;
    std::shared_ptr<http_exchange> exchange;
    caller_answer answer;
    request_meter meter;
    model_request_parts parts;
    std::string workspace;
    key_flag watched_key;
    std::string pool;
    policy_config policy;
    double weight = 1;
    std::string id;
    std::string body;
    time_point deadline;        ///< For the first token; extended when an answer resumes.
    double reserved_tokens = 0; ///< Reserved and neither charged nor released yet.

    std::uint32_t attempt = 0; ///< Number of the current attempt; the first is 1.
    std::string decode_vm;
    std::string decode_address;
    std::string prefill_vm;
    std::vector<std::string> excluded_vms; ///< Of failed attempts; not used for retries.
    bool may_have_run = false; ///< Whether a failed attempt may have run at an engine.

    int agent_status = 0;                 ///< HTTP status of the agent's answer.
    bool answers_another_attempt = false; ///< The answer does not name this attempt.
    bool last_chunk_passed = false;       ///< The last chunk has been passed on.
    event_splitter events;
    std::optional<attempt_failure> failure;
    bool stream_complete = false;
    std::uint32_t delivered = 0; ///< Tokens passed on, over all attempts.

    std::mutex mutex; ///< Guards the members below.
    bool cancelled = false;
    http_client::call_id call_id = 0;
};

} // namespace

void start_model_request(entry_context& context, std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<model_request>(context, std::move(exchange))->start();
}

} // namespace agateseam

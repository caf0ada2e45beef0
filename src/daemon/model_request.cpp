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
/// Name of the event with which an agent reports that an attempt has failed.
constexpr std::string_view failure_event = "failure";

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

/// One attempt of a request, and what its agent has sent.
struct model_attempt
{
    attempt_id id;
    std::string decode_vm;
    std::string decode_address;
    std::string prefill_vm;
    int agent_status = 0;                 ///< HTTP status of the agent's answer.
    bool answers_another_attempt = false; ///< The answer does not name this attempt.
    event_splitter events;
    std::optional<attempt_failure> failure;
    bool stream_complete = false;
    bool is_silent = false;        ///< Nothing has come for the longest silence.
    http_client::call_id call = 0; ///< Guarded by the request's `call_mutex`.
};

/// One caller's request. It makes attempts one after another and relays the answer. While
/// an attempt is silent, another one may run beside it until either goes on.
class model_request final : public std::enable_shared_from_this<model_request>
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

    ~model_request() { --this->context->requests_in_progress; }
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
        const std::scoped_lock lock(this->event_mutex);
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

    void on_head(model_attempt& from, int status, const std::vector<http_header>& head)
    {
        const std::scoped_lock lock(this->event_mutex);
        from.agent_status = status;
        this->context->apply_load_header(head);
        const auto answer_header =
            std::find_if(head.begin(), head.end(),
                         [](const auto& item) { return item.first == headers::answer; });
        from.answers_another_attempt =
            status == status_ok &&
            (answer_header == head.end() || answer_header->second != to_text(from.id));
    }

    [[nodiscard]] bool on_data(model_attempt& from, std::string_view data)
    {
        const std::scoped_lock lock(this->event_mutex);
        if (!this->is_open(from) || this->ends_for_withdrawn_key())
        {
            return false;
        }
        if (from.agent_status != status_ok)
        {
            return true;
        }
        if (from.answers_another_attempt)
        {
            ++this->context->counters.events_dropped;
            return false;
        }
        from.is_silent = false;
        from.events.feed(data);
        auto event = from.events.next();
        const bool has_failed = event && event->name == failure_event;
        if (&from == this->silent.get() && !has_failed)
        {
            this->go_on_with_silent_attempt("it goes on");
        }
        for (; event; event = from.events.next())
        {
            if (!this->handle_event(from, *event))
            {
                return false;
            }
        }
        return !this->exchange->disconnected() && !from.events.is_oversize();
    }

    /// Looks for another agent when the current attempt is silent. Its answer may still
    /// come, so it goes on until another attempt has brought a token.
    [[nodiscard]] bool on_silence(model_attempt& from)
    {
        const std::scoped_lock lock(this->event_mutex);
        if (!this->is_open(from))
        {
            return false;
        }
        if (this->silent)
        {
            return true;
        }
        if (this->is_first_token_late())
        {
            return false;
        }
        if (!from.is_silent)
        {
            ++this->context->counters.streams_silent;
        }
        from.is_silent = true;
        if (this->attempt < this->context->settings.limits.max_attempts)
        {
            this->probe_agent(from.id, from.decode_address,
                              [self = this->shared_from_this(),
                               probed = this->current](agent_health agent)
                              { self->replace_silent_attempt(*probed, agent); });
        }
        return true;
    }

    void on_done(model_attempt& from, const result<void>& outcome)
    {
        this->context->attempts.remove(from.id);
        const std::scoped_lock lock(this->event_mutex);
        if (!this->is_open(from))
        {
            return;
        }
        if (this->exchange->disconnected())
        {
            this->meter.record_cancelled(this->answer.stream_begun());
            this->end_attempts();
            this->settle_reservation();
        }
        else if (from.stream_complete)
        {
            this->end_silent_attempt();
            this->current.reset();
            this->finish();
        }
        else if (this->ends_for_withdrawn_key())
        {
            this->end_with_error(this->key_withdrawn_error());
        }
        else if (&from == this->silent.get())
        {
            this->end_silent_attempt();
        }
        else if (this->silent)
        {
            this->record_failure(from, failure_of(from, outcome));
            this->go_on_with_silent_attempt("the other attempt failed");
        }
        else if (!from.failure && !outcome &&
                 outcome.error().code != error_code::unavailable)
        {
            this->probe_after_loss(this->current, outcome.error());
        }
        else
        {
            const auto failed = this->current;
            this->try_again(*failed, failure_of(from, outcome));
        }
    }

    void on_attempt_lost(const model_attempt& lost)
    {
        ++this->context->counters.attempts_lost;
        this->cancel_call(lost);
    }

  private:
    /// State of the agent of a failed attempt; a suspected agent is excluded from
    /// retries.
    enum class agent_health : std::uint8_t
    {
        reachable,
        suspected
    };

    /// Tells whether the answer may still come from an attempt.
    [[nodiscard]] bool is_open(const model_attempt& asked) const noexcept
    {
        return &asked == this->current.get() || &asked == this->silent.get();
    }

    [[nodiscard]] bool is_first_token_late() const
    {
        return this->delivered == 0 && this->context->time.now() >= this->deadline;
    }

    /// Returns why an attempt without a complete answer has ended.
    [[nodiscard]] static attempt_failure failure_of(const model_attempt& ended,
                                                    const result<void>& outcome)
    {
        if (ended.failure)
        {
            return *ended.failure;
        }
        if (!outcome)
        {
            return {outcome.error().code == error_code::unavailable ? run_state::not_run
                                                                    : run_state::unknown,
                    outcome.error()};
        }
        return {run_state::not_run,
                {error_code::exhausted, "reserve slot", ended.decode_vm,
                 "the agent answered " + std::to_string(ended.agent_status)}};
    }

    void cancel_call(const model_attempt& ended)
    {
        http_client::call_id running_call = 0;
        {
            const std::scoped_lock lock(this->call_mutex);
            running_call = ended.call;
        }
        this->context->client->cancel(running_call);
    }

    /// Ends an attempt whose answer isn't needed any more.
    void end_attempt(const model_attempt& ended)
    {
        this->context->attempts.remove(ended.id);
        this->cancel_call(ended);
        end_attempt_at_agent(*this->context, ended.decode_address, ended.id);
    }

    void end_silent_attempt()
    {
        if (const auto ended = std::move(this->silent))
        {
            this->end_attempt(*ended);
        }
    }

    void end_attempts()
    {
        this->end_silent_attempt();
        if (const auto ended = std::move(this->current))
        {
            this->end_attempt(*ended);
        }
    }

    /// Ends the other attempt, which has brought no token, and waits for the silent one.
    void go_on_with_silent_attempt(std::string_view reason)
    {
        const auto ended = std::exchange(this->current, std::move(this->silent));
        this->silent.reset();
        this->end_attempt(*ended);
        log_line(log_level::info, "silent attempt kept",
                 {{"request", std::string_view(this->id)},
                  {"attempt", std::int64_t{this->current->id.attempt}},
                  {"reason", reason}});
    }

    /// Begins another attempt beside the silent one, if one may be made.
    void replace_silent_attempt(const model_attempt& probed, agent_health agent)
    {
        const std::scoped_lock lock(this->event_mutex);
        if (&probed != this->current.get() || !probed.is_silent || this->silent ||
            this->exchange->disconnected() || this->ends_for_withdrawn_key())
        {
            return;
        }
        if (agent == agent_health::suspected)
        {
            this->exclude(probed.decode_vm);
        }
        std::vector<std::string> excluded = this->excluded_vms;
        excluded.push_back(probed.decode_vm);
        placement_request query = this->make_placement_request();
        query.excluded_vms = excluded;
        auto choice = this->choose(query);
        if (!choice)
        {
            choice = this->choose(this->make_placement_request());
        }
        if (!choice || !this->try_take_retry())
        {
            return;
        }
        log_line(log_level::info, "attempt silent",
                 {{"request", std::string_view(this->id)},
                  {"attempt", std::int64_t{probed.id.attempt}},
                  {"delivered", std::int64_t{this->delivered}},
                  {"replacement", std::string_view(choice->decode->vm)}});
        this->record_resumption();
        this->silent = this->current;
        this->send(*choice);
    }

    /// Asks an agent over a new connection whether it is reachable, because a silent or
    /// broken stream does not show that the agent has failed.
    void probe_agent(const attempt_id& probed, const std::string& address,
                     std::function<void(agent_health)> done)
    {
        http_call call;
        call.url = "http://" + address + "/agent/attempts/" + probed.request + "/" +
                   std::to_string(probed.attempt);
        call.step = "probe";
        call.total_timeout = this->context->settings.limits.silence_timeout;
        call.fresh_connection = true;
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret}};
        this->context->client->fetch_async(
            std::move(call), [done = std::move(done)](const result<http_reply>& reply)
            { done(reply ? agent_health::reachable : agent_health::suspected); });
    }

    /// Makes another attempt after one whose connection has ended.
    void probe_after_loss(std::shared_ptr<model_attempt> lost, const error& fault)
    {
        if (fault.code == error_code::timeout)
        {
            ++this->context->counters.streams_silent;
        }
        this->probe_agent(
            lost->id, lost->decode_address,
            [self = this->shared_from_this(), lost, fault](agent_health agent)
            {
                const std::scoped_lock lock(self->event_mutex);
                end_attempt_at_agent(*self->context, lost->decode_address, lost->id);
                self->try_again(*lost, {run_state::unknown, fault}, agent);
            });
    }

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
        const auto choice = this->choose(this->make_placement_request());
        if (!choice)
        {
            this->meter.record_failed(choice.error().code, this->answer.stream_begun());
            this->end_with_error(to_api_error(choice.error(), this->current_run_state()));
            return;
        }
        this->send(*choice);
    }

    [[nodiscard]] placement_request make_placement_request() const
    {
        placement_request query;
        query.pool = this->pool;
        query.workspace = this->workspace;
        query.failure_domain = this->context->settings.failure_domain;
        query.prompt_tokens = this->parts.prompt_tokens;
        query.output_tokens = this->parts.output_tokens;
        query.excluded_vms = this->excluded_vms;
        return query;
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
        this->current = std::make_shared<model_attempt>();
        this->current->id = {this->id, this->attempt};
        this->current->decode_vm = choice.decode->vm;
        this->current->decode_address = choice.decode->address;
        this->current->prefill_vm = choice.prefill->vm;
        attempt_order order;
        order.id = this->current->id;
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
        this->meter.record_sent(this->attempt, choice.decode->vm, this->delivered);
        call.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(order)},
            this->context->telemetry->stamp_header()};
        call.body = this->body;
        this->start_call(std::move(call));
    }

    void start_call(http_call call);

    /// \returns false when the attempt must end.
    [[nodiscard]] bool handle_event(model_attempt& from, const server_sent_event& event)
    try
    {
        if (event.data == stream_end)
        {
            from.stream_complete = true;
        }
        else if (event.name == failure_event)
        {
            from.failure = parse_attempt_failure(event.data);
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
            return this->handle_chunk(from, event);
        }
        return true;
    }
    catch (const json::exception& fault)
    {
        from.failure = attempt_failure{
            run_state::ran, {error_code::broken, "decode", from.decode_vm, fault.what()}};
        return false;
    }

    /// Passes on each token once and in order, and the last chunk of the answer once.
    /// \returns false when the attempt must end.
    [[nodiscard]] bool handle_chunk(model_attempt& from, const server_sent_event& event)
    {
        if (!event.id.empty())
        {
            const auto number = parse_token_number(event.id, from.id.attempt);
            if (!number || *number <= this->delivered)
            {
                ++this->context->counters.events_dropped;
                return true;
            }
            if (*number > this->delivered + 1)
            {
                ++this->context->counters.event_gaps;
                from.failure = attempt_failure{
                    run_state::ran,
                    {error_code::broken, "decode", from.decode_vm, "a token is missing"}};
                return false;
            }
            this->end_silent_attempt();
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

    void record_failure(const model_attempt& ended, const attempt_failure& failed)
    {
        this->meter.record_attempt_failed(ended.id.attempt, failed.fault);
        log_error("attempt failed", failed.fault,
                  {{"request", std::string_view(this->id)},
                   {"workspace", std::string_view(this->workspace)},
                   {"attempt", std::int64_t{ended.id.attempt}}});
        this->may_have_run = this->may_have_run || failed.run != run_state::not_run;
    }

    /// Retries a failed attempt, unless the maximum of attempts, the deadline or the
    /// retry budget is reached; then the request ends with the attempt's error. A retry
    /// is safe for a model request, because a new attempt resumes after the delivered
    /// tokens.
    void try_again(const model_attempt& ended, const attempt_failure& failed,
                   agent_health agent = agent_health::suspected)
    {
        this->current.reset();
        this->record_failure(ended, failed);
        if (agent == agent_health::suspected)
        {
            this->exclude(failed.fault.step == "prefill" ? ended.prefill_vm
                                                         : ended.decode_vm);
        }
        if (this->exchange->disconnected())
        {
            this->settle_reservation();
            return;
        }
        if (this->attempt >= this->context->settings.limits.max_attempts ||
            this->is_first_token_late() || !this->may_try_again(failed))
        {
            this->meter.record_failed(failed.fault.code, this->answer.stream_begun());
            this->end_with_error(to_api_error(failed.fault, this->current_run_state()));
            return;
        }
        this->record_resumption();
        this->next_attempt();
    }

    /// Gives the next attempt of an answer that has begun its own time for its first
    /// token.
    void record_resumption()
    {
        if (this->delivered > 0)
        {
            ++this->context->counters.resumed;
            this->deadline = this->context->time.now() +
                             this->context->settings.limits.first_token_timeout;
        }
    }

    /// Takes a retry from the budget, except after an attempt that was refused for lack
    /// of a slot, which caused no work.
    [[nodiscard]] bool may_try_again(const attempt_failure& failed)
    {
        if (failed.run == run_state::not_run &&
            failed.fault.code == error_code::exhausted)
        {
            ++this->context->counters.retries;
            return true;
        }
        return this->try_take_retry();
    }

    [[nodiscard]] bool try_take_retry()
    {
        ++this->context->counters.retries;
        const bool is_taken = this->context->retries->try_take();
        this->context->counters.retries_refused += is_taken ? 0 : 1;
        return is_taken;
    }

    void exclude(const std::string& vm)
    {
        if (std::find(this->excluded_vms.begin(), this->excluded_vms.end(), vm) ==
            this->excluded_vms.end())
        {
            this->excluded_vms.push_back(vm);
        }
    }

    void end_with_error(const api_error& fault)
    {
        this->end_attempts();
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
        std::vector<http_client::call_id> running_calls;
        {
            const std::scoped_lock lock(this->call_mutex);
            this->cancelled = true;
            running_calls.swap(this->calls);
        }
        for (const http_client::call_id call : running_calls)
        {
            this->context->client->cancel(call);
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

    std::uint32_t attempt = 0; ///< Number of the latest attempt; the first is 1.
    std::shared_ptr<model_attempt> current;
    /// The attempt before `current`, whose answer may still come.
    std::shared_ptr<model_attempt> silent;
    std::vector<std::string> excluded_vms; ///< Of failed attempts; not used for retries.
    bool may_have_run = false; ///< Whether a failed attempt may have run at an engine.

    bool last_chunk_passed = false; ///< The last chunk has been passed on.
    std::uint32_t delivered = 0;    ///< Tokens passed on, over all attempts.

    /// Guards what attempts change, because two may run on different client threads.
    std::mutex event_mutex;
    /// Guards the members below and the calls of attempts. The exchange may call `cancel`
    /// while `event_mutex` is held.
    std::mutex call_mutex;
    bool cancelled = false;
    std::vector<http_client::call_id> calls; ///< That a caller who leaves cancels.
};

/// Passes what an attempt's call receives to its request.
class attempt_sink final : public http_sink, public attempt_owner
{
  public:
    attempt_sink(std::shared_ptr<model_request> owner,
                 std::shared_ptr<model_attempt> relayed)
        : request(std::move(owner))
        , attempt(std::move(relayed))
    {
    }

    void on_head(int status, const std::vector<http_header>& head) override
    {
        this->request->on_head(*this->attempt, status, head);
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        return this->request->on_data(*this->attempt, data);
    }

    [[nodiscard]] bool on_silence() override
    {
        return this->request->on_silence(*this->attempt);
    }

    void on_done(const result<void>& outcome) override
    {
        this->request->on_done(*this->attempt, outcome);
    }

    void on_attempt_lost() override { this->request->on_attempt_lost(*this->attempt); }

  private:
    std::shared_ptr<model_request> request;
    std::shared_ptr<model_attempt> attempt;
};

void model_request::start_call(http_call call)
{
    const auto sink =
        std::make_shared<attempt_sink>(this->shared_from_this(), this->current);
    const std::scoped_lock lock(this->call_mutex);
    if (this->cancelled && this->silent)
    {
        return; // The end of the silent attempt's call ends the request.
    }
    if (this->cancelled)
    {
        this->current.reset();
        this->meter.record_cancelled(this->answer.stream_begun());
        this->settle_reservation();
        return;
    }
    this->context->attempts.add(this->current->decode_address, this->current->id, sink);
    this->current->call = this->context->client->start(std::move(call), sink);
    this->calls.push_back(this->current->call);
}

} // namespace

void start_model_request(entry_context& context, std::shared_ptr<http_exchange> exchange)
{
    std::make_shared<model_request>(context, std::move(exchange))->start();
}

} // namespace agateseam

#include <daemon/agent_context.hpp>

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include <daemon/api_error.hpp>
#include <daemon/attempt_meter.hpp>
#include <daemon/json_members.hpp>
#include <daemon/server_sent_events.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_busy = 503; // The request was refused before it began.
/// Heartbeats end when the engine has been silent for this part of the time after which
/// the entry takes the stream for silent.
constexpr int engine_silence_divisor = 2;

/// Tells whether an engine's answer id contains a request id that no digit follows.
bool contains_request_id(std::string_view text, std::string_view id) noexcept
{
    const std::size_t at = text.find(id);
    if (at == std::string_view::npos)
    {
        return false;
    }
    const std::string_view rest = text.substr(at + id.size());
    return rest.empty() || rest.front() < '0' || rest.front() > '9';
}

/// One decode order. It waits for a slot and holds the slot until it ends.
class decode_attempt final : public heartbeat_listener,
                             public slot_owner,
                             public http_sink,
                             public std::enable_shared_from_this<decode_attempt>
{
  public:
    decode_attempt(agent_context& shared, std::shared_ptr<http_exchange> relay,
                   attempt_order accepted)
        : context(&shared)
        , exchange(std::move(relay))
        , order(std::move(accepted))
        , meter(*shared.telemetry, this->order)
        , delivered(order.resume_from)
    {
        ++this->context->attempts_in_progress;
        this->meter.record_event(event_kind::queued);
    }

    ~decode_attempt() override
    {
        this->meter.end();
        this->meter.record_event(event_kind::released);
        this->context->slots->release(this->order.id, this->tokens_produced());
        --this->context->attempts_in_progress;
    }

    decode_attempt(const decode_attempt&) = delete;
    decode_attempt& operator=(const decode_attempt&) = delete;

    void start()
    {
        const std::scoped_lock begin(this->start_mutex);
        this->deadline = this->context->time.now() + this->order.deadline;
        this->body = this->exchange->take_body();
        if (!is_json_object(this->body))
        {
            this->refuse(
                {error_code::invalid, "decode", "", "the body is not a JSON object"});
            return;
        }
        const auto queued = this->context->slots->submit(this->make_slot_request(),
                                                         this->shared_from_this());
        if (!queued)
        {
            this->refuse(queued.error());
            return;
        }
        this->exchange->begin_stream(
            status_ok, {{"Content-Type", "text/event-stream"},
                        {std::string(headers::answer), to_text(this->order.id)},
                        this->context->load_header(),
                        this->context->telemetry->stamp_header()});
        const std::weak_ptr<decode_attempt> weak = this->weak_from_this();
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
        const std::scoped_lock lock(this->start_mutex);
        switch (event.kind)
        {
        case slot_event_kind::granted:
            this->meter.record_event(event_kind::slot_taken);
            this->start_prefill();
            break;
        case slot_event_kind::started:
            this->start_decode();
            break;
        case slot_event_kind::refused:
            this->end(run_state::not_run,
                      {event.reason, "reserve slot", this->context->settings.vm,
                       "no slot can be had in time"});
            break;
        case slot_event_kind::lease_expired:
            this->exchange->abort();
            this->cancel();
            break;
        }
    }

    /// A heartbeat tells the entry that the stream is alive, which isn't known while its
    /// engine is silent.
    void on_heartbeat() override
    {
        if (!this->is_engine_silent)
        {
            this->exchange->write(stream_heartbeat);
        }
        const std::uint32_t received = this->delivered;
        const std::uint32_t limit = this->order.output_tokens;
        if (received > this->order.resume_from && received < limit)
        {
            const work_estimator& estimator = this->context->estimator;
            const double expected = estimator.remaining_tokens(limit, received);
            this->context->slots->set_remaining_use(
                this->order.id, estimator.output_time(expected),
                estimator.output_time(limit - received));
        }
    }

    void on_head(int status, const std::vector<http_header>&) override
    {
        this->engine_status = status;
    }

    /// The entry decides when a silent engine's answer is given up, as only it knows of
    /// another one.
    [[nodiscard]] bool on_silence() override
    {
        if (!this->is_engine_silent.exchange(true))
        {
            log_line(log_level::info, "engine silent",
                     {{"attempt", this->engine_id()},
                      {"delivered", std::int64_t{this->delivered}}});
        }
        return true;
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        this->is_engine_silent = false;
        if (this->engine_status != status_ok)
        {
            this->failure_bytes += data.size();
            return !this->is_failure_oversize();
        }
        this->events.feed(data);
        while (const auto event = this->events.next())
        {
            if (!this->relay(*event))
            {
                return false;
            }
        }
        return !this->exchange->disconnected() && !this->events.is_oversize();
    }

    void on_done(const result<void>& outcome) override
    {
        if (this->stream_complete)
        {
            this->record_answer_length();
            this->exchange->write(to_text({"", "", stream_end}));
            this->finish(run_state::ran);
        }
        else if (!outcome && !this->is_failure_oversize())
        {
            this->context->note_backend_error(outcome.error());
            this->end(run_state::ran, outcome.error());
        }
        else
        {
            this->end(this->refused_by_engine() ? run_state::not_run : run_state::unknown,
                      {error_code::unavailable, "decode",
                       this->context->settings.backend.url,
                       "the engine answered " + std::to_string(this->engine_status)});
        }
    }

  private:
    /// Tells whether the body of a failure is too long to be read to its end.
    [[nodiscard]] bool is_failure_oversize() const noexcept
    {
        constexpr std::size_t max_failure_bytes = 64 << 10;
        return this->failure_bytes > max_failure_bytes;
    }

    /// Tells whether the engine's status says that it did not begin the request.
    [[nodiscard]] bool refused_by_engine() const noexcept
    {
        return this->engine_status == status_busy ||
               (this->engine_status >= 400 && this->engine_status < 500);
    }

    [[nodiscard]] slot_request make_slot_request() const
    {
        const work_estimator& estimator = this->context->estimator;
        const std::uint32_t limit =
            this->order.output_tokens -
            std::min(this->order.output_tokens, this->order.resume_from);
        slot_request request;
        request.id = this->order.id;
        request.workspace = this->order.workspace;
        request.weight = this->order.weight;
        request.tokens = estimator.output_tokens(limit);
        request.expected_use = estimator.output_time(request.tokens);
        request.max_use = estimator.output_time(limit);
        request.lead_time =
            estimator.prefill_and_transfer_time(this->order.prompt_tokens);
        request.deadline = this->deadline;
        return request;
    }

    /// Returns the output tokens produced here, which the fair queue charges to the
    /// workspace.
    [[nodiscard]] double tokens_produced() const
    {
        return double{0} + this->delivered - this->order.resume_from;
    }

    /// Answers with an error before the stream has begun.
    void refuse(const error& fault)
    {
        this->context->attempts.end(this->order.id, run_state::not_run,
                                    this->context->time.now());
        api_error refused = to_api_error(fault, run_state::not_run);
        refused.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
            this->context->slots->retry_after());
        respond(*this->exchange, refused);
    }

    [[nodiscard]] std::chrono::milliseconds time_left() const
    {
        return std::max(std::chrono::milliseconds(1),
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            this->deadline - this->context->time.now()));
    }

    [[nodiscard]] std::string engine_id() const { return to_text(this->order.id); }

    /// Starts the next call unless the attempt has been cancelled.
    template <typename Start>
    void start_call_unless_cancelled(Start start)
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->cancelled)
        {
            this->current_call = start();
        }
    }

    void start_prefill()
    {
        this->prefill_started_at = this->context->time.now();
        this->order.deadline = this->time_left();
        http_call prefill;
        prefill.method = "POST";
        prefill.url = "http://" + this->order.prefill_address + "/agent/prefill";
        prefill.step = "prefill";
        prefill.total_timeout = this->order.deadline;
        prefill.headers = {
            {std::string(headers::fleet), this->context->settings.fleet_secret},
            {std::string(headers::attempt), to_text(this->order)},
            this->context->telemetry->stamp_header()};
        prefill.body = this->body;
        this->start_call_unless_cancelled(
            [&]
            {
                return this->context->client->fetch_async(
                    std::move(prefill),
                    [self = this->shared_from_this()](const result<http_reply>& reply)
                    { self->on_prefill(reply); });
            });
    }

    void on_prefill(const result<http_reply>& reply)
    {
        if (!reply)
        {
            this->end(run_state::not_run, reply.error());
            return;
        }
        json answer = json::parse(reply->body, nullptr, false);
        if (reply->status != status_ok || !answer.is_object() ||
            !answer.contains("kv_transfer_params"))
        {
            this->end(run_state::not_run,
                      {reply->status == status_busy ? error_code::exhausted
                                                    : error_code::unavailable,
                       "prefill", this->order.prefill_vm,
                       "the prefill agent answered " + std::to_string(reply->status)});
            return;
        }
        this->context->estimator.record_prefill_and_transfer(
            this->order.prompt_tokens,
            this->context->time.now() - this->prefill_started_at);
        this->prefill_usage = answer.value("usage", json::object());
        this->context->telemetry->merge_stamp(reply->headers);
        this->meter.record_prefill(*reply, this->prefill_usage);
        this->transfer_parameters = std::move(answer["kv_transfer_params"]);
        if (!this->context->slots->start(this->order.id, this->shared_from_this()))
        {
            this->end(run_state::not_run,
                      {error_code::unavailable, "reserve slot",
                       this->context->settings.vm, "the reservation lapsed"});
        }
    }

    void start_decode()
    {
        json members{{"stream", true},
                     {"max_tokens", this->order.output_tokens},
                     {"stream_options", {{"include_usage", true}}}};
        if (!this->transfer_parameters.is_null())
        {
            members["kv_transfer_params"] = std::move(this->transfer_parameters);
        }
        if (this->order.resume_from > 0)
        {
            members["resume_from"] = this->order.resume_from;
        }
        this->meter.start_engine_timer();
        http_call decode;
        decode.method = "POST";
        decode.url = this->context->settings.backend.url + this->order.path;
        decode.step = "decode";
        decode.idle_timeout =
            this->context->settings.limits.silence_timeout / engine_silence_divisor;
        decode.headers = {{"Content-Type", "application/json"},
                          {"x-request-id", this->engine_id()}};
        static constexpr std::array<std::string_view, 1> other_limits{
            "max_completion_tokens"};
        decode.body = replace_members(this->body, other_limits, members);
        std::string().swap(this->body);
        this->start_call_unless_cancelled(
            [&] {
                return this->context->client->start(std::move(decode),
                                                    this->shared_from_this());
            });
    }

    /// Forwards an event to the entry.
    /// \returns false for a malformed event, which ends the attempt.
    [[nodiscard]] bool relay(const server_sent_event& event)
    try
    {
        if (event.data == stream_end)
        {
            this->stream_complete = true;
            return true;
        }
        this->relay_chunk(event);
        return true;
    }
    catch (const json::exception& fault)
    {
        log_error("malformed chunk", {error_code::broken, "decode",
                                      this->context->settings.backend.url, fault.what()});
        return false;
    }

    void relay_chunk(const server_sent_event& event)
    {
        json chunk = json::parse(event.data);
        if (this->answers_another_request(chunk))
        {
            ++this->context->events_dropped;
            return;
        }
        const json usage = chunk.value("usage", json());
        const json choices = chunk.value("choices", json::array());
        if (!choices.empty())
        {
            this->relay_choice(chunk, choices[0]);
        }
        if (usage.is_object())
        {
            this->relay_usage(usage);
        }
    }

    /// Tells whether a chunk belongs to the answer to another request.
    [[nodiscard]] bool answers_another_request(const json& chunk) const
    {
        return this->context->settings.backend.echoes_request_id &&
               !contains_request_id(chunk.value("id", ""), this->engine_id());
    }

    /// Forwards a choice with the request's id, so that the whole answer has one id also
    /// after a resumption.
    void relay_choice(json& chunk, const json& choice)
    {
        const bool token = carries_token(choice);
        const bool last = choice.value("finish_reason", json()).is_string();
        if (!token && !last && this->order.resume_from > 0)
        {
            return;
        }
        if (token)
        {
            this->count_token();
            this->meter.count_chunk(true);
        }
        chunk["id"] = this->order.id.request;
        const std::string_view name = last ? "finish" : "";
        const std::string number = token ? this->event_id() : "";
        this->exchange->write(to_text({name, number, chunk.dump()}));
    }

    [[nodiscard]] std::string event_id() const
    {
        return std::to_string(this->order.id.attempt) + "." +
               std::to_string(this->delivered);
    }

    void count_token()
    {
        this->last_token_at = this->context->time.now();
        if (++this->delivered == this->order.resume_from + 1)
        {
            this->first_token_at = this->last_token_at;
        }
    }

    void relay_usage(json usage)
    {
        usage["prompt_tokens_details"] =
            this->prefill_usage.value("prompt_tokens_details", json::object());
        this->exchange->write(to_text({"usage", "", usage.dump()}));
    }

    [[nodiscard]] static bool carries_token(const json& choice)
    {
        if (choice.contains("text"))
        {
            return !choice["text"].get_ref<const std::string&>().empty();
        }
        const json delta = choice.value("delta", json::object());
        return !delta.value("content", "").empty();
    }

    /// Cancels the attempt's calls and releases its slot when the entry has closed the
    /// connection or the lease has ended.
    void cancel()
    {
        http_client::call_id running = 0;
        {
            const std::scoped_lock lock(this->mutex);
            if (this->cancelled)
            {
                return;
            }
            this->cancelled = true;
            running = this->current_call;
        }
        this->meter.record_cancelled();
        this->context->attempts.end(this->order.id, run_state::ran,
                                    this->context->time.now());
        this->context->abort_at_engine(this->engine_id());
        this->context->slots->release(this->order.id, this->tokens_produced());
        if (running != 0)
        {
            this->context->client->cancel(running);
        }
    }

    void record_answer_length()
    {
        const std::uint32_t produced = this->delivered - this->order.resume_from;
        if (produced > 0)
        {
            this->context->estimator.record_answer(
                this->order.output_tokens - this->order.resume_from, produced,
                this->last_token_at - this->first_token_at);
        }
    }

    /// Reports a failure to the entry and ends the attempt.
    void end(run_state run, const error& fault)
    {
        this->exchange->write(to_text({"failure", "", to_text({run, fault})}));
        this->finish(run);
    }

    void finish(run_state run)
    {
        this->context->slots->release(this->order.id, this->tokens_produced());
        this->context->attempts.end(this->order.id, run, this->context->time.now());
        this->meter.end();
        const std::string stamp = this->context->telemetry->stamp_header().second;
        this->exchange->write(to_text({"stamp", "", stamp}));
        this->exchange->finish();
    }

    agent_context* context;
    std::shared_ptr<http_exchange> exchange;
    attempt_order order;
    std::string body; ///< Of the request, until the engine is called.
    json transfer_parameters;
    json prefill_usage;
    event_splitter events;
    attempt_meter meter;
    /// Output tokens, including those before resumption.
    std::atomic<std::uint32_t> delivered;
    time_point deadline; ///< Deadline of the first token.
    time_point prefill_started_at;
    time_point first_token_at;
    time_point last_token_at;
    int engine_status = 0;
    std::size_t failure_bytes = 0; ///< Of the engine's answer, if it failed.
    bool stream_complete = false;
    std::atomic<bool> is_engine_silent = false;
    std::mutex start_mutex; ///< Held by start() until the stream has begun.
    std::mutex mutex;
    bool cancelled = false;
    http_client::call_id current_call = 0;
};

} // namespace

void start_decode_attempt(agent_context& context, std::shared_ptr<http_exchange> exchange,
                          attempt_order order)
{
    auto attempt =
        std::make_shared<decode_attempt>(context, std::move(exchange), std::move(order));
    context.add_heartbeat_listener(attempt);
    attempt->start();
}

} // namespace agateseam

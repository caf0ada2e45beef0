#include <gateway/model_call.hpp>

#include <algorithm>
#include <utility>

#include <agateseam/attempt_policy.hpp>
#include <gateway/engine_calls.hpp>
#include <gateway/place_finder.hpp>
#include <gateway/prompt_prefiller.hpp>
#include <gateway/server_replies.hpp>
#include <gateway/silent_stream.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int first_error_status = 400;
constexpr std::string_view event_stream_type = "text/event-stream";
/// A resumable stream that brings no bytes for this many times the gap target of its
/// route is resumed on another server, as soon as one may take it.
constexpr int max_gap_target_factor = 4;
/// A place for the rest of a silent stream is looked for at this interval.
constexpr auto silence_poll_interval = 100ms;
/// The silent server is looked at this often while another one is asked to go on.
constexpr auto silent_server_poll_interval = 25ms;
/// A silent server is left when another one has accepted its stream for this long, so
/// that not both work on it.
constexpr auto max_server_overlap = 250ms;
/// Maximum attempts to place and start one request. Once the request has been sent, each
/// further attempt also uses the repeat budget.
constexpr std::uint32_t max_start_attempts = 3;

/// Shortest Retry-After time of a refused request.
constexpr auto min_retry_after = 1'000ms;

/// An answer that has gone on for this long since its first event has begun.
constexpr auto min_begun_answer_time = 250ms;

/// How the relay of a stream ended.
enum class stream_end
{
    complete,
    broken,
    silent, ///< The server is silent, and another one has a place for the rest.
    caller_gone,
    timed_out ///< The request's deadline passed.
};

class model_call
{
  public:
    explicit model_call(request_scope& request)
        : scope(&request)
        , state(request.state)
        , engines(&request.state->engines(request.service))
        , properties(*request.routing->service(request.service)->engine)
        , place_search(request)
        , prefiller(request)
        , stream(request.metadata.id)
        , silence_timer(*request.state->loop)
    {
        this->last_event_number = request.metadata.last_event_number;
    }

    task<void> run()
    {
        co_await this->make_attempts();
        this->scope->return_spare_repeats();
    }

  private:
    task<void> make_attempts()
    {
        if (this->last_event_number)
        {
            const bool is_known = co_await this->find_beginning();
            log_line(log_level::info, "stream taken up",
                     {{"request", this->scope->metadata.id},
                      {"begun_by", this->scope->metadata.resumed_request},
                      {"last_event", *this->last_event_number},
                      {"version", to_hex(this->version.value_or(name_key{}))}});
            if (!is_known || !this->place_search.has_server_of_version())
            {
                co_await send_local_answer(
                    *this->scope,
                    {status_unavailable,
                     is_known ? "no_server_of_version" : "stream_version_unknown",
                     execution_state::not_run,
                     {}});
                co_return;
            }
        }
        if (const part_block* block = this->scope->part_block_in_force())
        {
            co_await send_local_answer(*this->scope,
                                       make_blocked_answer(*this->scope, *block));
            co_return;
        }
        if (!this->place_search.can_ever_fit())
        {
            co_await this->send_unavailable("no_server_large_enough", duration(1s));
            co_return;
        }
        while (this->starts < max_start_attempts)
        {
            retry_decision decision = co_await this->start_attempt();
            if (this->silent && !this->replacement)
            {
                decision = co_await this->go_on_at_silent_server();
            }
            if (decision != retry_decision::try_another)
            {
                this->release_kv_cache(std::exchange(this->unused_kv_source, ""));
                if (this->replacement)
                {
                    this->place_search.release(*this->replacement);
                }
                co_await this->finish(decision);
                co_return;
            }
        }
        co_await this->finish(this->report_without_attempt());
    }

    [[nodiscard]] bool is_caller_gone() const
    {
        return this->scope->exchange->disconnected();
    }
    /// Tells whether nobody needs the attempt that is being made any more.
    [[nodiscard]] bool is_superseded() const
    {
        return this->is_caller_gone() || this->has_silence_ended;
    }
    [[nodiscard]] duration time_remaining() const
    {
        return this->scope->deadline - boot_now();
    }

    /// Returns what the caller is told when no further attempt is made.
    [[nodiscard]] retry_decision report_without_attempt() const
    {
        return this->scope->possible_runs == 0 ? retry_decision::report_not_run
                                               : retry_decision::report_unknown;
    }

    /// Finds the version that began the stream that the caller takes up.
    /// \returns false if it isn't known.
    task<bool> find_beginning()
    {
        const request_metadata& metadata = this->scope->metadata;
        if (!metadata.resumed_request.empty())
        {
            this->stream = name_key(metadata.resumed_request);
            this->version = co_await this->state->find_stream_origin(this->stream);
        }
        if (!this->version && this->only_version())
        {
            // An entry that is cut off, or stood still, doesn't know of a version that
            // came meanwhile, and takes the one before for the only one.
            const bool are_confirmed = co_await this->state->confirm_servers();
            this->version = are_confirmed ? this->only_version() : std::nullopt;
        }
        if (this->version)
        {
            this->place_search.set_version(*this->version);
        }
        co_return this->version.has_value();
    }

    /// Returns the version of all servers that may have begun the stream, as far as the
    /// list here tells.
    [[nodiscard]] std::optional<name_key> only_version() const
    {
        return this->state->store_reachable
                   ? this->state->versions.only_version(
                         this->scope->service,
                         std::max<duration>(stream_origins::memory,
                                            this->scope->route->timeout),
                         boot_now())
                   : std::nullopt;
    }

    /// Binds the stream to the version of its first event's server, and tells other
    /// entries, who may have to go on with it.
    void record_version(const backend_server& server)
    {
        if (!this->version && !this->is_version_unknown)
        {
            const name_key key = server.version_key;
            this->is_version_unknown = key == name_key{};
            this->version = this->is_version_unknown ? std::nullopt : std::optional(key);
            if (this->version)
            {
                this->place_search.set_version(*this->version);
            }
        }
        const time_point now = boot_now();
        if (this->version && this->scope->route->resumable &&
            (this->announced_at == time_point{} ||
             now - this->announced_at >= stream_origins::announce_interval))
        {
            this->announced_at = now;
            this->state->announce_stream(this->stream, *this->version);
        }
    }

    /// Tells whether a server may go on with the stream, if it has begun. One whose
    /// events have no numbers would begin anew.
    [[nodiscard]] bool may_go_on() const
    {
        const bool has_position =
            !this->first_event_at || this->events.last_event_number();
        return has_position && !this->is_version_unknown &&
               this->place_search.has_server_of_version();
    }

    /// Tells whether a server is listed as another start of it.
    [[nodiscard]] bool has_restarted(const backend_server& server) const
    {
        const auto listed = this->state->server(this->scope->service, server.id);
        return listed &&
               (listed->version != server.version || listed->born_ms != server.born_ms);
    }

    /// Notes that the version of a server's events isn't known if it has restarted.
    void check_restart(const backend_server& server)
    {
        this->is_version_unknown |= this->version && this->has_restarted(server);
    }

    /// Reserves decode memory, has the prompt prefilled and relays the stream.
    task<retry_decision> start_attempt()
    {
        ++this->starts;
        this->scope->step = "decode place";
        auto place = std::move(this->replacement);
        if (!place)
        {
            place = co_await this->place_search.find();
        }
        if (!place)
        {
            co_return this->is_caller_gone() ? retry_decision::relay
                                             : this->report_without_attempt();
        }
        this->scope->step = "prefill";
        std::string kv_source = std::exchange(this->unused_kv_source, "");
        if (!kv_source.empty() && this->version &&
            !(this->prefiller.kv_server()->version_key == *this->version))
        {
            this->release_kv_cache(std::exchange(kv_source, ""));
        }
        // A trial is one arrival at one server, so the decode server reads the prompt.
        if (kv_source.empty() && !this->scope->is_trial)
        {
            kv_source =
                co_await this->prefiller.run(this->last_event_number, this->version);
        }
        if (this->is_superseded())
        {
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return retry_decision::relay;
        }
        if (this->time_remaining() < min_model_attempt_time ||
            this->scope->may_not_start(boot_now()) || !this->scope->is_key_valid() ||
            this->scope->part_block_in_force() != nullptr)
        {
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return this->report_without_attempt();
        }
        co_return co_await this->send_decode(std::move(place), kv_source);
    }

    /// Has the prefill server drop the KV cache of the prompt.
    /// \param kv_source "IP:port/handle", or empty without a KV cache.
    void release_kv_cache(const std::string& kv_source)
    {
        const auto server = this->prefiller.kv_server();
        if (kv_source.empty() || !server)
        {
            return;
        }
        const std::string handle = kv_source.substr(kv_source.find('/') + 1);
        release_at_engine(*this->state, *server,
                          this->state->dialect->write_kv_release_request(*server, handle),
                          "forget");
    }

    /// Gives up the place at a server that accepts no work any more. The prefilled prompt
    /// is kept for the next place.
    retry_decision withhold(decode_place& place, const std::string& kv_source)
    {
        log_failure(*this->scope, "decode withheld", place.chosen_server().id,
                    this->scope->withheld_reason(place.chosen_server()));
        this->place_search.record_lost_place(place.chosen_server());
        this->place_search.release(place);
        this->unused_kv_source = kv_source;
        --this->starts;
        return retry_decision::try_another;
    }

    /// Sends the request to its decode server and relays the answer.
    task<retry_decision> send_decode(std::unique_ptr<decode_place> place,
                                     const std::string& kv_source)
    {
        if (!this->state->accepts_work(place->chosen_server()))
        {
            co_return this->withhold(*place, kv_source);
        }
        if (!this->scope->may_arrive())
        {
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return this->report_without_attempt();
        }
        const std::string& address = place->chosen_server().address;
        auto link = this->state->pool.take(address, this->scope->metadata.id);
        if (!link)
        {
            link = co_await this->state->pool.open(address);
        }
        if (!link || this->is_superseded())
        {
            if (link)
            {
                this->state->pool.return_connection(link);
            }
            else
            {
                record_observation(*this->state, place->chosen_server().id,
                                   server_observation::unreachable, 0ms);
            }
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return this->is_caller_gone() ? retry_decision::relay
                                             : retry_decision::try_another;
        }
        if (this->time_remaining() < min_model_attempt_time ||
            this->scope->part_block_in_force() != nullptr)
        {
            this->state->pool.return_connection(link);
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return this->report_without_attempt();
        }
        if (!this->place_search.begin_send(*place))
        {
            this->state->pool.return_connection(link);
            co_return this->withhold(*place, kv_source);
        }
        caller_exchange& exchange = *this->scope->exchange;
        if (!exchange.begin_send())
        {
            this->state->pool.return_connection(link);
            this->place_search.release(*place);
            this->release_kv_cache(kv_source);
            co_return retry_decision::relay;
        }
        exchange.on_disconnect([link] { link->abandon(); });
        this->attempt_link = link;
        forward_options options;
        options.server = &place->chosen_server();
        options.time_left = time_left(*this->scope);
        options.workspace = this->scope->workspace_name();
        options.step = engine_step::decode;
        options.kv_source = kv_source;
        options.reservation = place->reservation;
        options.last_event_number = this->last_event_number;
        this->scope->arrivals.record_run();
        ++this->scope->attempts;
        this->scope->is_trial = false;
        place->has_send = false;
        this->scope->server = place->chosen_server().id;
        link->send(this->state->dialect->write_request(exchange.request(), options),
                   exchange.request().body);
        co_return co_await this->relay(std::move(place), *link);
    }

    task<retry_decision> relay(std::unique_ptr<decode_place> place,
                               upstream_connection& link)
    {
        const auto shared_link = link.shared_from_this();
        const auto& dialect = *this->state->dialect;
        const time_point started_at = boot_now();
        this->scope->step = "first event";
        this->attempt_event_at.reset();
        const io_outcome end =
            co_await read_reply_head(*this->state, place->chosen_server(), link,
                                     this->scope->metadata.id, this->scope->deadline);
        if (end == io_outcome::broken)
        {
            this->record_broken_connection(place->chosen_server());
        }
        if (this->is_superseded())
        {
            link.close();
            co_return this->is_caller_gone() ? retry_decision::relay
                                             : this->decide_after(attempt_outcome::lost);
        }
        if (end != io_outcome::good)
        {
            record_observation(*this->state, place->chosen_server().id,
                               server_observation::unreachable, boot_now() - started_at);
            log_failure(*this->scope, "decode failed", place->chosen_server().id,
                        to_string(end));
            co_return this->decide_after(end == io_outcome::timed_out
                                             ? attempt_outcome::timed_out
                                             : attempt_outcome::lost);
        }
        const message_head head = link.head();
        const reply_metadata reply = dialect.read_reply(head);
        if (reply.not_run || head.status >= first_error_status || !reply.is_signed ||
            !this->may_continue_answer(head))
        {
            co_return co_await this->relay_failure(*place, link, head, reply);
        }
        this->accepted_at = boot_now();
        record_observation(*this->state, place->chosen_server().id,
                           server_observation::good, boot_now() - started_at);
        co_return co_await this->relay_stream(std::move(place), link, head);
    }

    /// Tells whether an answer's body may follow what the caller has got, if anything: an
    /// error in another form must not end up in the middle of a stream.
    [[nodiscard]] bool may_continue_answer(const message_head& head) const
    {
        const std::string_view type = head.field("Content-Type");
        return !this->scope->exchange->answered() ||
               (head.status == this->scope->status &&
                (type.starts_with(event_stream_type) ||
                 equals_ignoring_case(type, this->media_type)));
    }

    /// Records that a server ended the connection before the answer had begun.
    void record_broken_connection(const backend_server& server)
    {
        if (this->has_silence_ended || this->scope->is_ended_here(boot_now()) ||
            this->has_begun())
        {
            return;
        }
        this->scope->record_crash(server, !this->attempt_event_at);
    }

    /// Records once that an answer has begun, which clears the prompt's parts.
    void record_answer()
    {
        if (!std::exchange(this->is_answer_recorded, true))
        {
            this->state->quarantine.record_answer(this->scope->parts.keys, boot_now());
        }
    }

    /// Tells whether the present server has sent events for long enough to show that the
    /// request doesn't crash it.
    [[nodiscard]] bool has_begun() const
    {
        return this->attempt_event_at &&
               boot_now() - *this->attempt_event_at >= min_begun_answer_time;
    }

    task<retry_decision> relay_failure(decode_place& place, upstream_connection& link,
                                       const message_head& head,
                                       const reply_metadata& reply)
    {
        constexpr std::size_t max_failure_bytes = 1 << 20;
        const auto shared_link = link.shared_from_this();
        const io_outcome end =
            co_await link.read_whole(this->scope->deadline, max_failure_bytes);
        if (end == io_outcome::broken)
        {
            this->record_broken_connection(place.chosen_server());
        }
        // Another request may use the connection from now on.
        this->scope->exchange->on_disconnect(nullptr);
        log_failure(*this->scope, "decode refused", place.chosen_server().id,
                    reply.not_run ? "not_run" : "failed", head.status);
        if (reply.not_run)
        {
            // The request may be sent to this server again. An extra copy of this refusal
            // would pass for the answer on the same connection.
            link.close();
            record_observation(*this->state, place.chosen_server().id,
                               server_observation::refused, 0ms);
            ++this->refusals;
            co_return this->decide_after(attempt_outcome::refused);
        }
        record_observation(*this->state, place.chosen_server().id,
                           server_observation::failed, 0ms);
        if (end != io_outcome::good || !reply.is_signed ||
            status_implies_not_run(head.status) || this->scope->exchange->answered())
        {
            link.close();
            co_return this->decide_after(attempt_outcome::lost);
        }
        std::string body = link.take_body();
        this->state->pool.return_connection(shared_link);
        this->scope->outcome = "server_failed";
        co_await relay_answer(*this->scope, head, std::move(body));
        co_return retry_decision::relay;
    }

    task<retry_decision> relay_stream(std::unique_ptr<decode_place> place,
                                      upstream_connection& link, const message_head& head)
    {
        caller_exchange& exchange = *this->scope->exchange;
        const auto shared_link = link.shared_from_this();
        if (!exchange.answered())
        {
            this->scope->status = head.status;
            this->media_type = head.field("Content-Type");
            co_await exchange.begin(make_relayed_head(head));
        }
        this->scope->step = "stream";
        const stream_end end = co_await this->relay_events(*place, link);
        exchange.on_disconnect(nullptr);
        this->state->digest_due.notify();
        if (end == stream_end::complete)
        {
            this->leave_silent_server();
            this->state->pool.return_connection(shared_link);
            this->record_answer();
            co_await exchange.finish();
            this->record_stream_statistics();
            this->scope->outcome = "answered";
            co_return retry_decision::relay;
        }
        if (end == stream_end::silent)
        {
            this->keep_silent_server(std::move(place), shared_link);
            co_return retry_decision::try_another;
        }
        link.close();
        if (end == stream_end::broken && this->has_silence_ended)
        {
            co_return this->decide_after(attempt_outcome::lost);
        }
        if (end == stream_end::broken)
        {
            this->check_restart(place->chosen_server());
            record_observation(*this->state, place->chosen_server().id,
                               server_observation::unreachable, 0ms);
            log_failure(*this->scope, "stream broke", place->chosen_server().id,
                        "upstream");
            co_return this->decide_after(attempt_outcome::lost);
        }
        this->scope->outcome =
            end == stream_end::timed_out ? "cut_at_timeout" : "caller_gone";
        exchange.abort();
        co_return retry_decision::relay;
    }

    /// Relays events as they arrive. Some or all of them may have arrived together with
    /// the response's head.
    task<stream_end> relay_events(decode_place& place, upstream_connection& link)
    {
        caller_exchange& exchange = *this->scope->exchange;
        io_outcome end = io_outcome::good;
        for (;;)
        {
            if (this->has_silence_ended)
            {
                co_return stream_end::broken;
            }
            const std::string complete_events =
                std::exchange(this->arrived_events, "") +
                this->events.extract_complete_events(link.take_body());
            if (!complete_events.empty())
            {
                this->leave_silent_server();
            }
            link.set_kept_by_reader(this->events.partial_size());
            this->record_events(place, !complete_events.empty());
            if (this->events.partial_size() > max_event_bytes)
            {
                co_return stream_end::broken;
            }
            if (exchange.disconnected() || !co_await exchange.send(complete_events))
            {
                co_return stream_end::caller_gone;
            }
            if (end == io_outcome::timed_out)
            {
                co_return stream_end::timed_out;
            }
            if (end != io_outcome::good)
            {
                if (end == io_outcome::broken)
                {
                    this->record_broken_connection(place.chosen_server());
                }
                co_return stream_end::broken;
            }
            if (link.done())
            {
                break;
            }
            end = co_await this->read_events(place, link);
            if (this->replacement)
            {
                co_return stream_end::silent;
            }
        }
        // Without a stated end, a connection that ends before any event broke off.
        if (this->events.is_at_event_boundary() &&
            (this->attempt_event_at || link.has_stated_end()))
        {
            co_return stream_end::complete;
        }
        this->record_broken_connection(place.chosen_server());
        co_return stream_end::broken;
    }

    /// Records the times and the output length of a complete stream.
    void record_stream_statistics()
    {
        if (this->first_event_at &&
            this->place_search.last_reserved_at() < *this->first_event_at)
        {
            this->engines->latency.record_stream(
                *this->first_event_at - this->place_search.last_reserved_at(),
                boot_now() - *this->first_event_at, this->output_tokens);
            this->engines->output_lengths.record_output(
                this->scope->metadata.expected_output.value_or(0), this->output_tokens);
            this->engines->placement.set_stream_rate(
                this->engines->latency.tokens_per_second());
        }
    }

    /// Updates progress and times after a read.
    /// \param has_events whether the read completed any event.
    void record_events(decode_place& place, bool has_events)
    {
        if (this->events.last_event_number())
        {
            this->last_event_number = this->events.last_event_number();
            this->output_tokens =
                *this->last_event_number * this->properties.tokens_per_event;
            place.record_progress(this->output_tokens);
            this->scope->output_tokens = this->output_tokens;
        }
        if (has_events)
        {
            const time_point now = boot_now();
            this->is_still_silent = false;
            if (this->last_event_at != time_point{})
            {
                this->scope->longest_gap =
                    std::max(this->scope->longest_gap, now - this->last_event_at);
            }
            this->last_event_at = now;
            this->attempt_event_at = this->attempt_event_at.value_or(now);
            this->record_version(place.chosen_server());
        }
        if (this->has_begun())
        {
            this->record_answer();
        }
        if (has_events && !this->first_event_at)
        {
            this->first_event_at = boot_now();
            this->scope->time_to_first_event =
                boot_now() - this->scope->exchange->request().arrived;
            this->state->counters.observe("agateseam_first_event_ms",
                                          boot_now() -
                                              this->scope->exchange->request().arrived);
        }
    }

    /// Reads the next bytes of the stream. Returns early, with `replacement` set, when
    /// the server is silent and another one has a place for the rest.
    task<io_outcome> read_events(const decode_place& place, upstream_connection& link)
    {
        const service_route& route = *this->scope->route;
        duration wait = route.gap_target * max_gap_target_factor;
        const bool may_be_resumed = route.resumable && wait > duration::zero();
        wait = this->is_still_silent ? duration(silence_poll_interval) : wait;
        while (may_be_resumed &&
               !co_await link.wait_for_input(
                   std::min(this->scope->deadline, boot_now() + wait)) &&
               boot_now() < this->scope->deadline)
        {
            if (this->has_restarted(place.chosen_server()))
            {
                link.close(); // The rest can't come from its new start.
            }
            else if (co_await this->reserve_replacement(place, link))
            {
                co_return io_outcome::good;
            }
            wait = silence_poll_interval;
        }
        co_return co_await link.read_body(this->scope->deadline);
    }

    /// Reserves a place for the rest of a silent stream, and takes a repeat for it.
    task<bool> reserve_replacement(const decode_place& place, upstream_connection& link)
    {
        if (this->silent || this->starts >= max_start_attempts ||
            this->scope->possible_runs + 1 >= this->scope->route->max_attempts ||
            this->scope->part_block_in_force() != nullptr || !this->may_go_on() ||
            this->time_remaining() <= min_model_attempt_time)
        {
            co_return false;
        }
        auto reserved = co_await this->place_search.find_now(place.chosen_server().id);
        if (!reserved)
        {
            co_return false;
        }
        if (this->is_caller_gone() || link.has_unread_bytes() ||
            !this->scope->may_arrive())
        {
            this->place_search.release(*reserved);
            co_return false;
        }
        this->replacement = std::move(reserved);
        this->log_silence(place);
        co_return true;
    }

    /// Keeps the connection to a silent server while another one is asked to go on. That
    /// one may refuse, and no repeat may be left for a third.
    void keep_silent_server(std::unique_ptr<decode_place> place,
                            std::shared_ptr<upstream_connection> link)
    {
        record_observation(*this->state, place->chosen_server().id,
                           server_observation::unreachable, 0ms);
        this->silent.emplace(silent_stream{
            std::move(place), std::move(link), this->events, this->attempt_event_at, {}});
        ++this->scope->possible_runs;
        this->events.resume();
        this->accepted_at.reset();
        this->attempt_link.reset();
        this->watch_silent_server();
    }

    void watch_silent_server()
    {
        this->silence_timer.arm(silent_server_poll_interval,
                                [this] { this->check_silent_server(); });
    }

    /// Ends the other server's attempt if the silent server goes on, and leaves the
    /// silent server if it can't go on or the other one has had the stream for long
    /// enough.
    void check_silent_server()
    {
        if (!this->silent)
        {
            return;
        }
        if (this->is_caller_gone())
        {
            this->silent->link->abandon();
            return;
        }
        const bool is_open = this->silent->read();
        if (this->silent->has_gone_on())
        {
            this->has_silence_ended = true;
            this->prefiller.cancel();
            this->scope->exchange->interrupt();
            return;
        }
        const bool is_taken_over =
            this->accepted_at && boot_now() - *this->accepted_at >= max_server_overlap;
        if (!is_open || is_taken_over)
        {
            this->leave_silent_server();
            return;
        }
        this->watch_silent_server();
    }

    void leave_silent_server()
    {
        if (!this->silent)
        {
            return;
        }
        this->silence_timer.disarm();
        this->log_replacement("silent server left");
        this->silent->link->abandon();
        this->silent.reset();
    }

    /// Goes on with the stream of the silent server, because the other one has not.
    task<retry_decision> go_on_at_silent_server()
    {
        this->silence_timer.disarm();
        this->log_replacement("replacement ended");
        this->release_kv_cache(std::exchange(this->unused_kv_source, ""));
        this->scope->return_spare_repeats();
        silent_stream kept = std::move(*this->silent);
        this->silent.reset();
        this->attempt_link.reset();
        this->has_silence_ended = false;
        const auto link = kept.link;
        if (this->is_caller_gone())
        {
            link->abandon();
            co_return retry_decision::relay;
        }
        --this->scope->possible_runs;
        this->events = std::move(kept.events);
        this->arrived_events = std::move(kept.arrived_events);
        this->attempt_event_at = kept.first_event_at;
        this->is_still_silent = true;
        this->scope->server = kept.place->chosen_server().id;
        this->scope->exchange->on_disconnect([link] { link->abandon(); });
        co_return co_await this->relay_stream(std::move(kept.place), *link, link->head());
    }

    /// Logs the end of the attempt to replace the silent server.
    void log_replacement(std::string_view event) const
    {
        const bool was_sent = this->attempt_link != nullptr;
        log_line(log_level::info, event,
                 {{"request", this->scope->metadata.id},
                  {"server", this->silent->place->chosen_server().id},
                  {"replacement",
                   was_sent ? std::string_view(this->scope->server) : std::string_view{}},
                  {"sent_ms", was_sent ? whole_milliseconds(boot_now() -
                                                            this->attempt_link->sent_at())
                                       : std::int64_t{0}},
                  {"accepted", this->accepted_at.has_value()},
                  {"went_on", this->has_silence_ended},
                  {"last_event", this->last_event_number.value_or(0)}});
    }

    void log_silence(const decode_place& place) const
    {
        log_line(
            log_level::info, "stream silent",
            {{"request", this->scope->metadata.id},
             {"server", place.chosen_server().id},
             {"replacement", this->replacement->chosen_server().id},
             {"last_event", this->last_event_number.value_or(0)},
             {"silent_ms", this->last_event_at == time_point{}
                               ? std::int64_t{0}
                               : whole_milliseconds(boot_now() - this->last_event_at)}});
    }

    /// Decides how the request goes on after an attempt without a complete answer.
    [[nodiscard]] retry_decision decide_after(attempt_outcome end)
    {
        const bool not_run =
            end == attempt_outcome::refused || end == attempt_outcome::not_sent;
        this->scope->possible_runs += not_run ? 0 : 1;
        this->events.resume();
        if (not_run && this->scope->possible_runs == 0)
        {
            return this->refusals <= max_refusals &&
                           this->time_remaining() > min_model_attempt_time
                       ? retry_decision::try_another
                       : retry_decision::report_not_run;
        }
        const service_route& route = *this->scope->route;
        const bool has_time = this->time_remaining() > min_model_attempt_time;
        if (route.resumable && this->may_go_on() && has_time &&
            this->scope->possible_runs < route.max_attempts)
        {
            return retry_decision::try_another;
        }
        return end == attempt_outcome::timed_out ? retry_decision::report_timeout
                                                 : retry_decision::report_unknown;
    }

    /// Ends the request: sends an error answer, or aborts an answer that has begun. Does
    /// neither if the caller has left or has a complete answer.
    task<void> finish(retry_decision decision)
    {
        if (this->is_caller_gone())
        {
            this->scope->outcome = "caller_gone";
            co_return;
        }
        if (decision == retry_decision::relay)
        {
            co_return;
        }
        if (this->scope->exchange->answered())
        {
            this->scope->outcome = "stream_cut";
            this->scope->exchange->abort();
            co_return;
        }
        if (decision == retry_decision::report_not_run &&
            this->scope->may_not_start(boot_now()))
        {
            co_await send_local_answer(*this->scope, make_stopping_answer());
            co_return;
        }
        const part_block* block = this->scope->part_block_in_force();
        if (decision == retry_decision::report_not_run && block != nullptr)
        {
            co_await send_local_answer(*this->scope,
                                       make_blocked_answer(*this->scope, *block));
            co_return;
        }
        if (decision == retry_decision::report_not_run &&
            !this->scope->has_server_in_region(true))
        {
            co_await send_local_answer(*this->scope, make_region_answer());
            co_return;
        }
        const auto rest = this->scope->time_all_busy(boot_now());
        if (decision == retry_decision::report_not_run && rest)
        {
            co_await send_local_answer(*this->scope,
                                       make_resting_answer(*this->scope, *rest));
            co_return;
        }
        if (decision == retry_decision::report_not_run)
        {
            co_await this->send_unavailable("no_decode_place", this->retry_after_time());
            co_return;
        }
        const bool timed_out = decision == retry_decision::report_timeout;
        co_await send_local_answer(
            *this->scope, {timed_out ? status_gateway_timeout : status_bad_gateway,
                           timed_out ? "no_answer_in_time" : "answer_lost",
                           execution_state::unknown,
                           {}});
    }

    /// Returns the time until those that wait now have their places. Adds up to half of
    /// it at random, so that callers don't all retry at once.
    [[nodiscard]] duration retry_after_time() const
    {
        // 2^32 scales the 32-bit random number to a part of one.
        const double random_extra = 0.5 * this->state->random() / 4294967296.0;
        const auto randomized_wait = std::chrono::duration_cast<duration>(
            this->place_search.expected_wait() * (1 + random_extra));
        return std::max<duration>(min_retry_after, randomized_wait);
    }

    task<void> send_unavailable(std::string_view reason, duration retry_after)
    {
        co_await send_local_answer(*this->scope, {status_unavailable, reason,
                                                  execution_state::not_run, retry_after});
    }

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    engine_properties properties;
    place_finder place_search;
    std::int64_t output_tokens = 0; ///< Generated so far.
    prompt_prefiller prefiller;
    sse_event_splitter events;
    std::optional<std::int64_t> last_event_number;
    std::string media_type;          ///< Of the answer that the caller gets.
    name_key stream;                 ///< The caller's try that brought the first event.
    std::optional<name_key> version; ///< Of the servers that may go on with the stream.
    bool is_version_unknown = false; ///< The stream has begun at an unknown version.
    time_point announced_at{};
    std::uint32_t starts = 0;                  ///< Attempts begun, without withheld ones.
    std::unique_ptr<decode_place> replacement; ///< For the rest of a silent stream.
    std::optional<silent_stream> silent; ///< While another server is asked to go on.
    std::shared_ptr<upstream_connection> attempt_link; ///< Of the latest request sent.
    std::optional<time_point> accepted_at; ///< By the server of `attempt_link`.
    bool has_silence_ended = false;        ///< The silent server goes on.
    bool is_still_silent = false; ///< It was gone back to and has sent nothing since.
    std::string arrived_events;   ///< Read while another server was asked to go on.
    deadline_timer silence_timer;
    std::uint32_t refusals = 0;
    /// "IP:port/handle" of the prefilled prompt of a withheld attempt; may be empty.
    std::string unused_kv_source;
    bool is_answer_recorded = false;
    std::optional<time_point> first_event_at;
    std::optional<time_point> attempt_event_at; ///< First event of the present server.
    time_point last_event_at{};
};

} // namespace

task<void> run_model_call(request_scope& scope)
{
    model_call call(scope);
    co_await call.run();
}

} // namespace agateseam

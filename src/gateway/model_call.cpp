#include <gateway/model_call.hpp>

#include <algorithm>

#include <agateseam/attempt_policy.hpp>
#include <gateway/decode_place.hpp>
#include <gateway/engine_calls.hpp>
#include <gateway/event_stream.hpp>
#include <gateway/prompt_reader.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr int first_error = 400;
/// A waiting request looks for a place at least this often: reservations lapse unseen.
constexpr auto look_again = 25ms;
/// A request waits this many times its target for a place, then is turned away.
constexpr double longest_wait_targets = 2.5;
/// The answer of a reservation is due at once; a silent server is left alone.
constexpr auto reserve_time = 250ms;
constexpr auto shortest_attempt = 50ms;
/// A silent resumable stream goes on elsewhere after this many of its gap targets.
constexpr int silence_gaps = 4;
/// Room that is reserved beyond the prompt, so that a stream isn't preempted at once.
constexpr int first_events = 4;
/// A place is used once its prompt was read, in some 200 ms, or not at all.
constexpr auto reservation_life = 700ms;
/// Tries of placing and starting one request: each costs a place of the repeats' budget.
constexpr std::uint32_t most_starts = 3;

/// How a started stream ended.
enum class stream_end
{
    whole,
    broken,
    caller_gone,
    late
};

class model_call
{
  public:
    explicit model_call(request_scope& chosen)
        : scope(&chosen)
        , state(chosen.state)
        , engines(&chosen.state->engines(chosen.service))
        , terms(*chosen.routing->service(chosen.service)->engine)
        , prompts(chosen)
    {
        const request_facts& facts = this->scope->facts;
        this->memory.prompt = facts.prompt_tokens;
        this->memory.most_output = facts.output_tokens;
        const std::int64_t guess = facts.expected_output.value_or(0);
        this->engines->outputs.note_guess(guess);
        const output_expectation expected = this->engines->outputs.expect(guess);
        this->memory.log_median = expected.log_median;
        this->memory.spread = expected.spread;
        this->last_event = facts.last_event;
    }

    task<void> run()
    {
        if (!this->engines->board.could_hold(this->memory.prompt))
        {
            co_await this->turn_away("no_server_large_enough", duration(1s));
            co_return;
        }
        for (std::uint32_t start = 0; start < most_starts; ++start)
        {
            const next_step next = co_await this->start_once();
            if (next != next_step::try_another)
            {
                co_await this->finish(next);
                co_return;
            }
        }
        co_await this->finish(this->may_have_run == 0 ? next_step::say_not_run
                                                      : next_step::say_unknown);
    }

  private:
    [[nodiscard]] bool gone() const { return this->scope->exchange->gone(); }
    [[nodiscard]] duration left() const { return this->scope->until - boot_now(); }

    /// Finds a place, has the prompt read and relays the stream.
    task<next_step> start_once()
    {
        auto place = co_await this->find_place();
        if (!place)
        {
            co_return this->gone() ? next_step::relay : next_step::say_not_run;
        }
        const std::string source = co_await this->prompts.read(this->last_event);
        if (this->gone())
        {
            this->release(*place);
            this->forget(source);
            co_return next_step::relay;
        }
        if (this->left() < shortest_attempt || !this->scope->key_holds())
        {
            this->release(*place);
            this->forget(source);
            co_return this->may_have_run == 0 ? next_step::say_not_run
                                              : next_step::say_late;
        }
        co_return co_await this->decode(*place, source);
    }

    /// Waits in line for a decode place and reserves it.
    task<std::unique_ptr<decode_place>> find_place()
    {
        const time_point arrived = this->scope->exchange->request().arrived;
        const duration target = this->scope->route->target_latency;
        const time_point wait_until =
            std::min(this->scope->until - duration(shortest_attempt),
                     arrived + std::chrono::duration_cast<duration>(
                                   target * longest_wait_targets));
        const waiting_request waiting{this->scope->urgency(), arrived,
                                      arrived + target -
                                          this->engines->pace.expected_start()};
        waiting_line::ticket ticket = this->engines->line.join(waiting);
        while (!this->gone())
        {
            const time_point now = boot_now();
            if (now >= wait_until || !this->scope->key_holds())
            {
                break;
            }
            std::shared_ptr<const backend_server> server;
            if (this->engines->line.first(now) == ticket)
            {
                server = this->choose_decode(now);
            }
            if (!server)
            {
                this->scope->exchange->on_gone([this]
                                               { this->engines->changed.notify(); });
                co_await this->engines->changed.wait_for(
                    std::min<duration>(look_again, wait_until - now));
                this->scope->exchange->on_gone(nullptr);
                continue;
            }
            this->engines->line.leave(ticket);
            auto place =
                std::make_unique<decode_place>(*this->engines, server, this->memory);
            this->state->news.notify();
            this->engines->changed.notify();
            if (co_await this->reserve(*place))
            {
                this->placed_at = boot_now();
                this->scope->waited = this->placed_at - arrived;
                this->log_place(*server);
                co_return place;
            }
            place.reset();
            ++this->reservations_refused;
            this->engines->board.refused(server->id, boot_now());
            ticket = this->engines->line.join(waiting);
        }
        this->engines->line.leave(ticket);
        this->scope->waited = boot_now() - arrived;
        this->engines->changed.notify();
        this->log_no_place();
        co_return nullptr;
    }

    void log_place(const backend_server& server) const
    {
        const auto waited = std::chrono::duration_cast<milliseconds>(this->scope->waited);
        log_line(log_level::info, "decode place reserved",
                 {{"request", this->scope->facts.id},
                  {"server", server.id},
                  {"waited_ms", waited.count()},
                  {"waiting", static_cast<std::int64_t>(this->engines->line.size())}});
    }

    void log_no_place() const
    {
        const auto waited = std::chrono::duration_cast<milliseconds>(this->scope->waited);
        const std::size_t servers = this->engines->board.decode_servers().size();
        log_line(log_level::info, "no decode place",
                 {{"request", this->scope->facts.id},
                  {"waited_ms", waited.count()},
                  {"waiting", static_cast<std::int64_t>(this->engines->line.size())},
                  {"servers", static_cast<std::int64_t>(servers)},
                  {"reservations_refused", std::int64_t{this->reservations_refused}},
                  {"reason", this->gone() ? "caller gone" : "no memory in time"}});
    }

    [[nodiscard]] std::shared_ptr<const backend_server> choose_decode(time_point now)
    {
        return this->engines->board.choose_decode(
            this->memory, this->state->settings.failure_domain, now,
            this->state->random(),
            [this, now](const std::string& id)
            { return this->state->judge.allowed(id, now); });
    }

    /// What a stream takes when it starts: its prompt and room for the first events. A
    /// reservation's size is counted at the server for as long as the stream runs, so it
    /// isn't made larger.
    [[nodiscard]] std::int64_t first_tokens() const
    {
        const std::int64_t output = std::min<std::int64_t>(
            this->memory.most_output,
            std::int64_t{first_events} * this->terms.tokens_an_event);
        return this->engines->board.in_blocks(this->memory.prompt + output);
    }

    task<bool> reserve(decode_place& place)
    {
        if (this->terms.longest_hold <= milliseconds(0))
        {
            co_return true;
        }
        const auto life =
            std::min<milliseconds>(this->terms.longest_hold, reservation_life);
        const engine_answer answer = co_await call_engine(
            *this->state, place.at().address,
            this->state->dialect->write_reserve(place.at(), this->first_tokens(), life),
            nullptr, this->scope->facts.id, boot_now() + reserve_time, nullptr);
        const bool unreached = answer.end != io_end::good;
        if (unreached)
        {
            note_sign(*this->state, place.at().id, server_sign::unreached, reserve_time);
        }
        if (unreached || answer.head.status != status_ok)
        {
            this->state->counters.add(
                "agateseam_reservations_total{outcome=\"refused\"}");
            co_return false;
        }
        auto name = this->state->dialect->read_reserve(answer.body);
        if (!name)
        {
            log_error("reservation left out", name.error(),
                      {{"request", this->scope->facts.id}});
            co_return false;
        }
        this->state->counters.add("agateseam_reservations_total{outcome=\"held\"}");
        place.reservation = std::move(*name);
        co_return true;
    }

    void release(decode_place& place)
    {
        if (!place.reservation.empty())
        {
            post_engine(
                *this->state, place.at().address,
                this->state->dialect->write_release(place.at(), place.reservation),
                "release");
            place.reservation.clear();
        }
    }

    void forget(const std::string& source)
    {
        const auto server = this->prompts.read_at();
        if (source.empty() || !server)
        {
            return;
        }
        const std::string handle = source.substr(source.find('/') + 1);
        post_engine(*this->state, server->address,
                    this->state->dialect->write_forget(*server, handle), "forget");
    }

    /// Sends the request to its decode server and relays what comes.
    task<next_step> decode(decode_place& place, const std::string& source)
    {
        if (this->arrivals > 0 &&
            !this->state->ledger.take_repeat(this->scope->service, boot_now()))
        {
            this->release(place);
            this->forget(source);
            co_return this->may_have_run == 0 ? next_step::say_not_run
                                              : next_step::say_unknown;
        }
        const std::string& address = place.at().address;
        auto link = this->state->pool.take(address);
        if (!link)
        {
            link = co_await this->state->pool.open(address);
        }
        if (!link || this->gone())
        {
            if (link)
            {
                this->state->pool.give_back(link);
            }
            else
            {
                note_sign(*this->state, place.at().id, server_sign::unreached, 0ms);
            }
            this->release(place);
            this->forget(source);
            co_return this->gone() ? next_step::relay : next_step::try_another;
        }
        caller_exchange& exchange = *this->scope->exchange;
        exchange.on_gone([link] { link->close(); });
        forward_order order;
        order.server = &place.at();
        order.time_left = time_left(*this->scope);
        order.workspace = this->scope->workspace_name();
        order.step = engine_step::decode;
        order.kv_source = source;
        order.reservation = place.reservation;
        order.last_event = this->last_event;
        ++this->arrivals;
        ++this->scope->attempts;
        this->scope->server = place.at().id;
        link->send(this->state->dialect->write_request(exchange.request(), order),
                   exchange.request().body);
        co_return co_await this->relay(place, *link);
    }

    task<next_step> relay(decode_place& place, upstream_connection& link)
    {
        const auto keep = link.shared_from_this();
        const auto& dialect = *this->state->dialect;
        const std::string& id = this->scope->facts.id;
        const time_point begun = boot_now();
        const io_end end =
            co_await link.read_head(this->scope->until,
                                    [&dialect, &id](const message_head& head)
                                    {
                                        const std::string answered =
                                            dialect.read_reply(head).request_id;
                                        return answered.empty() || answered == id;
                                    });
        if (this->gone())
        {
            link.close();
            co_return next_step::relay;
        }
        if (end != io_end::good)
        {
            note_sign(*this->state, place.at().id, server_sign::unreached,
                      boot_now() - begun);
            log_step(*this->scope, "decode failed", place.at().id, to_string(end));
            co_return this->after(end == io_end::timed_out ? attempt_end::timed_out
                                                           : attempt_end::lost);
        }
        const message_head head = link.head();
        const reply_facts facts = dialect.read_reply(head);
        if (facts.not_run || head.status >= first_error || !facts.is_signed)
        {
            co_return co_await this->relay_failure(place, link, head, facts);
        }
        note_sign(*this->state, place.at().id, server_sign::good, boot_now() - begun);
        co_return co_await this->relay_stream(place, link, head);
    }

    task<next_step> relay_failure(decode_place& place, upstream_connection& link,
                                  const message_head& head, const reply_facts& facts)
    {
        constexpr std::size_t largest_failure = 1 << 20;
        const auto keep = link.shared_from_this();
        const io_end end = co_await link.read_whole(this->scope->until, largest_failure);
        log_step(*this->scope, "decode refused", place.at().id,
                 std::to_string(head.status));
        if (facts.not_run)
        {
            this->state->pool.give_back(keep);
            note_sign(*this->state, place.at().id, server_sign::refused, 0ms);
            ++this->refusals;
            co_return this->after(attempt_end::refused);
        }
        note_sign(*this->state, place.at().id, server_sign::failed, 0ms);
        if (end != io_end::good || !facts.is_signed || promises_not_run(head.status) ||
            this->scope->exchange->answered())
        {
            link.close();
            co_return this->after(attempt_end::lost);
        }
        std::string body = link.take_body();
        this->state->pool.give_back(keep);
        this->scope->outcome = "server_failed";
        co_await relay_answer(*this->scope, head, std::move(body));
        co_return next_step::relay;
    }

    task<next_step> relay_stream(decode_place& place, upstream_connection& link,
                                 const message_head& head)
    {
        caller_exchange& exchange = *this->scope->exchange;
        const auto keep = link.shared_from_this();
        if (!exchange.answered())
        {
            co_await exchange.begin(relayed_head(head));
        }
        const stream_end end = co_await this->pass_events(place, link);
        exchange.on_gone(nullptr);
        this->state->news.notify();
        if (end == stream_end::whole)
        {
            this->state->pool.give_back(keep);
            co_await exchange.finish();
            this->note_pace();
            this->scope->outcome = "answered";
            co_return next_step::relay;
        }
        link.close();
        if (end == stream_end::broken)
        {
            note_sign(*this->state, place.at().id, server_sign::unreached, 0ms);
            log_step(*this->scope, "stream broke", place.at().id, "upstream");
            co_return this->after(attempt_end::lost);
        }
        this->scope->outcome = end == stream_end::late ? "cut_at_timeout" : "caller_gone";
        exchange.cut();
        co_return next_step::relay;
    }

    /// Relays events as they come; some may have come with the head, even all of them.
    task<stream_end> pass_events(decode_place& place, upstream_connection& link)
    {
        caller_exchange& exchange = *this->scope->exchange;
        io_end end = io_end::good;
        for (;;)
        {
            const std::string whole = this->events.take(link.take_body());
            this->note_events(place, !whole.empty());
            if (exchange.gone() || !co_await exchange.send(whole))
            {
                co_return stream_end::caller_gone;
            }
            if (end == io_end::timed_out && boot_now() >= this->scope->until)
            {
                co_return stream_end::late;
            }
            if (end != io_end::good)
            {
                co_return stream_end::broken;
            }
            if (link.done())
            {
                break;
            }
            end = co_await link.read_body(this->silence_limit());
        }
        co_return this->events.between_events() ? stream_end::whole : stream_end::broken;
    }

    void note_pace()
    {
        if (this->first_event && this->placed_at < *this->first_event)
        {
            this->engines->pace.note(*this->first_event - this->placed_at,
                                     boot_now() - *this->first_event, this->made);
            this->engines->outputs.note(this->scope->facts.expected_output.value_or(0),
                                        this->made);
            this->engines->board.set_pace(this->engines->pace.tokens_per_second());
        }
    }

    void note_events(decode_place& place, bool came)
    {
        if (this->events.last_event())
        {
            this->last_event = this->events.last_event();
            this->made = *this->last_event * this->terms.tokens_an_event;
            place.progress(this->made);
            this->scope->output_tokens = this->made;
        }
        if (came)
        {
            const time_point now = boot_now();
            if (this->last_came != time_point{})
            {
                this->scope->longest_gap =
                    std::max(this->scope->longest_gap, now - this->last_came);
            }
            this->last_came = now;
        }
        if (came && !this->first_event)
        {
            this->first_event = boot_now();
            this->scope->first_event =
                boot_now() - this->scope->exchange->request().arrived;
            this->state->counters.observe("agateseam_first_event_ms",
                                          boot_now() -
                                              this->scope->exchange->request().arrived);
        }
    }

    [[nodiscard]] time_point silence_limit() const
    {
        const service_route& route = *this->scope->route;
        if (!route.resumable || route.gap_target <= milliseconds(0))
        {
            return this->scope->until;
        }
        const duration gap = route.gap_target * silence_gaps;
        return std::min(this->scope->until, boot_now() + gap);
    }

    /// Decides what follows an attempt that brought no whole answer.
    [[nodiscard]] next_step after(attempt_end end)
    {
        const bool not_run = end == attempt_end::refused || end == attempt_end::not_sent;
        this->may_have_run += not_run ? 0 : 1;
        this->events.resume();
        if (not_run && this->may_have_run == 0)
        {
            return this->refusals <= most_refusals && this->left() > shortest_attempt
                       ? next_step::try_another
                       : next_step::say_not_run;
        }
        const service_route& route = *this->scope->route;
        if (route.resumable &&
            this->may_have_run<route.max_attempts&& this->left()> shortest_attempt)
        {
            return next_step::try_another;
        }
        return end == attempt_end::timed_out ? next_step::say_late
                                             : next_step::say_unknown;
    }

    task<void> finish(next_step next)
    {
        if (this->gone())
        {
            this->scope->outcome = "caller_gone";
            co_return;
        }
        if (next == next_step::relay)
        {
            co_return;
        }
        if (this->scope->exchange->answered())
        {
            this->scope->outcome = "stream_cut";
            this->scope->exchange->cut();
            co_return;
        }
        if (next == next_step::say_not_run)
        {
            co_await this->turn_away("no_decode_place", duration(1s));
            co_return;
        }
        const bool late = next == next_step::say_late;
        co_await answer_with(*this->scope, {late ? status_late : status_bad_gateway,
                                            late ? "no_answer_in_time" : "answer_lost",
                                            run_word::unknown,
                                            {}});
    }

    task<void> turn_away(std::string_view reason, duration retry_after)
    {
        co_await answer_with(
            *this->scope, {status_unavailable, reason, run_word::not_run, retry_after});
    }

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    engine_terms terms;
    stream_memory memory;
    std::int64_t made = 0; ///< Output tokens so far.
    prompt_reader prompts;
    event_stream events;
    std::optional<std::int64_t> last_event;
    std::uint32_t arrivals = 0;
    std::uint32_t refusals = 0;
    std::uint32_t reservations_refused = 0;
    std::uint32_t may_have_run = 0;
    time_point placed_at{};
    std::optional<time_point> first_event;
    time_point last_came{};
};

} // namespace

task<void> run_model_call(request_scope& scope)
{
    model_call call(scope);
    co_await call.run();
}

} // namespace agateseam

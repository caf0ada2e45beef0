#include <gateway/model_call.hpp>

#include <algorithm>

#include <agateseam/attempt_policy.hpp>
#include <gateway/engine_calls.hpp>
#include <gateway/event_stream.hpp>
#include <gateway/place_finder.hpp>
#include <gateway/prompt_reader.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int first_error = 400;
/// A silent resumable stream goes on elsewhere after this many of its gap targets.
constexpr int silence_gaps = 4;
/// Tries of placing and starting one request: each costs a place of the repeats' budget.
constexpr std::uint32_t most_starts = 3;

/// A caller that was turned away comes back no sooner.
constexpr auto shortest_return = 1'000ms;

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
        , places(chosen)
        , prompts(chosen)
    {
        this->last_event = chosen.facts.last_event;
    }

    task<void> run()
    {
        if (!this->places.could_ever())
        {
            co_await this->turn_away("no_server_large_enough", duration(1s));
            co_return;
        }
        for (std::uint32_t start = 0; start < most_starts; ++start)
        {
            const retry_decision next = co_await this->start_once();
            if (next != retry_decision::try_another)
            {
                co_await this->finish(next);
                co_return;
            }
        }
        co_await this->finish(this->may_have_run == 0 ? retry_decision::report_not_run
                                                      : retry_decision::report_unknown);
    }

  private:
    [[nodiscard]] bool gone() const { return this->scope->exchange->disconnected(); }
    [[nodiscard]] duration left() const { return this->scope->until - boot_now(); }

    /// Finds a place, has the prompt read and relays the stream.
    task<retry_decision> start_once()
    {
        auto place = co_await this->places.find();
        if (!place)
        {
            co_return this->gone() ? retry_decision::relay
                                   : retry_decision::report_not_run;
        }
        const std::string source = co_await this->prompts.read(this->last_event);
        if (this->gone())
        {
            this->places.release(*place);
            this->forget(source);
            co_return retry_decision::relay;
        }
        if (this->left() < shortest_model_attempt || !this->scope->key_holds())
        {
            this->places.release(*place);
            this->forget(source);
            co_return this->may_have_run == 0 ? retry_decision::report_not_run
                                              : retry_decision::report_timeout;
        }
        co_return co_await this->decode(*place, source);
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
    task<retry_decision> decode(decode_place& place, const std::string& source)
    {
        if (this->arrivals > 0 &&
            !this->state->ledger.try_take_repeat(this->scope->service, boot_now()))
        {
            this->places.release(place);
            this->forget(source);
            co_return this->may_have_run == 0 ? retry_decision::report_not_run
                                              : retry_decision::report_unknown;
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
                this->state->pool.return_connection(link);
            }
            else
            {
                note_sign(*this->state, place.at().id, server_observation::unreachable,
                          0ms);
            }
            this->places.release(place);
            this->forget(source);
            co_return this->gone() ? retry_decision::relay : retry_decision::try_another;
        }
        caller_exchange& exchange = *this->scope->exchange;
        exchange.on_disconnect([link] { link->close(); });
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

    task<retry_decision> relay(decode_place& place, upstream_connection& link)
    {
        const auto keep = link.shared_from_this();
        const auto& dialect = *this->state->dialect;
        const time_point begun = boot_now();
        const io_outcome end = co_await link.read_head(
            this->scope->until, answers_to(dialect, this->scope->facts.id));
        if (this->gone())
        {
            link.close();
            co_return retry_decision::relay;
        }
        if (end != io_outcome::good)
        {
            note_sign(*this->state, place.at().id, server_observation::unreachable,
                      boot_now() - begun);
            log_step(*this->scope, "decode failed", place.at().id, to_string(end));
            co_return this->after(end == io_outcome::timed_out
                                      ? attempt_outcome::timed_out
                                      : attempt_outcome::lost);
        }
        const message_head head = link.head();
        const reply_facts facts = dialect.read_reply(head);
        if (facts.not_run || head.status >= first_error || !facts.is_signed)
        {
            co_return co_await this->relay_failure(place, link, head, facts);
        }
        note_sign(*this->state, place.at().id, server_observation::good,
                  boot_now() - begun);
        co_return co_await this->relay_stream(place, link, head);
    }

    task<retry_decision> relay_failure(decode_place& place, upstream_connection& link,
                                       const message_head& head, const reply_facts& facts)
    {
        constexpr std::size_t largest_failure = 1 << 20;
        const auto keep = link.shared_from_this();
        const io_outcome end =
            co_await link.read_whole(this->scope->until, largest_failure);
        log_step(*this->scope, "decode refused", place.at().id,
                 std::to_string(head.status));
        if (facts.not_run)
        {
            this->state->pool.return_connection(keep);
            note_sign(*this->state, place.at().id, server_observation::refused, 0ms);
            ++this->refusals;
            co_return this->after(attempt_outcome::refused);
        }
        note_sign(*this->state, place.at().id, server_observation::failed, 0ms);
        if (end != io_outcome::good || !facts.is_signed ||
            promises_not_run(head.status) || this->scope->exchange->answered())
        {
            link.close();
            co_return this->after(attempt_outcome::lost);
        }
        std::string body = link.take_body();
        this->state->pool.return_connection(keep);
        this->scope->outcome = "server_failed";
        co_await relay_answer(*this->scope, head, std::move(body));
        co_return retry_decision::relay;
    }

    task<retry_decision> relay_stream(decode_place& place, upstream_connection& link,
                                      const message_head& head)
    {
        caller_exchange& exchange = *this->scope->exchange;
        const auto keep = link.shared_from_this();
        if (!exchange.answered())
        {
            co_await exchange.begin(relayed_head(head));
        }
        const stream_end end = co_await this->pass_events(place, link);
        exchange.on_disconnect(nullptr);
        this->state->news.notify();
        if (end == stream_end::whole)
        {
            this->state->pool.return_connection(keep);
            co_await exchange.finish();
            this->note_pace();
            this->scope->outcome = "answered";
            co_return retry_decision::relay;
        }
        link.close();
        if (end == stream_end::broken)
        {
            note_sign(*this->state, place.at().id, server_observation::unreachable, 0ms);
            log_step(*this->scope, "stream broke", place.at().id, "upstream");
            co_return this->after(attempt_outcome::lost);
        }
        this->scope->outcome = end == stream_end::late ? "cut_at_timeout" : "caller_gone";
        exchange.abort();
        co_return retry_decision::relay;
    }

    /// Relays events as they come; some may have come with the head, even all of them.
    task<stream_end> pass_events(decode_place& place, upstream_connection& link)
    {
        caller_exchange& exchange = *this->scope->exchange;
        io_outcome end = io_outcome::good;
        for (;;)
        {
            const std::string whole = this->events.take(link.take_body());
            this->note_events(place, !whole.empty());
            if (exchange.disconnected() || !co_await exchange.send(whole))
            {
                co_return stream_end::caller_gone;
            }
            if (end == io_outcome::timed_out && boot_now() >= this->scope->until)
            {
                co_return stream_end::late;
            }
            if (end != io_outcome::good)
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
        if (this->first_event && this->places.placed_at() < *this->first_event)
        {
            this->engines->pace.record_stream(
                *this->first_event - this->places.placed_at(),
                boot_now() - *this->first_event, this->made);
            this->engines->outputs.record_output(
                this->scope->facts.expected_output.value_or(0), this->made);
            this->engines->board.set_stream_rate(this->engines->pace.tokens_per_second());
        }
    }

    void note_events(decode_place& place, bool came)
    {
        if (this->events.last_event())
        {
            this->last_event = this->events.last_event();
            this->made = *this->last_event * this->terms.tokens_per_event;
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
    [[nodiscard]] retry_decision after(attempt_outcome end)
    {
        const bool not_run =
            end == attempt_outcome::refused || end == attempt_outcome::not_sent;
        this->may_have_run += not_run ? 0 : 1;
        this->events.resume();
        if (not_run && this->may_have_run == 0)
        {
            return this->refusals <= max_refusals && this->left() > shortest_model_attempt
                       ? retry_decision::try_another
                       : retry_decision::report_not_run;
        }
        const service_route& route = *this->scope->route;
        if (route.resumable &&
            this->may_have_run<route.max_attempts&& this->left()> shortest_model_attempt)
        {
            return retry_decision::try_another;
        }
        return end == attempt_outcome::timed_out ? retry_decision::report_timeout
                                                 : retry_decision::report_unknown;
    }

    task<void> finish(retry_decision next)
    {
        if (this->gone())
        {
            this->scope->outcome = "caller_gone";
            co_return;
        }
        if (next == retry_decision::relay)
        {
            co_return;
        }
        if (this->scope->exchange->answered())
        {
            this->scope->outcome = "stream_cut";
            this->scope->exchange->abort();
            co_return;
        }
        if (next == retry_decision::report_not_run)
        {
            co_await this->turn_away("no_decode_place", this->time_to_come_back());
            co_return;
        }
        const bool late = next == retry_decision::report_timeout;
        co_await answer_with(*this->scope, {late ? status_late : status_bad_gateway,
                                            late ? "no_answer_in_time" : "answer_lost",
                                            run_word::unknown,
                                            {}});
    }

    /// A crowd that lasted as long as the request has waited is likely to last as long
    /// again; up to half more at random, so that callers don't come back all at once.
    [[nodiscard]] duration time_to_come_back() const
    {
        const double more = 0.5 * this->state->random() / 4294967296.0;
        const auto as_long_again =
            std::chrono::duration_cast<duration>(this->scope->waited * (1 + more));
        return std::max<duration>(shortest_return, as_long_again);
    }

    task<void> turn_away(std::string_view reason, duration retry_after)
    {
        co_await answer_with(
            *this->scope, {status_unavailable, reason, run_word::not_run, retry_after});
    }

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    engine_properties terms;
    place_finder places;
    std::int64_t made = 0; ///< Output tokens so far.
    prompt_reader prompts;
    event_stream events;
    std::optional<std::int64_t> last_event;
    std::uint32_t arrivals = 0;
    std::uint32_t refusals = 0;
    std::uint32_t may_have_run = 0;
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

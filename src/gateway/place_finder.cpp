#include <gateway/place_finder.hpp>

#include <algorithm>

#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
/// A waiting request looks for a place at least this often: reservations lapse unseen.
constexpr auto look_again = 25ms;
/// A request waits this many times its target for a place, then is turned away.
constexpr double longest_wait_targets = 2.5;
/// The answer of a reservation is due at once; a silent server is left alone.
constexpr auto reserve_time = 250ms;
/// Room that is reserved beyond the prompt, so that a stream isn't preempted at once.
constexpr int first_events = 4;
/// A place is used once its prompt was read, in some 200 ms, or not at all.
constexpr auto reservation_life = 700ms;

} // namespace

place_finder::place_finder(request_scope& chosen)
    : scope(&chosen)
    , state(chosen.state)
    , engines(&chosen.state->engines(chosen.service))
    , terms(*chosen.routing->service(chosen.service)->engine)
{
    const request_facts& facts = this->scope->facts;
    this->memory.prompt_tokens = facts.prompt_tokens;
    this->memory.max_output_tokens = facts.output_tokens;
    const std::int64_t guess = facts.expected_output.value_or(0);
    this->engines->outputs.record_guess(guess);
    const output_estimate expected = this->engines->outputs.estimate(guess);
    this->memory.log_median = expected.log_median;
    this->memory.log_stddev = expected.log_stddev;
}

bool place_finder::could_ever() const
{
    return this->engines->board.could_hold(this->memory.prompt_tokens);
}

/// Waits in line for a decode place and reserves it.
task<std::unique_ptr<decode_place>> place_finder::find()
{
    const time_point arrived = this->scope->exchange->request().arrived;
    const duration target = this->scope->route->target_latency;
    const time_point wait_until = std::min(
        this->scope->until - duration(shortest_model_attempt),
        arrived + std::chrono::duration_cast<duration>(target * longest_wait_targets));
    const waiting_request waiting{this->scope->urgency(), arrived,
                                  arrived + target -
                                      this->engines->pace.expected_first_event_time()};
    waiting_queue::ticket ticket = this->engines->line.enqueue(waiting);
    while (!this->scope->exchange->disconnected())
    {
        const time_point now = boot_now();
        if (now >= wait_until || !this->scope->key_holds())
        {
            break;
        }
        std::shared_ptr<const backend_server> server;
        if (this->engines->line.front(now) == ticket)
        {
            server = this->choose(now);
        }
        if (!server)
        {
            this->scope->exchange->on_disconnect([this]
                                                 { this->engines->changed.notify(); });
            co_await this->engines->changed.wait_for(
                std::min<duration>(look_again, wait_until - now));
            this->scope->exchange->on_disconnect(nullptr);
            continue;
        }
        this->engines->line.remove(ticket);
        auto place = std::make_unique<decode_place>(*this->engines, server, this->memory);
        this->state->news.notify();
        this->engines->changed.notify();
        if (co_await this->reserve(*place))
        {
            this->reserved_at = boot_now();
            this->scope->waited = this->reserved_at - arrived;
            this->log_place(*server);
            co_return place;
        }
        place.reset();
        ++this->reservations_refused;
        this->engines->board.record_refusal(server->id, boot_now());
        ticket = this->engines->line.enqueue(waiting);
    }
    this->engines->line.remove(ticket);
    this->scope->waited = boot_now() - arrived;
    this->engines->changed.notify();
    this->log_no_place();
    co_return nullptr;
}

void place_finder::log_place(const backend_server& server) const
{
    const auto waited = std::chrono::duration_cast<milliseconds>(this->scope->waited);
    log_line(log_level::info, "decode place reserved",
             {{"request", this->scope->facts.id},
              {"server", server.id},
              {"waited_ms", waited.count()},
              {"waiting", static_cast<std::int64_t>(this->engines->line.size())}});
}

void place_finder::log_no_place() const
{
    const auto waited = std::chrono::duration_cast<milliseconds>(this->scope->waited);
    const std::size_t servers = this->engines->board.decode_servers().size();
    log_line(log_level::info, "no decode place",
             {{"request", this->scope->facts.id},
              {"waited_ms", waited.count()},
              {"waiting", static_cast<std::int64_t>(this->engines->line.size())},
              {"servers", static_cast<std::int64_t>(servers)},
              {"reservations_refused", std::int64_t{this->reservations_refused}},
              {"reason", this->scope->exchange->disconnected() ? "caller gone"
                                                               : "no memory in time"}});
}

std::shared_ptr<const backend_server> place_finder::choose(time_point now)
{
    return this->engines->board.choose_decode(
        this->memory, this->state->settings.failure_domain, now, this->state->random(),
        [this, now](const std::string& id)
        { return this->state->judge.allowed(id, now); });
}

/// What a stream takes when it starts: its prompt and room for the first events. A
/// reservation's size is counted at the server for as long as the stream runs, so it
/// isn't made larger.
std::int64_t place_finder::first_tokens() const
{
    const std::int64_t output =
        std::min<std::int64_t>(this->memory.max_output_tokens,
                               std::int64_t{first_events} * this->terms.tokens_per_event);
    return this->engines->board.round_up_to_blocks(this->memory.prompt_tokens + output);
}

task<bool> place_finder::reserve(decode_place& place)
{
    if (this->terms.max_reservation_time <= milliseconds(0))
    {
        co_return true;
    }
    const auto life =
        std::min<milliseconds>(this->terms.max_reservation_time, reservation_life);
    const engine_answer answer = co_await call_engine(
        *this->state, place.at().address,
        this->state->dialect->write_reserve(place.at(), this->first_tokens(), life),
        nullptr, this->scope->facts.id, boot_now() + reserve_time, nullptr);
    const bool unreached = answer.end != io_outcome::good;
    if (unreached)
    {
        note_sign(*this->state, place.at().id, server_observation::unreachable,
                  reserve_time);
    }
    if (unreached || answer.head.status != status_ok)
    {
        this->state->counters.add("agateseam_reservations_total{outcome=\"refused\"}");
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

void place_finder::release(decode_place& place)
{
    if (!place.reservation.empty())
    {
        post_engine(*this->state, place.at().address,
                    this->state->dialect->write_release(place.at(), place.reservation),
                    "release");
        place.reservation.clear();
    }
}

} // namespace agateseam

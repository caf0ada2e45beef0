#include <gateway/place_finder.hpp>

#include <algorithm>
#include <utility>

#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
/// A waiting request looks for capacity at least this often, as reservations expire
/// without a notification.
constexpr auto poll_interval = 25ms;
/// A server answers a reservation at once; one that takes longer counts as unreachable.
constexpr auto reserve_timeout = 250ms;
/// Events for which memory is reserved beyond the prompt, so that a stream isn't
/// preempted at once.
constexpr int reserved_events = 4;
/// Maximum lifetime of a reservation. Prefilling the prompt takes some 200 ms; a
/// reservation that isn't used soon after that is never used.
constexpr auto max_reservation_lifetime = 700ms;

} // namespace

place_finder::place_finder(request_scope& request)
    : scope(&request)
    , state(request.state)
    , engines(&request.state->engines(request.service))
    , properties(*request.routing->service(request.service)->engine)
{
    const request_metadata& metadata = this->scope->metadata;
    this->expected_memory.prompt_tokens = metadata.prompt_tokens;
    this->expected_memory.max_output_tokens = metadata.output_tokens;
    const std::int64_t caller_estimate = metadata.expected_output.value_or(0);
    this->engines->output_lengths.record_guess(caller_estimate);
    const output_estimate expected =
        this->engines->output_lengths.estimate(caller_estimate);
    this->expected_memory.log_median = expected.log_median;
    this->expected_memory.log_stddev = expected.log_stddev;
}

bool place_finder::can_ever_fit() const
{
    return this->engines->placement.could_hold(this->expected_memory.prompt_tokens);
}

void place_finder::record_lost_place(const backend_server& server)
{
    if (this->state->is_evacuated(server))
    {
        this->place_lost_at = boot_now();
    }
}

/// Waits in the queue until a decode server has capacity and reserves memory there.
task<std::unique_ptr<decode_place>> place_finder::find()
{
    const time_point arrived = this->scope->exchange->request().arrived;
    const duration target_latency = this->scope->route->target_latency;
    time_point wait_until =
        this->scope->max_wait_end(std::max(arrived, this->place_lost_at));
    const waiting_request waiting{this->scope->priority(), arrived,
                                  arrived + target_latency -
                                      this->engines->latency.expected_first_event_time()};
    const bool is_bound = this->version.has_value();
    waiting_queue::ticket ticket{};
    if (!is_bound)
    {
        ticket = this->engines->queue.enqueue(waiting);
        this->is_queued = true;
    }
    bool is_announced = false; // Whether the other entries were told that it waits.
    while (!this->scope->exchange->disconnected())
    {
        const time_point now = boot_now();
        if (now >= std::min(wait_until, this->scope->deadline) ||
            !this->scope->is_key_valid() ||
            this->scope->part_block_in_force() != nullptr ||
            this->scope->time_all_busy(now) || !this->has_server_of_version() ||
            !this->scope->has_server_in_region(true) ||
            (!is_bound && now + this->expected_wait() > wait_until) ||
            this->scope->may_not_start(now + this->expected_wait()))
        {
            break;
        }
        std::shared_ptr<const backend_server> server;
        if (is_bound || (this->engines->queue.front(now) == ticket &&
                         this->engines->others_waiting.allows(rank_of(waiting, now))))
        {
            this->engines->placement.set_competing_entries(
                this->engines->others_waiting.competitors(rank_of(waiting, now)));
            server = this->choose(now);
        }
        if (!server && this->is_place_paced && !this->pace_wait_since)
        {
            this->pace_wait_since = now;
        }
        if (!server && !std::exchange(is_announced, true))
        {
            this->state->digest_due.notify();
        }
        if (!server)
        {
            this->scope->exchange->on_disconnect(
                [this] { this->engines->capacity_changed.notify(); });
            co_await this->engines->capacity_changed.wait_for(
                std::min<duration>(poll_interval, wait_until - now));
            this->scope->exchange->on_disconnect(nullptr);
            continue;
        }
        this->state->health.record_choice(server->id, now);
        this->leave_queue(ticket);
        auto place =
            std::make_unique<decode_place>(*this->engines, server, this->expected_memory);
        this->state->digest_due.notify();
        this->engines->capacity_changed.notify();
        const bool has_place = co_await this->reserve(*place);
        if (has_place && this->state->accepts_work(*server))
        {
            this->reserved_at = boot_now();
            this->scope->queue_time = this->reserved_at - arrived;
            this->record_pace_wait(server->id);
            this->log_reserved(*server);
            co_return place;
        }
        if (has_place)
        {
            log_failure(*this->scope, "place withheld", server->id,
                        this->state->refusal_reason(*server));
            this->release(*place);
        }
        place.reset();
        this->record_lost_place(*server);
        wait_until = this->scope->max_wait_end(std::max(arrived, this->place_lost_at));
        ++this->reservations_refused;
        this->engines->placement.record_refusal(server->id, boot_now());
        if (!is_bound)
        {
            ticket = this->engines->queue.enqueue(waiting);
            this->is_queued = true;
        }
    }
    this->leave_queue(ticket);
    this->scope->queue_time = boot_now() - arrived;
    this->record_pace_wait("");
    this->engines->capacity_changed.notify();
    this->log_not_reserved(
        this->scope->exchange->disconnected()           ? "caller gone"
        : this->scope->may_not_start(boot_now())        ? "stopping"
        : this->scope->part_block_in_force() != nullptr ? "blocked parts"
        : this->scope->time_all_busy(boot_now())        ? "all servers rest"
        : !this->has_server_of_version()                ? "no server of its version"
        : !this->scope->has_server_in_region(true)      ? "no server in its region"
                                                        : "no memory in time");
    co_return nullptr;
}

void place_finder::leave_queue(waiting_queue::ticket ticket)
{
    if (std::exchange(this->is_queued, false))
    {
        this->engines->queue.remove(ticket);
    }
}

void place_finder::log_reserved(const backend_server& server) const
{
    log_line(log_level::info, "decode place reserved",
             {{"request", this->scope->metadata.id},
              {"server", server.id},
              {"version", server.version},
              {"waited_ms", whole_milliseconds(this->scope->queue_time)},
              {"waiting", static_cast<std::int64_t>(this->engines->queue.size())}});
}

duration place_finder::expected_wait() const
{
    std::size_t ahead =
        this->engines->queue.size() + this->engines->others_waiting.requests;
    ahead -= this->is_queued ? 1 : 0;
    return agateseam::expected_wait(static_cast<std::uint32_t>(ahead),
                                    this->engines->placement.running_requests(),
                                    this->engines->latency.typical_stream_time());
}

void place_finder::log_not_reserved(std::string_view reason) const
{
    const std::size_t servers = this->engines->placement.decode_servers().size();
    log_line(log_level::info, "no decode place",
             {{"request", this->scope->metadata.id},
              {"waited_ms", whole_milliseconds(this->scope->queue_time)},
              {"waiting", static_cast<std::int64_t>(this->engines->queue.size())},
              {"servers", static_cast<std::int64_t>(servers)},
              {"reservations_refused", std::int64_t{this->reservations_refused}},
              {"expected_wait_ms", whole_milliseconds(this->expected_wait())},
              {"reason", reason}});
}

task<std::unique_ptr<decode_place>> place_finder::find_now(std::string excluded)
{
    const auto server = this->choose(boot_now(), excluded);
    if (!server)
    {
        co_return nullptr;
    }
    this->state->health.record_choice(server->id, boot_now());
    auto place =
        std::make_unique<decode_place>(*this->engines, server, this->expected_memory);
    const bool has_place = co_await this->reserve(*place);
    if (has_place && this->state->accepts_work(*server))
    {
        this->reserved_at = boot_now();
        this->log_reserved(*server);
        co_return place;
    }
    if (has_place)
    {
        this->release(*place);
    }
    this->engines->placement.record_refusal(server->id, boot_now());
    co_return nullptr;
}

std::shared_ptr<const backend_server> place_finder::choose(time_point now,
                                                           std::string_view excluded)
{
    this->is_place_paced = false;
    auto server = this->version || this->engines->spare_versions.empty()
                      ? nullptr
                      : this->choose(now, excluded, true);
    return server ? server : this->choose(now, excluded, false);
}

std::shared_ptr<const backend_server>
place_finder::choose(time_point now, std::string_view excluded, bool needs_spare)
{
    return this->engines->placement.choose_decode(
        this->expected_memory, this->state->settings.failure_domain, now,
        this->state->random(),
        [this, now, excluded, needs_spare](const backend_server& server)
        {
            const bool is_of_version = this->version
                                           ? server.version_key == *this->version
                                           : !needs_spare || this->has_spare(server);
            return is_of_version && server.id != excluded &&
                   this->scope->region.allows(server) &&
                   this->state->health.allowed(server.id, now) &&
                   this->state->health.return_delay_left(server.id, now) <=
                       duration::zero() &&
                   this->may_send_to(server, now);
        });
}

/// Tells whether the server's limit, cold bound and pace admit the calls of one place.
bool place_finder::may_send_to(const backend_server& server, time_point now)
{
    const bool is_paced =
        this->state->is_paced(server.id, now) && !this->state->is_limited(server.id);
    const bool may_send = this->state->limit_wait(server.id, now) <= duration::zero();
    this->is_place_paced |= is_paced && !may_send;
    return may_send;
}

void place_finder::record_pace_wait(std::string_view server)
{
    if (this->pace_wait_since)
    {
        this->scope->record_pace_wait(server, *this->pace_wait_since);
        this->pace_wait_since.reset();
    }
}

bool place_finder::has_server_of_version() const
{
    if (!this->version)
    {
        return true;
    }
    const auto servers = this->engines->placement.decode_servers();
    return std::any_of(servers.begin(), servers.end(),
                       [this](const auto& server) {
                           return server->version_key == *this->version &&
                                  this->scope->region.allows(*server);
                       });
}

/// Tells whether a second server of a server's version could go on with the stream.
bool place_finder::has_spare(const backend_server& server) const
{
    if (!this->engines->spare_versions.contains(server.version_key))
    {
        return false;
    }
    if (!this->scope->region.is_restricted())
    {
        return true;
    }
    const auto servers = this->engines->placement.decode_servers();
    return std::any_of(servers.begin(), servers.end(),
                       [this, &server](const auto& other)
                       {
                           return other->id != server.id &&
                                  other->version_key == server.version_key &&
                                  this->scope->region.allows(*other);
                       });
}

/// Returns the memory for the prompt and the first events, in tokens. No more is
/// reserved, because the server counts a reservation's size for as long as the stream
/// runs.
std::int64_t place_finder::initial_tokens() const
{
    const std::int64_t output = std::min<std::int64_t>(
        this->expected_memory.max_output_tokens,
        std::int64_t{reserved_events} * this->properties.tokens_per_event);
    return this->engines->placement.round_up_to_blocks(
        this->expected_memory.prompt_tokens + output);
}

task<bool> place_finder::reserve(decode_place& place)
{
    if (this->state->is_limited(place.chosen_server().id) ||
        this->state->is_paced(place.chosen_server().id, boot_now()))
    {
        // Of the requests that the server takes, none is spent on a reservation. A server
        // that returns is nearly empty, so what the entries know of it suffices.
        co_return this->begin_send(place);
    }
    if (this->properties.max_reservation_time <= milliseconds(0))
    {
        co_return true;
    }
    const auto lifetime = std::min<milliseconds>(this->properties.max_reservation_time,
                                                 max_reservation_lifetime);
    const engine_call_result answer =
        co_await call_engine(*this->state, place.chosen_server(),
                             this->state->dialect->write_reservation_request(
                                 place.chosen_server(), this->initial_tokens(), lifetime),
                             nullptr, "", boot_now() + reserve_timeout, nullptr);
    if (answer.withheld)
    {
        co_return false;
    }
    const bool no_reply = answer.end != io_outcome::good;
    if (no_reply)
    {
        record_observation(*this->state, place.chosen_server().id,
                           server_observation::unreachable, reserve_timeout);
    }
    if (no_reply || answer.head.status != status_ok)
    {
        this->state->counters.add("agateseam_reservations_total{outcome=\"refused\"}");
        co_return false;
    }
    auto reservation = this->state->dialect->read_reservation_reply(answer.body);
    if (!reservation)
    {
        log_error("invalid reservation reply ignored", reservation.error(),
                  {{"request", this->scope->metadata.id}});
        co_return false;
    }
    this->state->counters.add("agateseam_reservations_total{outcome=\"held\"}");
    place.reservation = std::move(*reservation);
    co_return true;
}

bool place_finder::begin_send(decode_place& place)
{
    if (place.has_send)
    {
        // A request that stays unused is refunded by the place's release.
        return this->state->accepts_work(place.chosen_server());
    }
    place.has_send = this->state->try_begin_send(place.chosen_server());
    return place.has_send;
}

void place_finder::release(decode_place& place)
{
    if (std::exchange(place.has_send, false))
    {
        this->state->limiter.refund(place.chosen_server().id, boot_now());
    }
    if (!place.reservation.empty())
    {
        release_at_engine(*this->state, place.chosen_server(),
                          this->state->dialect->write_release_request(
                              place.chosen_server(), place.reservation),
                          "release");
        place.reservation.clear();
    }
}

} // namespace agateseam

#include <daemon/config_controller.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds watch_timeout{1'000};
constexpr milliseconds retry_delay{200};
constexpr milliseconds probe_interval{100};
constexpr milliseconds admission_lease{2'000}; // Longer than a slow round of probes.

} // namespace

config_controller::config_controller(entry_context& shared)
    : context(&shared)
    , configs(config_store::create(*shared.store, shared.time, shared.next_request_id()))
    , follower([this] { this->follow_sources(); })
    , prober([this] { this->probe_peers(); })
{
}

config_controller::~config_controller()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->follower.join();
    this->prober.join();
}

void config_controller::follow_sources()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        lock.unlock();
        const config_source source =
            this->context->relay->next_source(this->context->time.now());
        const bool succeeded = source.from_store
                                   ? this->follow_store()
                                   : this->ask_peer(source.peer, watch_timeout);
        lock.lock();
        if (!succeeded)
        {
            this->wake.wait_for(lock, retry_delay);
        }
    }
}

void config_controller::probe_peers()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        lock.unlock();
        this->context->peers->expire();
        const auto peer = this->context->relay->next_probe(this->context->time.now());
        if (peer)
        {
            static_cast<void>(this->ask_peer(*peer, milliseconds(0)));
        }
        this->renew_admission();
        lock.lock();
        this->wake.wait_for(lock, probe_interval);
    }
}

/// Extends the time during which requests are admitted. A process that was paused for
/// longer admits nothing until the next renewal.
void config_controller::renew_admission()
{
    const time_point now = this->context->time.now();
    if (this->context->relay->may_admit(now))
    {
        this->context->admit_until = (now + admission_lease).time_since_epoch().count();
    }
    else
    {
        this->context->admit_until = 0;
    }
}

bool config_controller::follow_store()
{
    const auto record =
        this->context->store->watch(config_index_key, this->version, watch_timeout);
    if (!record)
    {
        return false;
    }
    if (!*record)
    {
        const auto own = this->context->peers->current();
        this->context->relay->record_store_number(this->context->time.now(),
                                                  own ? own->number : 0);
        return true;
    }
    auto state = this->configs->read();
    if (!state)
    {
        log_error("configuration not read", state.error());
        return false;
    }
    const std::uint64_t read_version = state->version;
    const std::uint64_t number = state->number;
    if (!this->apply_state(std::move(*state)))
    {
        return false;
    }
    this->version = read_version;
    this->context->relay->record_store_number(this->context->time.now(), number);
    this->renew_admission();
    return true;
}

bool config_controller::ask_peer(const peer_record& peer, milliseconds wait)
{
    const auto own = this->context->peers->current();
    const auto call = [&](std::uint64_t after)
    {
        return this->context->client->fetch(
            make_peer_call(peer, this->context->settings.fleet_secret, after, wait));
    };
    auto reply = call(own ? own->number : 0);
    auto answer =
        reply && reply->status == 200
            ? parse_peer_answer(reply->body)
            : fail(error_code::unavailable, "relay configuration", peer.vm, "no answer");
    if (!answer)
    {
        this->context->relay->record_peer_failure(peer.vm, this->context->time.now());
        return false;
    }
    const peer_config_status status = answer->status;
    if (status.number > (own ? own->number : 0))
    {
        auto next = apply_answer(own ? *own : config_state{}, std::move(*answer));
        if (!next)
        {
            reply = call(0);
            answer = reply ? parse_peer_answer(reply->body)
                           : tl::unexpected<error>(reply.error());
            next = answer ? apply_answer({}, std::move(*answer))
                          : tl::unexpected<error>(answer.error());
        }
        if (!next || !this->apply_state(std::move(*next)))
        {
            return false;
        }
    }
    this->context->relay->record_peer_status(peer.vm, this->context->time.now(), status);
    return true;
}

bool config_controller::apply_state(config_state state)
{
    const std::scoped_lock lock(this->apply_mutex);
    const auto current_state = this->context->peers->current();
    if (current_state && current_state->number >= state.number)
    {
        return true;
    }
    auto parsed = configuration::parse(state.document, state.number);
    if (!parsed)
    {
        log_error("configuration not applied", parsed.error());
        return false;
    }
    const std::uint64_t number = state.number;
    this->context->allowance->configure(*parsed);
    this->context->board.config.publish(
        configuration_view::create(std::move(*parsed), state.document));
    {
        const auto view = this->context->board.config.read();
        this->context->keys.update_states(*view);
    }
    this->context->telemetry->events.add(
        {event_kind::config_in_force, "", 0, "", "", static_cast<std::int64_t>(number)});
    this->context->relay->record_number_in_force(number);
    this->context->peers->publish(std::make_shared<const config_state>(std::move(state)));
    log_line(log_level::info, "configuration in force",
             {{"number", static_cast<std::int64_t>(number)}});
    return true;
}

} // namespace agateseam

#include <daemon/slot_service.hpp>

namespace agateseam
{

result<std::unique_ptr<slot_service>>
slot_service::create(const scheduler_options& options, const clock_source& clock)
{
    auto created = agent_scheduler::create(options);
    if (!created)
    {
        return tl::unexpected<error>(created.error());
    }
    std::unique_ptr<slot_service> service(new slot_service(std::move(*created), clock));
    service->worker = std::thread([raw = service.get()] { raw->run(); });
    return service;
}

slot_service::slot_service(agent_scheduler created, const clock_source& time)
    : clock(&time)
    , scheduler(std::move(created))
{
}

slot_service::~slot_service()
{
    this->stop();
}

void slot_service::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->worker.joinable())
    {
        this->worker.join();
    }
    // Destroyed unlocked, because a destructor may call release().
    std::map<attempt_id, owner_entry> dropped;
    {
        const std::scoped_lock lock(this->mutex);
        dropped.swap(this->owners);
    }
}

result<duration> slot_service::submit(const slot_request& request,
                                      std::shared_ptr<slot_owner> owner)
{
    const std::scoped_lock lock(this->mutex);
    auto queued = this->scheduler.submit(request, this->clock->now());
    if (queued)
    {
        this->owners[request.id] = {owner, owner};
    }
    this->wake_worker();
    return queued;
}

bool slot_service::start(const attempt_id& id, std::shared_ptr<slot_owner> owner)
{
    const std::scoped_lock lock(this->mutex);
    const bool granted = this->scheduler.request_start(id, this->clock->now());
    if (granted)
    {
        this->owners[id].keep_alive = std::move(owner);
        this->wake_worker();
    }
    return granted;
}

bool slot_service::renew(const attempt_id& id)
{
    const std::scoped_lock lock(this->mutex);
    return this->scheduler.renew(id, this->clock->now());
}

void slot_service::set_remaining_use(const attempt_id& id, duration expected,
                                     duration longest)
{
    const std::scoped_lock lock(this->mutex);
    this->scheduler.set_remaining_use(id, expected, longest, this->clock->now());
}

void slot_service::release(const attempt_id& id, double used)
{
    // Destroyed unlocked, because its destructor may call release().
    owner_entry dropped;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->owners.find(id);
        if (found == this->owners.end())
        {
            return;
        }
        dropped = std::move(found->second);
        this->owners.erase(found);
        this->scheduler.release(id, used);
        this->wake_worker();
    }
}

void slot_service::end(const attempt_id& id)
{
    std::shared_ptr<slot_owner> owner;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->owners.find(id);
        if (found != this->owners.end())
        {
            owner = found->second.owner.lock();
        }
    }
    if (owner)
    {
        slot_event ended;
        ended.id = id;
        ended.kind = slot_event_kind::lease_expired;
        owner->on_slot_event(ended);
    }
}

void slot_service::drain()
{
    const std::scoped_lock lock(this->mutex);
    this->scheduler.drain();
    this->wake_worker();
}

duration slot_service::retry_after() const
{
    const std::scoped_lock lock(this->mutex);
    return this->scheduler.retry_after(this->clock->now());
}

scheduler_load slot_service::load() const
{
    const std::scoped_lock lock(this->mutex);
    return this->scheduler.load();
}

/// Requires that the mutex is held.
void slot_service::wake_worker()
{
    this->wake_requested = true;
    this->changed.notify_all();
}

void slot_service::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        this->wake_requested = false;
        const std::vector<slot_event> events =
            this->scheduler.advance(this->clock->now());
        std::vector<std::shared_ptr<slot_owner>> receivers;
        receivers.reserve(events.size());
        for (const slot_event& event : events)
        {
            receivers.push_back(this->owner_of(event));
        }
        lock.unlock();
        for (std::size_t index = 0; index < events.size(); ++index)
        {
            if (receivers[index])
            {
                receivers[index]->on_slot_event(events[index]);
            }
        }
        receivers.clear();
        lock.lock();
        const time_point now = this->clock->now();
        // Waits at least 1 ms, so that a wake time in the past cannot cause a busy loop.
        const duration wait = std::max<duration>(
            this->scheduler.next_wake_time(now) - now, std::chrono::milliseconds(1));
        this->changed.wait_for(lock, wait,
                               [this] { return this->wake_requested || this->stopping; });
    }
}

/// Returns the owner of an event's attempt and ends the service's reference to it.
/// Requires that the mutex is held.
std::shared_ptr<slot_owner> slot_service::owner_of(const slot_event& event)
{
    const auto found = this->owners.find(event.id);
    if (found == this->owners.end())
    {
        return nullptr;
    }
    auto owner = found->second.owner.lock();
    found->second.keep_alive.reset();
    const bool ended = event.kind == slot_event_kind::refused ||
                       event.kind == slot_event_kind::lease_expired;
    if (ended)
    {
        this->owners.erase(found);
    }
    return owner;
}

} // namespace agateseam

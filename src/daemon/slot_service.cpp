#include <daemon/slot_service.hpp>

namespace agateseam
{

result<std::unique_ptr<slot_service>>
slot_service::create(const scheduler_options& options, const clock_source& clock)
{
    auto made = agent_scheduler::create(options);
    if (!made)
    {
        return tl::unexpected<error>(made.error());
    }
    std::unique_ptr<slot_service> service(new slot_service(std::move(*made), clock));
    service->worker = std::thread([raw = service.get()] { raw->run(); });
    return service;
}

slot_service::slot_service(agent_scheduler made, const clock_source& time)
    : clock(&time)
    , scheduler(std::move(made))
{
}

slot_service::~slot_service()
{
    this->stop();
}

void slot_service::stop()
{
    {
        const std::scoped_lock hold(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->worker.joinable())
    {
        this->worker.join();
    }
    std::map<attempt_id, owner_entry> dropped; // Their ends may call back.
    {
        const std::scoped_lock hold(this->mutex);
        dropped.swap(this->owners);
    }
}

result<duration> slot_service::submit(const slot_request& request,
                                      std::shared_ptr<slot_owner> owner)
{
    const std::scoped_lock hold(this->mutex);
    auto queued = this->scheduler.submit(request, this->clock->now());
    if (queued)
    {
        this->owners[request.id] = {owner, owner};
    }
    this->wake();
    return queued;
}

bool slot_service::start(const attempt_id& id, std::shared_ptr<slot_owner> owner)
{
    const std::scoped_lock hold(this->mutex);
    const bool granted = this->scheduler.request_start(id, this->clock->now());
    if (granted)
    {
        this->owners[id].kept = std::move(owner);
        this->wake();
    }
    return granted;
}

bool slot_service::renew(const attempt_id& id)
{
    const std::scoped_lock hold(this->mutex);
    return this->scheduler.renew(id, this->clock->now());
}

void slot_service::progress(const attempt_id& id, duration expected, duration longest)
{
    const std::scoped_lock hold(this->mutex);
    this->scheduler.set_remaining_use(id, expected, longest, this->clock->now());
}

void slot_service::release(const attempt_id& id, double used)
{
    owner_entry dropped; // Destroyed outside the lock: its end may call back.
    {
        const std::scoped_lock hold(this->mutex);
        const auto found = this->owners.find(id);
        if (found == this->owners.end())
        {
            return;
        }
        dropped = std::move(found->second);
        this->owners.erase(found);
        this->scheduler.release(id, used);
        this->wake();
    }
}

void slot_service::end(const attempt_id& id)
{
    std::shared_ptr<slot_owner> owner;
    {
        const std::scoped_lock hold(this->mutex);
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
        owner->on_slot(ended);
    }
}

void slot_service::drain()
{
    const std::scoped_lock hold(this->mutex);
    this->scheduler.drain();
    this->wake();
}

duration slot_service::retry_after() const
{
    const std::scoped_lock hold(this->mutex);
    return this->scheduler.retry_after(this->clock->now());
}

scheduler_load slot_service::load() const
{
    const std::scoped_lock hold(this->mutex);
    return this->scheduler.load();
}

/// The mutex is held.
void slot_service::wake()
{
    this->dirty = true;
    this->changed.notify_all();
}

void slot_service::run()
{
    std::unique_lock hold(this->mutex);
    while (!this->stopping)
    {
        this->dirty = false;
        const std::vector<slot_event> events =
            this->scheduler.advance(this->clock->now());
        std::vector<std::shared_ptr<slot_owner>> hearers;
        hearers.reserve(events.size());
        for (const slot_event& event : events)
        {
            hearers.push_back(this->owner_of(event));
        }
        hold.unlock();
        for (std::size_t index = 0; index < events.size(); ++index)
        {
            if (hearers[index])
            {
                hearers[index]->on_slot(events[index]);
            }
        }
        hearers.clear();
        hold.lock();
        const time_point now = this->clock->now();
        // An overdue moment still waits a little, so that no fault makes a busy loop.
        const duration rest = std::max<duration>(
            this->scheduler.next_wake_time(now) - now, std::chrono::milliseconds(1));
        this->changed.wait_for(hold, rest,
                               [this] { return this->dirty || this->stopping; });
    }
}

/// Finds an event's owner; from then on the owner's work keeps it. The mutex is held.
std::shared_ptr<slot_owner> slot_service::owner_of(const slot_event& event)
{
    const auto found = this->owners.find(event.id);
    if (found == this->owners.end())
    {
        return nullptr;
    }
    auto owner = found->second.owner.lock();
    found->second.kept.reset();
    const bool ended = event.kind == slot_event_kind::refused ||
                       event.kind == slot_event_kind::lease_expired;
    if (ended)
    {
        this->owners.erase(found);
    }
    return owner;
}

} // namespace agateseam

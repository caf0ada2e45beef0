/// Runs an agent's scheduler on a thread, makes it thread-safe and delivers its events to
/// the attempts.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <agateseam/agent_scheduler.hpp>

namespace agateseam
{

/// \brief An attempt that waits for a slot or holds one.
class slot_owner
{
  public:
    virtual ~slot_owner() = default;

    /// \brief Handles an event of the attempt's slot; usually called on the service's
    /// thread, and by `end` on the thread of its caller.
    virtual void on_slot_event(const slot_event& event) = 0;
};

/// \brief The scheduler of one agent; thread-safe.
///
/// The service keeps an owner alive from `submit` and from `start` until it delivers the
/// next event of the attempt's slot. At other times the calls that run for the owner keep
/// it alive.
class slot_service
{
  public:
    /// \param clock must outlive the service.
    [[nodiscard]] static result<std::unique_ptr<slot_service>>
    create(const scheduler_options& options, const clock_source& clock);

    ~slot_service();

    /// \brief Stops the delivery of events and drops the references to all owners.
    void stop();

    slot_service(const slot_service&) = delete;
    slot_service& operator=(const slot_service&) = delete;

    /// \brief Queues an attempt; fails as `agent_scheduler::submit` does.
    [[nodiscard]] result<duration> submit(const slot_request& request,
                                          std::shared_ptr<slot_owner> owner);

    /// \brief Requests the start after the preceding work is done; a `started` event
    /// follows.
    ///
    /// \returns whether the scheduler accepted the request.
    bool start(const attempt_id& id, std::shared_ptr<slot_owner> owner);

    /// \brief Renews a lease.
    /// \returns whether the lease had not expired.
    bool renew(const attempt_id& id);

    void set_remaining_use(const attempt_id& id, duration expected, duration longest);

    /// \brief Ends an attempt in any state; repeated calls have no effect.
    void release(const attempt_id& id, double used);

    /// \brief Sends a `lease_expired` event to an attempt's owner at once.
    void end(const attempt_id& id);

    /// \brief Stops accepting attempts and refuses those that wait.
    void drain();

    /// \brief Returns how long a client should wait before it asks again.
    [[nodiscard]] duration retry_after() const;
    [[nodiscard]] scheduler_load load() const;

  private:
    struct owner_entry
    {
        std::weak_ptr<slot_owner> owner;
        std::shared_ptr<slot_owner> keep_alive;
    };

    slot_service(agent_scheduler created, const clock_source& time);

    void run();
    void wake_worker();
    [[nodiscard]] std::shared_ptr<slot_owner> owner_of(const slot_event& event);

    const clock_source* clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    agent_scheduler scheduler;
    std::map<attempt_id, owner_entry> owners;
    bool wake_requested = false;
    bool stopping = false;
    std::thread worker;
};

} // namespace agateseam

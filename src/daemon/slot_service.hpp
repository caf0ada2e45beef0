/// Runs an agent's scheduler: a lock, a thread that wakes when something is due, and the
/// delivery of its events to the attempts.
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

    /// \brief Hears of its slot, on the service's thread.
    virtual void on_slot(const slot_event& event) = 0;
};

/// \brief The scheduler of one agent; safe from any thread.
///
/// An owner is kept alive while it waits, and from `start` until its slot is free. At
/// other times whatever works for it keeps it.
class slot_service
{
  public:
    /// \param clock must outlive the service.
    [[nodiscard]] static result<std::unique_ptr<slot_service>>
    create(const scheduler_options& options, const clock_source& clock);

    ~slot_service();

    /// \brief Delivers no more events and lets go of every owner.
    void stop();

    slot_service(const slot_service&) = delete;
    slot_service& operator=(const slot_service&) = delete;

    /// \brief Queues an attempt; errors as `agent_scheduler::submit`.
    [[nodiscard]] result<duration> submit(const slot_request& request,
                                          std::shared_ptr<slot_owner> owner);

    /// \brief Says that the lead work is done; `started` follows.
    bool start(const attempt_id& id, std::shared_ptr<slot_owner> owner);

    /// \brief Renews a lease.
    /// \returns whether it was still alive.
    bool renew(const attempt_id& id);

    void progress(const attempt_id& id, duration expected, duration longest);

    /// \brief Ends an attempt in any state; a repeat changes nothing.
    void release(const attempt_id& id, double used);

    /// \brief Tells an attempt's owner that its lease has ended.
    void end(const attempt_id& id);

    /// \brief Takes no more work and refuses what waits.
    void drain();

    /// \brief Returns how long a client should wait before it asks again.
    [[nodiscard]] duration retry_after() const;
    [[nodiscard]] scheduler_load load() const;

  private:
    struct owner_entry
    {
        std::weak_ptr<slot_owner> owner;
        std::shared_ptr<slot_owner> kept;
    };

    slot_service(agent_scheduler made, const clock_source& time);

    void run();
    void wake();
    [[nodiscard]] std::shared_ptr<slot_owner> owner_of(const slot_event& event);

    const clock_source* clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    agent_scheduler scheduler;
    std::map<attempt_id, owner_entry> owners;
    bool dirty = false;
    bool stopping = false;
    std::thread worker;
};

} // namespace agateseam

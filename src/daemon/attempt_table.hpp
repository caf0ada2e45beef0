/// Runs each attempt at most once, remembers what became of it, and keeps its lease.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief The outcome of an attempt, kept for a while after its end.
struct attempt_record
{
    bool ended = false;
    run_state run = run_state::unknown;
    time_point when; ///< Its begin or its lease's last renewal, then its end.
};

/// \brief The attempts that one agent has seen.
class attempt_table
{
  public:
    /// \returns whether the attempt is new.
    [[nodiscard]] bool begin(const attempt_id& id, time_point now);

    /// \brief Renews the lease of an attempt that has not ended.
    /// \returns whether the attempt is under way here.
    [[nodiscard]] bool renew(const attempt_id& id, time_point now);

    void end(const attempt_id& id, run_state run, time_point now);
    [[nodiscard]] result<attempt_record> find(const attempt_id& id) const;

    /// \brief Drops the attempts that ended before a time.
    void forget_before(time_point limit);

  private:
    mutable std::mutex mutex;
    std::map<attempt_id, attempt_record> records;
};

/// \brief A part of an agent's work that holds a lease.
class lease_holder
{
  public:
    virtual ~lease_holder() = default;

    /// \brief Called at each heartbeat.
    virtual void on_heartbeat() = 0;

    /// \brief Called when the relay has no more use for the work.
    virtual void on_end() = 0;
};

/// \brief The lease holders of one agent that are alive.
class lease_table
{
  public:
    /// \brief Calls the holder at each heartbeat until it is destroyed.
    void add(const attempt_id& id, std::weak_ptr<lease_holder> holder);

    void beat();

    /// \brief Ends one holder's work, if it is still there.
    void end(const attempt_id& id);

  private:
    std::mutex mutex;
    std::map<attempt_id, std::weak_ptr<lease_holder>> holders;
};

} // namespace agateseam

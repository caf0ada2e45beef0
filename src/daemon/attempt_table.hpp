/// Ensures that each attempt runs at most once, and keeps its outcome.
#pragma once

#include <map>
#include <mutex>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief The state of an attempt; it is kept for some time after the attempt's end.
struct attempt_record
{
    bool ended = false;
    run_state run = run_state::unknown;
    time_point updated_at; ///< Time of the begin, the last lease renewal or the end.
};

/// \brief The attempts that one agent has received.
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

    /// \brief Erases the attempts that ended before a time.
    void erase_ended_before(time_point limit);

  private:
    mutable std::mutex mutex;
    std::map<attempt_id, attempt_record> records;
};

} // namespace agateseam

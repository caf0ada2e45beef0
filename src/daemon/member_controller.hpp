/// Keeps the blackboard's members: the platform's list, and heartbeats of a bounded
/// subset of the agents.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Reads the list and asks the agents for their load on a thread of its own.
///
/// An agent that was heard lately, with an answer or a heartbeat, is not asked. One that
/// gives no answer is asked once more over a new connection before it counts as silent.
class member_controller
{
  public:
    explicit member_controller(entry_context& shared);
    ~member_controller();
    member_controller(const member_controller&) = delete;
    member_controller& operator=(const member_controller&) = delete;

  private:
    void run();
    void refresh_list();
    void take_list(const std::vector<vm_record>& listed);
    void ask_loads();
    [[nodiscard]] duration ask_interval(std::size_t agents) const;

    entry_context* context;
    time_point refresh_at;
    std::map<std::string, time_point> asked; ///< By VM: when it was asked last.
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; ///< Guarded by the mutex.
    std::thread worker;
};

} // namespace agateseam

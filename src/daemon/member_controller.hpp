/// Keeps the blackboard's members: the platform's list, and each agent's heartbeat.
#pragma once

#include <atomic>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Reads the list and asks the agents for their load on a thread of its own.
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
    void ask_loads();

    entry_context* context;
    std::atomic<bool> stopping{false};
    time_point asked; ///< When the agents were last asked.
    std::thread worker;
};

} // namespace agateseam

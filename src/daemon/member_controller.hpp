/// Keeps the blackboard's member list up to date from the platform's list of VMs and from
/// heartbeats of a bounded subset of the agents.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Reads the list of VMs and sends heartbeats to the agents on its own thread.
///
/// An agent whose load report arrived recently gets no heartbeat. An agent that does not
/// answer gets one probe over a new connection before it counts as silent.
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
    void publish_members(const std::vector<vm_record>& listed);
    void send_heartbeats();
    [[nodiscard]] duration heartbeat_interval(std::size_t agents) const;

    entry_context* context;
    time_point refresh_at;
    std::map<std::string, time_point> last_heartbeats; ///< By VM: when it was sent last.
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; ///< Guarded by the mutex.
    std::thread worker;
};

} // namespace agateseam

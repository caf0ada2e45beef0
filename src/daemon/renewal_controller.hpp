/// Renews the leases of an entry's attempts, with one call to each agent per round.
#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Renews leases on its own thread, until it is destroyed.
class renewal_controller
{
  public:
    explicit renewal_controller(entry_context& shared);
    ~renewal_controller();
    renewal_controller(const renewal_controller&) = delete;
    renewal_controller& operator=(const renewal_controller&) = delete;

  private:
    void run();
    void renew();

    entry_context* context;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread worker;
};

/// \brief Tells an agent that an attempt's outcome is no longer wanted.
void end_attempt_at_agent(entry_context& context, const std::string& address,
                          const attempt_id& id);

} // namespace agateseam

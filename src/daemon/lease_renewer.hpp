/// Renews, for an entry, the leases of the attempts that it relays.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <agateseam/request.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief Tells each agent once a second which of its attempts this entry still relays.
///
/// One call an agent carries all its attempts. An agent that is not told for the
/// lifetime of its leases ends them.
class lease_renewer
{
  public:
    /// \param shared must outlive `stop`.
    lease_renewer(http_client& shared, std::string secret);
    ~lease_renewer();
    lease_renewer(const lease_renewer&) = delete;
    lease_renewer& operator=(const lease_renewer&) = delete;

    /// \brief Begins to renew an attempt at an agent.
    /// \param address "IP:port".
    void add(const std::string& address, const attempt_id& id);

    /// \brief Renews it no longer.
    void remove(const std::string& address, const attempt_id& id);

    /// \brief Renews nothing any more.
    void stop();

  private:
    void run();
    void renew_all();

    http_client* client;
    std::string fleet_secret;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::string, std::set<attempt_id>> attempts; ///< By the agent's address.
    bool stopping = false;
    std::thread worker;
};

} // namespace agateseam

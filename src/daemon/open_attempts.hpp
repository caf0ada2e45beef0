/// The attempts of an entry that run at agents, for the renewal of their leases.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief The request that relays the answer of an attempt.
class attempt_owner
{
  public:
    virtual ~attempt_owner() = default;

    /// \brief Called when the agent is reachable but no longer runs the attempt.
    virtual void on_attempt_lost() = 0;
};

/// \brief The attempts in progress and the agents that run them; thread-safe.
class open_attempts
{
  public:
    void add(const std::string& address, const attempt_id& id,
             std::weak_ptr<attempt_owner> owner);
    void remove(const attempt_id& id);

    /// \brief Returns the attempts, grouped by the agent's address.
    [[nodiscard]] std::map<std::string, std::vector<attempt_id>> ids_by_address() const;

    /// \brief Applies an agent's reply to a lease renewal.
    ///
    /// An attempt counts as lost when two consecutive replies list it as unknown. One
    /// such reply is not enough: the order may not have reached the agent yet, or the end
    /// of the stream may still be on its way to the entry.
    ///
    /// \param requested the attempts whose leases were to be renewed.
    /// \param unknown those of them that the agent does not run.
    void apply_renewal_reply(const std::vector<attempt_id>& requested,
                             const std::vector<attempt_id>& unknown);

  private:
    struct open_attempt
    {
        std::string address;
        std::weak_ptr<attempt_owner> owner;
        unsigned unknown_replies = 0; ///< Consecutive replies that list it as unknown.
    };

    mutable std::mutex mutex;
    std::map<attempt_id, open_attempt> attempts;
};

} // namespace agateseam

/// The attempts that an entry has at agents, for the renewal of their leases.
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

/// \brief The relay of an attempt.
class attempt_owner
{
  public:
    virtual ~attempt_owner() = default;

    /// \brief The agent answers, and no longer runs the attempt.
    virtual void on_lost() = 0;
};

/// \brief Attempts under way, by the agent that runs them; safe from any thread.
class open_attempts
{
  public:
    void add(const std::string& address, const attempt_id& id,
             std::weak_ptr<attempt_owner> owner);
    void remove(const attempt_id& id);

    /// \brief Returns the attempts at each agent's address.
    [[nodiscard]] std::map<std::string, std::vector<attempt_id>> by_address() const;

    /// \brief Takes over an agent's answer to a renewal.
    ///
    /// An attempt that the agent does not know twice running is lost: the order may have
    /// been under way at the first answer, or the stream's end at either.
    ///
    /// \param asked what was to be renewed.
    /// \param unknown those of them that the agent does not run.
    void note_reply(const std::vector<attempt_id>& asked,
                    const std::vector<attempt_id>& unknown);

  private:
    struct open_attempt
    {
        std::string address;
        std::weak_ptr<attempt_owner> owner;
        unsigned unknown = 0; ///< Answers in a row that did not know it.
    };

    mutable std::mutex mutex;
    std::map<attempt_id, open_attempt> attempts;
};

} // namespace agateseam

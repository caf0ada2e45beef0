/// The interface that decides whether a workspace may spend tokens now.
#pragma once

#include <string_view>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief The outcome of a reservation, with the figures that a caller may be told.
struct admission_decision
{
    bool admitted = false;
    bool level_known = true; ///< When refused: whether the bucket's level was known. It
                             ///< is false when the workspace's home did not answer.
    duration retry_after{0}; ///< When refused: how long until it could be admitted.
    double limit = 0;        ///< The workspace's burst, in tokens.
    double remaining = 0;    ///< Tokens that this process could still admit at once.
};

/// \brief Keeps each workspace within its rate and burst.
///
/// A request reserves the most tokens that it may cost, counts them as delivered while
/// they are sent, and releases the rest. All calls are safe from any thread and take no
/// lock.
class admission
{
  public:
    virtual ~admission() = default;

    /// \brief Reserves tokens, or refuses.
    [[nodiscard]] virtual admission_decision reserve(std::string_view workspace,
                                                     double tokens) = 0;

    /// \brief Counts reserved tokens as delivered to the caller.
    virtual void deliver(std::string_view workspace, double tokens) = 0;

    /// \brief Gives reserved tokens back.
    virtual void release(std::string_view workspace, double tokens) = 0;
};

} // namespace agateseam

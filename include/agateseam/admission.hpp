/// Decides whether a workspace may spend tokens now.
#pragma once

#include <string_view>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief What was decided, and what a caller may be told of it.
struct admission_decision
{
    bool admitted = false;
    bool known = true;       ///< When refused: whether the allowance's level was known.
    duration retry_after{0}; ///< When refused: how long until it could be admitted.
    double limit = 0;        ///< The workspace's burst, in tokens.
    double remaining = 0;    ///< Tokens that this process could still admit at once.
};

/// \brief Keeps each workspace within its rate and burst.
///
/// A request reserves what it may cost, turns the reservation into delivery as tokens
/// pass, and releases what is left. All calls are safe from any thread and take no lock.
class admission
{
  public:
    virtual ~admission() = default;

    /// \brief Sets tokens aside, or refuses.
    [[nodiscard]] virtual admission_decision reserve(std::string_view workspace,
                                                     double tokens) = 0;

    /// \brief Counts reserved tokens as delivered to the caller.
    virtual void deliver(std::string_view workspace, double tokens) = 0;

    /// \brief Gives reserved tokens back.
    virtual void release(std::string_view workspace, double tokens) = 0;
};

} // namespace agateseam

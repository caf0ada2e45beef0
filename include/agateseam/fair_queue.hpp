/// Start-time fair queueing of attempts by tokens per workspace.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief Orders waiting attempts so that each workspace gets its weight's share.
///
/// Work-conserving: whoever waits is served, and a workspace that was idle saves nothing
/// up. Within one workspace the order is that of arrival.
///
/// \remarks Not safe from several threads.
class fair_queue
{
  public:
    /// \brief Adds an attempt.
    /// \param weight Share of the workspace against others, above 0.
    /// \param cost Tokens that it is charged when it is taken.
    void push(std::string_view workspace, double weight, double cost,
              const attempt_id& id);

    /// \brief Returns the next attempt without taking it; empty when none waits.
    [[nodiscard]] std::optional<attempt_id> front() const;

    /// \brief Takes the next attempt and charges its workspace.
    std::optional<attempt_id> pop();

    /// \brief Drops a waiting attempt, which is not charged.
    /// \returns whether it was waiting.
    bool remove(std::string_view workspace, const attempt_id& id);

    /// \brief Charges tokens beyond those of push, or returns them when negative.
    void settle(std::string_view workspace, double weight, double cost);

    /// \brief Returns all waiting attempts in the order in which they would be taken.
    [[nodiscard]] std::vector<attempt_id> order() const;

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting; }

  private:
    struct queued_item
    {
        attempt_id id;
        double charge = 0; ///< Tokens over weight.
    };

    struct flow
    {
        double start = 0; ///< Virtual time at which the next item may begin.
        std::deque<queued_item> items;
    };

    using flow_map = std::map<std::string, flow, std::less<>>;

    [[nodiscard]] flow_map::iterator next_flow();
    void forget_idle();

    flow_map flows;
    double virtual_time = 0;
    std::size_t waiting = 0;
    std::size_t sweep_at = 64; ///< Number of flows that triggers a sweep.
};

} // namespace agateseam

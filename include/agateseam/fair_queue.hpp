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

/// \brief Orders waiting attempts so that each workspace is served in proportion to its
/// weight.
///
/// The queue is work-conserving: it serves a waiting attempt whenever there is one, and a
/// workspace accumulates no credit while it is idle. Attempts of one workspace are served
/// in the order of their arrival.
///
/// \remarks Not safe from several threads.
class fair_queue
{
  public:
    /// \brief Adds an attempt.
    /// \param weight The workspace's share relative to other workspaces, above 0.
    /// \param cost Tokens that the workspace is charged when the attempt is taken.
    void push(std::string_view workspace, double weight, double cost,
              const attempt_id& id);

    /// \brief Returns the next attempt without taking it; empty when none waits.
    [[nodiscard]] std::optional<attempt_id> front() const;

    /// \brief Takes the next attempt and charges its workspace.
    std::optional<attempt_id> pop();

    /// \brief Removes a waiting attempt, which is not charged.
    /// \returns whether it was waiting.
    bool remove(std::string_view workspace, const attempt_id& id);

    /// \brief Charges a workspace more tokens than `push` said, or refunds tokens if the
    /// cost is negative.
    void adjust_charge(std::string_view workspace, double weight, double cost);

    /// \brief Returns all waiting attempts in the order in which they would be taken.
    [[nodiscard]] std::vector<attempt_id> service_order() const;

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting_count; }

  private:
    struct queued_attempt
    {
        attempt_id id;
        double charge = 0; ///< Tokens divided by the weight.
    };

    /// The attempts of one workspace.
    struct flow
    {
        double start = 0; ///< Virtual start time of the next attempt.
        std::deque<queued_attempt> attempts;
    };

    using flow_map = std::map<std::string, flow, std::less<>>;

    [[nodiscard]] flow_map::iterator next_flow();
    void remove_idle_flows();

    flow_map flows;
    double virtual_time = 0;
    std::size_t waiting_count = 0;
    std::size_t cleanup_threshold = 64; ///< Flows at which idle ones are removed.
};

} // namespace agateseam

/// A token bucket that limits all entries together; each entry keeps a copy of it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Refill rate and capacity of a fleet-wide bucket.
struct bucket_limits
{
    double refill_per_second = 0;
    double burst = 0; ///< Capacity.
};

/// \brief How many entries exist, and how many of them this entry can reach now.
struct fleet_view
{
    std::uint32_t known_entries = 1;     ///< Includes this entry.
    std::uint32_t reachable_entries = 1; ///< Heard from recently; includes this entry.

    /// \brief Returns the fraction of a limit that the reachable entries may spend
    /// together.
    [[nodiscard]] double reachable_fraction() const noexcept
    {
        return this->known_entries == 0 ? 1.0
                                        : static_cast<double>(this->reachable_entries) /
                                              static_cast<double>(this->known_entries);
    }
};

/// \brief One entry's copy of a token bucket that all entries spend from.
///
/// The bucket is built for this load: one workspace sends several times its rate, spread
/// unevenly over the entries, while entries are killed, partitioned and come back. Each
/// entry charges its own requests at once, and those of the other entries when their
/// running totals arrive some ten milliseconds later. An unreachable entry is assumed to
/// spend an equal part of the rate, and an entry that reaches no other entry spends no
/// more than that part. So the parts of a partitioned fleet never add up to more than the
/// whole limit.
///
/// An entry that was unreachable tells on its return what it spent meanwhile. That is
/// charged as far as it is more than what this copy passed up for it: entries notice a
/// partition late, and until then each part spends as the whole.
///
/// A new copy starts at `initial_level`, its part of a configured reserve, because the
/// entry's previous process may have emptied the bucket. It is raised to the level of
/// another entry as soon as that level is known.
class fleet_bucket
{
  public:
    fleet_bucket(bucket_limits initial_limits, double initial_level, time_point now);

    /// \brief Sets new limits, which doesn't raise the level.
    void set_limits(bucket_limits new_limits, time_point now);

    /// \brief Sets the fraction of the limits that this copy may use from now on.
    void set_view(fleet_view view, time_point now);

    /// \brief Sets the fraction and, in a partitioned fleet, gives up what is above this
    /// part's share of the capacity.
    void limit_to(fleet_view view, time_point now);

    /// \brief Takes `amount` if the level suffices.
    /// \returns whether it was taken.
    [[nodiscard]] bool try_take(double amount, fleet_view view, time_point now);

    /// \brief Takes an amount whatever the level, which may become negative.
    void take(double amount, time_point now);

    /// \brief Adds an amount that was taken and not used, or that was earned.
    void credit(double amount, time_point now);

    /// \brief Charges an amount that another entry spent.
    void charge_peer_spending(double amount, time_point now);

    /// \brief Charges an amount that another entry spent while it was unreachable, less
    /// what this copy passed up meanwhile.
    void charge_unseen_spending(double amount, time_point now);

    /// \brief Raises the level of a new copy to that of another entry's copy.
    void raise_to(double peer_level, time_point now);

    /// \brief Returns how long until `amount` can be taken if nobody else takes any.
    [[nodiscard]] duration time_until_available(double amount, fleet_view view,
                                                time_point now);

    [[nodiscard]] double level(time_point now);
    /// \brief Returns what this process took, less what it was credited.
    [[nodiscard]] double net_spent() const noexcept { return this->net_spending; }
    [[nodiscard]] const bucket_limits& limits() const noexcept
    {
        return this->current_limits;
    }

  private:
    void refill(time_point now);

    bucket_limits current_limits;
    double current_level; ///< As of `refilled_at`; below 0 after overspending.
    double net_spending = 0;
    double refill_fraction = 1; ///< Fraction of the limits that this copy may use.
    /// Passed up for unreachable entries since the fleet was last whole.
    double withheld = 0;
    time_point refilled_at;
};

} // namespace agateseam

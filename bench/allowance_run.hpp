/// Runs one scenario under one policy against the same trace as an omniscient bucket.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <bench/allowance_fleet.hpp>

namespace agateseam::bench
{

/// \brief What goes on during a run.
enum class share_scenario : std::uint8_t
{
    steady,
    demand_shift, ///< Each workspace's demand moves to other entries every 10 s.
    tenant_flood, ///< One workspace asks for 5 times its rate.
    entry_lost,   ///< The home of a large workspace dies.
    entry_paused, ///< The home of a large workspace stops for 30 s and goes on.
    partition,    ///< A third of the entries cannot reach the others for 30 s.
    store_outage, ///< The platform's API is down for 60 s, and demand shifts.
    lost_answers  ///< Writes' answers are lost, and the home of a workspace dies.
};

/// All scenarios, in the order in which they run.
inline constexpr std::array all_share_scenarios{
    share_scenario::steady,       share_scenario::demand_shift,
    share_scenario::tenant_flood, share_scenario::entry_lost,
    share_scenario::entry_paused, share_scenario::partition,
    share_scenario::store_outage, share_scenario::lost_answers};

[[nodiscard]] std::string_view to_string(share_scenario scenario) noexcept;

/// \brief What a run came to.
struct share_figures
{
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t refused_by_omniscient = 0;
    std::size_t wrongful = 0; ///< Refused, though the omniscient bucket admitted them.
    std::size_t lost = 0;     ///< Their entry died, or cut them.
    double overshoot = 0;     ///< Tokens past rate * window + burst, the worst window.
    double stranded = 0;      ///< Share-seconds out of use.
    double messages = 0;      ///< Per second and entry.
    double store_calls = 0;   ///< Per second, of the whole fleet.

    /// \brief Returns wrongful refusals over requests.
    [[nodiscard]] double wrongful_share() const noexcept;
};

[[nodiscard]] share_figures run_shares(share_scenario scenario, share_policy policy,
                                       std::uint64_t seed);

} // namespace agateseam::bench

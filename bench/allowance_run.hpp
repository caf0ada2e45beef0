/// Runs one scenario under one policy and compares it with an omniscient bucket, a single
/// bucket that sees all requests of the same trace at once.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <bench/allowance_fleet.hpp>

namespace agateseam::bench
{

/// \brief The demand pattern or fault of a run.
enum class share_scenario : std::uint8_t
{
    steady,
    demand_shift, ///< Each workspace's demand moves to other entries every 10 s.
    tenant_flood, ///< One workspace asks for 5 times its rate.
    entry_lost,   ///< The home of a large workspace dies.
    entry_paused, ///< The home of a large workspace stops for 30 s and goes on.
    partition,    ///< A third of the entries cannot reach the others for 30 s.
    store_outage, ///< The platform's API is down for 60 s, and demand shifts.
    lost_answers  ///< Answers to store writes are lost; a large workspace's home dies.
};

/// All scenarios, in the order in which they run.
inline constexpr std::array all_share_scenarios{
    share_scenario::steady,       share_scenario::demand_shift,
    share_scenario::tenant_flood, share_scenario::entry_lost,
    share_scenario::entry_paused, share_scenario::partition,
    share_scenario::store_outage, share_scenario::lost_answers};

[[nodiscard]] std::string_view to_string(share_scenario scenario) noexcept;

/// \brief The measured results of a run.
struct share_figures
{
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t refused_by_omniscient = 0;
    std::size_t wrongful = 0; ///< Refused although the omniscient bucket admitted them.
    std::size_t lost = 0;     ///< Got no decision, for instance because their entry died.
    /// Tokens delivered beyond rate * window + burst in the worst window.
    double overshoot_tokens = 0;
    /// Sum over workspaces of the share that nobody could grant, times seconds.
    double stranded_share_seconds = 0;
    double messages_per_entry_second = 0;
    double store_calls_per_second = 0; ///< Of the whole fleet.

    /// \brief Returns wrongful refusals over requests.
    [[nodiscard]] double wrongful_share() const noexcept;
};

/// \brief Runs one scenario under one policy; equal seeds make equal runs.
[[nodiscard]] share_figures run_share_scenario(share_scenario scenario,
                                               share_policy policy, std::uint64_t seed);

} // namespace agateseam::bench

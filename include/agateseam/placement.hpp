/// Chooses the prefill and the decode agent of a request.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <agateseam/configuration.hpp>
#include <agateseam/member.hpp>

namespace agateseam
{

/// \brief The facts about a request that placement uses.
struct placement_request
{
    std::string_view pool;
    std::string_view workspace;
    std::string_view failure_domain; ///< Of the entry.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::span<const std::uint64_t>
        block_hashes;                          ///< Chained hashes of the prompt's blocks.
    std::span<const std::string> excluded_vms; ///< VMs that already refused or failed.
};

/// \brief The agents chosen; shared with the member list.
struct placement_choice
{
    std::shared_ptr<member> prefill;
    std::shared_ptr<member> decode;
};

/// \brief A placement policy; thread-safe.
class placement
{
  public:
    virtual ~placement() = default;

    /// \brief Chooses a prefill and a decode agent of a pool.
    /// \returns `exhausted` when no agent can take the request.
    [[nodiscard]] virtual result<placement_choice>
    choose(const placement_request& request, const member_list& members,
           const policy_config& policy) = 0;

    /// \brief Chooses the agent of a plain service.
    [[nodiscard]] virtual result<std::shared_ptr<member>>
    choose_service(const placement_request& request, const member_list& members) = 0;
};

/// \brief Makes a placement policy that chooses the least loaded of all usable agents.
[[nodiscard]] std::unique_ptr<placement> make_least_load_placement();

/// \brief Makes a placement policy that compares a few sampled agents by their queued
/// work, the prefill that their caches save and transfers between failure domains; the
/// policy configuration holds the weights.
/// \param seed Of the sampling; it should differ between processes.
[[nodiscard]] std::unique_ptr<placement> make_weighted_placement(std::uint64_t seed);

/// \brief Returns weights that favour goodput and the worst-served workspace: load counts
/// more than saved prefill.
[[nodiscard]] policy_config load_first_policy();

/// \brief Returns weights for long shared prompts: saved prefill counts more than load.
[[nodiscard]] policy_config cache_first_policy();

} // namespace agateseam

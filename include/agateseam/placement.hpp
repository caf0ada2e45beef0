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

/// \brief What placement knows of a request.
struct placement_request
{
    std::string_view pool;
    std::string_view workspace;
    std::string_view failure_domain; ///< Of the entry.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::span<const std::uint64_t> blocks; ///< Chained hashes of the prompt's blocks.
    std::span<const std::string> excluded; ///< VMs that already refused or failed.
};

/// \brief The agents chosen; shared with the member list.
struct placement_choice
{
    std::shared_ptr<member> prefill;
    std::shared_ptr<member> decode;
};

/// \brief A placement policy; safe from any thread.
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

/// \brief Makes the placement by least load over the agents that are usable.
[[nodiscard]] std::unique_ptr<placement> make_least_load_placement();

/// \brief Makes the placement that compares a few sampled agents by waiting, prefill
/// saved by the cache and transfer across failure domains, as the policy weighs them.
/// \param seed Of the samples; processes should differ.
[[nodiscard]] std::unique_ptr<placement> make_weighted_placement(std::uint64_t seed);

/// \brief Returns the weights for goodput and the worst-served workspace first: waiting
/// counts more than prefill saved.
[[nodiscard]] policy_config kalahari_policy();

/// \brief Returns the weights for long shared prompts: prefill saved counts more than
/// waiting.
[[nodiscard]] policy_config kessler_policy();

} // namespace agateseam

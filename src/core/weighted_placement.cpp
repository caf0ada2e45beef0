#include <agateseam/placement.hpp>

#include <algorithm>
#include <array>
#include <atomic>

#include <pcg_random.hpp>

namespace agateseam
{

namespace
{

/// Agents of a kind that are compared at most.
constexpr std::size_t max_candidates = 6;
/// Candidates that are chosen by the hash of the prompt's prefix at most.
constexpr std::size_t max_prefix_candidates = 2;
/// Random draws after which, if no candidate was found, all agents are searched.
constexpr std::size_t max_draws = 48;
/// Tokens in one block of the prompt.
constexpr double tokens_per_block = 1'000;
/// Cost in seconds of a full agent compared with an idle one.
constexpr double utilization_cost_s = 0.02;
/// Cost in seconds added when no slot is expected to be free.
constexpr double no_free_slot_cost_s = 0.2;
/// Prompt tokens per second of an agent that has reported no rate.
constexpr double default_prefill_rate = 20'000;
/// Tokens per second that are transferred between failure domains.
constexpr double cross_domain_transfer_rate = 100'000;

bool is_candidate(const member& agent, const placement_request& request,
                  backend_kind kind)
{
    return agent.usable() && agent.kind == kind && agent.pool == request.pool &&
           std::find(request.excluded_vms.begin(), request.excluded_vms.end(),
                     agent.vm) == request.excluded_vms.end();
}

/// Maps a hash to one of `size` buckets by jump consistent hashing: when the number of
/// buckets grows, few hashes move to another bucket.
std::size_t jump_consistent_hash(std::uint64_t hash, std::size_t size)
{
    std::int64_t bucket = 0;
    std::int64_t next_bucket = 0;
    while (next_bucket < static_cast<std::int64_t>(size))
    {
        bucket = next_bucket;
        hash = hash * 2862933555777941757ULL + 1;
        next_bucket = static_cast<std::int64_t>(
            static_cast<double>(bucket + 1) *
            (static_cast<double>(1LL << 31U) / static_cast<double>((hash >> 33U) + 1)));
    }
    return static_cast<std::size_t>(bucket);
}

/// The agents of one kind that are compared, each with its estimated cost in seconds.
struct candidate_set
{
    struct candidate
    {
        const std::shared_ptr<member>* agent = nullptr;
        double cost = 0;
    };

    std::array<candidate, max_candidates> items{};
    std::size_t count = 0;

    void add(const std::shared_ptr<member>& agent)
    {
        for (std::size_t index = 0; index < this->count; ++index)
        {
            if (this->items[index].agent == &agent)
            {
                return;
            }
        }
        this->items[this->count++] = {&agent, 0};
    }
};

class weighted_placement final : public placement
{
  public:
    explicit weighted_placement(std::uint64_t sampling_seed)
        : seed(sampling_seed)
    {
    }

    [[nodiscard]] result<placement_choice> choose(const placement_request& request,
                                                  const member_list& members,
                                                  const policy_config& policy) override
    {
        pcg32 random(this->seed,
                     this->call_count.fetch_add(1, std::memory_order_relaxed));
        auto decode_candidates = sample(request, members, backend_kind::decode, random);
        auto prefill_candidates = sample(request, members, backend_kind::prefill, random);
        if (decode_candidates.count == 0 || prefill_candidates.count == 0)
        {
            return fail(error_code::exhausted, "place", "",
                        "no agent can take the request");
        }
        set_decode_costs(decode_candidates, request, policy);
        set_prefill_costs(prefill_candidates, request, policy);
        const placement_choice choice =
            cheapest_pair(prefill_candidates, decode_candidates, request, policy);
        choice.decode->sent_since_report.fetch_add(1, std::memory_order_relaxed);
        choice.prefill->sent_tokens_since_report.fetch_add(request.prompt_tokens,
                                                           std::memory_order_relaxed);
        return choice;
    }

    [[nodiscard]] result<std::shared_ptr<member>>
    choose_service(const placement_request& request, const member_list& members) override
    {
        pcg32 random(this->seed,
                     this->call_count.fetch_add(1, std::memory_order_relaxed));
        const auto candidates = sample(request, members, backend_kind::service, random);
        const std::shared_ptr<member>* best = nullptr;
        for (std::size_t index = 0; index < candidates.count; ++index)
        {
            const auto* agent = candidates.items[index].agent;
            best =
                best == nullptr || assigned_requests(**agent) < assigned_requests(**best)
                    ? agent
                    : best;
        }
        if (best == nullptr)
        {
            return fail(error_code::exhausted, "place", "",
                        "no agent can take the request");
        }
        (*best)->sent_since_report.fetch_add(1, std::memory_order_relaxed);
        return *best;
    }

  private:
    [[nodiscard]] static std::uint32_t assigned_requests(const member& agent) noexcept
    {
        return agent.used + agent.queued + agent.sent_since_report;
    }

    /// Collects candidates: first the agents that the prompt's prefix hashes to, then
    /// random ones.
    [[nodiscard]] static candidate_set sample(const placement_request& request,
                                              const member_list& members,
                                              backend_kind kind, pcg32& random)
    {
        candidate_set candidates;
        const auto& agents = members.all;
        if (agents.size() <= max_candidates)
        {
            add_all_candidates(request, agents, kind, candidates);
            return candidates;
        }
        if (kind == backend_kind::prefill && !request.block_hashes.empty())
        {
            add_prefix_candidates(request, agents, request.block_hashes.front(),
                                  candidates);
            add_prefix_candidates(request, agents, request.block_hashes.back(),
                                  candidates);
        }
        for (std::size_t draw = 0; draw < max_draws && candidates.count < max_candidates;
             ++draw)
        {
            const auto& agent = agents[random(static_cast<std::uint32_t>(agents.size()))];
            if (is_candidate(*agent, request, kind))
            {
                candidates.add(agent);
            }
        }
        if (candidates.count == 0)
        {
            add_all_candidates(request, agents, kind, candidates);
        }
        return candidates;
    }

    static void add_all_candidates(const placement_request& request,
                                   const std::vector<std::shared_ptr<member>>& agents,
                                   backend_kind kind, candidate_set& candidates)
    {
        for (const auto& agent : agents)
        {
            if (candidates.count < max_candidates && is_candidate(*agent, request, kind))
            {
                candidates.add(agent);
            }
        }
    }

    /// Adds the first candidates in the list, beginning at the position that the hash
    /// maps to.
    static void add_prefix_candidates(const placement_request& request,
                                      const std::vector<std::shared_ptr<member>>& agents,
                                      std::uint64_t hash, candidate_set& candidates)
    {
        const std::size_t start = jump_consistent_hash(hash, agents.size());
        const std::size_t wanted_count = candidates.count + max_prefix_candidates / 2;
        for (std::size_t offset = 0; offset < agents.size() && offset < max_draws;
             ++offset)
        {
            const auto& agent = agents[(start + offset) % agents.size()];
            if (is_candidate(*agent, request, backend_kind::prefill))
            {
                candidates.add(agent);
                if (candidates.count >= wanted_count)
                {
                    return;
                }
            }
        }
    }

    static void set_decode_costs(candidate_set& decode_candidates,
                                 const placement_request& request,
                                 const policy_config& policy)
    {
        for (std::size_t index = 0; index < decode_candidates.count; ++index)
        {
            const member& agent = **decode_candidates.items[index].agent;
            const double slots = std::max<std::uint32_t>(1, agent.slots);
            const double assigned = assigned_requests(agent);
            const double time_per_freed_slot_s =
                request.output_tokens * policy.token_gap_limit / slots;
            const double requests_over_slots = std::max(0.0, assigned + 1 - slots);
            decode_candidates.items[index].cost =
                policy.load_weight *
                (utilization_cost_s * assigned / slots +
                 requests_over_slots * time_per_freed_slot_s +
                 (requests_over_slots > 0 ? no_free_slot_cost_s : 0));
        }
    }

    static void set_prefill_costs(candidate_set& prefill_candidates,
                                  const placement_request& request,
                                  const policy_config& policy)
    {
        for (std::size_t index = 0; index < prefill_candidates.count; ++index)
        {
            const member& agent = **prefill_candidates.items[index].agent;
            const double reported_rate = agent.tokens_per_second;
            const double rate = reported_rate > 0 ? reported_rate : default_prefill_rate;
            const double waiting_tokens =
                static_cast<double>(agent.queued_tokens + agent.sent_tokens_since_report);
            const double saved_tokens =
                std::min<double>(request.prompt_tokens, cached_tokens(agent, request));
            prefill_candidates.items[index].cost =
                policy.load_weight * waiting_tokens / rate -
                policy.cache_weight * saved_tokens / rate;
        }
    }

    [[nodiscard]] static double cached_tokens(const member& agent,
                                              const placement_request& request)
    {
        if (request.block_hashes.empty())
        {
            return 0;
        }
        const auto digest = agent.cache.read();
        return digest ? tokens_per_block *
                            static_cast<double>(
                                digest->matching_prefix_length(request.block_hashes))
                      : 0;
    }

    [[nodiscard]] static placement_choice
    cheapest_pair(const candidate_set& prefill_candidates,
                  const candidate_set& decode_candidates,
                  const placement_request& request, const policy_config& policy)
    {
        const double cross_domain_cost =
            policy.domain_weight * request.prompt_tokens / cross_domain_transfer_rate;
        const std::shared_ptr<member>* best_prefill = nullptr;
        const std::shared_ptr<member>* best_decode = nullptr;
        double lowest_cost = 0;
        for (std::size_t prefill_index = 0; prefill_index < prefill_candidates.count;
             ++prefill_index)
        {
            const auto& prefill = prefill_candidates.items[prefill_index];
            for (std::size_t decode_index = 0; decode_index < decode_candidates.count;
                 ++decode_index)
            {
                const auto& decode = decode_candidates.items[decode_index];
                const bool is_cross_domain =
                    (*prefill.agent)->failure_domain != (*decode.agent)->failure_domain;
                const double cost = prefill.cost + decode.cost +
                                    (is_cross_domain ? cross_domain_cost : 0);
                if (best_prefill == nullptr || cost < lowest_cost)
                {
                    lowest_cost = cost;
                    best_prefill = prefill.agent;
                    best_decode = decode.agent;
                }
            }
        }
        return {*best_prefill, *best_decode};
    }

    std::uint64_t seed;
    std::atomic<std::uint64_t> call_count{0};
};

} // namespace

std::unique_ptr<placement> make_weighted_placement(std::uint64_t seed)
{
    return std::make_unique<weighted_placement>(seed);
}

policy_config load_first_policy()
{
    policy_config policy;
    policy.load_weight = 1.5;
    return policy;
}

policy_config cache_first_policy()
{
    policy_config policy;
    policy.cache_weight = 1.5;
    return policy;
}

} // namespace agateseam

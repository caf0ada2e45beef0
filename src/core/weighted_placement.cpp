#include <agateseam/placement.hpp>

#include <algorithm>
#include <array>
#include <atomic>

#include <pcg_random.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t samples = 6;        // agents of a kind that are compared
constexpr std::size_t homes = 2;          // of them by the prompt's prefix
constexpr std::size_t draws = 48;         // before all agents are looked through
constexpr double block_tokens = 1'000;    // of a block of the prompt
constexpr double idle_gradient = 0.02;    // seconds from an idle agent to a full one
constexpr double full_penalty = 0.2;      // seconds, once no slot is thought to be free
constexpr double default_rate = 20'000;   // prompt tokens per second
constexpr double transfer_rate = 100'000; // tokens per second across failure domains

bool is_candidate(const member& agent, const placement_request& request,
                  backend_kind kind)
{
    return agent.usable() && agent.kind == kind && agent.pool == request.pool &&
           std::find(request.excluded.begin(), request.excluded.end(), agent.vm) ==
               request.excluded.end();
}

/// Maps a hash to a place in a list so that few places move when the list grows.
std::size_t consistent_place(std::uint64_t hash, std::size_t size)
{
    std::int64_t place = 0;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(size))
    {
        place = next;
        hash = hash * 2862933555777941757ULL + 1;
        next = static_cast<std::int64_t>(
            static_cast<double>(place + 1) *
            (static_cast<double>(1LL << 31U) / static_cast<double>((hash >> 33U) + 1)));
    }
    return static_cast<std::size_t>(place);
}

/// The agents of one kind that are compared, each with its cost in seconds.
struct candidate_set
{
    struct candidate
    {
        const std::shared_ptr<member>* agent = nullptr;
        double cost = 0;
    };

    std::array<candidate, samples> items{};
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
    explicit weighted_placement(std::uint64_t chosen)
        : seed(chosen)
    {
    }

    [[nodiscard]] result<placement_choice> choose(const placement_request& request,
                                                  const member_list& members,
                                                  const policy_config& policy) override
    {
        pcg32 random(this->seed, this->calls.fetch_add(1, std::memory_order_relaxed));
        auto decodes = sample(request, members, backend_kind::decode, random);
        auto prefills = sample(request, members, backend_kind::prefill, random);
        if (decodes.count == 0 || prefills.count == 0)
        {
            return fail(error_code::exhausted, "place", "",
                        "no agent can take the request");
        }
        rate_decodes(decodes, request, policy);
        rate_prefills(prefills, request, policy);
        const placement_choice choice = cheapest_pair(prefills, decodes, request, policy);
        choice.decode->sent_since_report.fetch_add(1, std::memory_order_relaxed);
        choice.prefill->sent_tokens_since_report.fetch_add(request.prompt_tokens,
                                                           std::memory_order_relaxed);
        return choice;
    }

    [[nodiscard]] result<std::shared_ptr<member>>
    choose_service(const placement_request& request, const member_list& members) override
    {
        pcg32 random(this->seed, this->calls.fetch_add(1, std::memory_order_relaxed));
        const auto found = sample(request, members, backend_kind::service, random);
        const std::shared_ptr<member>* best = nullptr;
        for (std::size_t index = 0; index < found.count; ++index)
        {
            const auto* agent = found.items[index].agent;
            best = best == nullptr || held(**agent) < held(**best) ? agent : best;
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
    [[nodiscard]] static std::uint32_t held(const member& agent) noexcept
    {
        return agent.used + agent.queued + agent.sent_since_report;
    }

    /// Takes the homes of the prompt's prefix, then agents at random.
    [[nodiscard]] static candidate_set sample(const placement_request& request,
                                              const member_list& members,
                                              backend_kind kind, pcg32& random)
    {
        candidate_set found;
        const auto& all = members.all;
        if (all.size() <= samples)
        {
            take_all(request, all, kind, found);
            return found;
        }
        if (kind == backend_kind::prefill && !request.blocks.empty())
        {
            add_home(request, all, request.blocks.front(), found);
            add_home(request, all, request.blocks.back(), found);
        }
        for (std::size_t draw = 0; draw < draws && found.count < samples; ++draw)
        {
            const auto& agent = all[random(static_cast<std::uint32_t>(all.size()))];
            if (is_candidate(*agent, request, kind))
            {
                found.add(agent);
            }
        }
        if (found.count == 0)
        {
            take_all(request, all, kind, found);
        }
        return found;
    }

    static void take_all(const placement_request& request,
                         const std::vector<std::shared_ptr<member>>& all,
                         backend_kind kind, candidate_set& found)
    {
        for (const auto& agent : all)
        {
            if (found.count < samples && is_candidate(*agent, request, kind))
            {
                found.add(agent);
            }
        }
    }

    /// Adds the first candidates from a hash's place in the list on.
    static void add_home(const placement_request& request,
                         const std::vector<std::shared_ptr<member>>& all,
                         std::uint64_t hash, candidate_set& found)
    {
        const std::size_t place = consistent_place(hash, all.size());
        const std::size_t wanted = found.count + homes / 2;
        for (std::size_t step = 0; step < all.size() && step < draws; ++step)
        {
            const auto& agent = all[(place + step) % all.size()];
            if (is_candidate(*agent, request, backend_kind::prefill))
            {
                found.add(agent);
                if (found.count >= wanted)
                {
                    return;
                }
            }
        }
    }

    static void rate_decodes(candidate_set& decodes, const placement_request& request,
                             const policy_config& policy)
    {
        for (std::size_t index = 0; index < decodes.count; ++index)
        {
            const member& agent = **decodes.items[index].agent;
            const double slots = std::max<std::uint32_t>(1, agent.slots);
            const double used = held(agent);
            const double turn = request.output_tokens * policy.token_gap_limit / slots;
            const double over = std::max(0.0, used + 1 - slots);
            decodes.items[index].cost =
                policy.load_weight * (idle_gradient * used / slots + over * turn +
                                      (over > 0 ? full_penalty : 0));
        }
    }

    static void rate_prefills(candidate_set& prefills, const placement_request& request,
                              const policy_config& policy)
    {
        for (std::size_t index = 0; index < prefills.count; ++index)
        {
            const member& agent = **prefills.items[index].agent;
            const double known = agent.tokens_per_second;
            const double rate = known > 0 ? known : default_rate;
            const double waiting =
                static_cast<double>(agent.queued_tokens + agent.sent_tokens_since_report);
            const double saved =
                std::min<double>(request.prompt_tokens, cached_tokens(agent, request));
            prefills.items[index].cost =
                policy.load_weight * waiting / rate - policy.cache_weight * saved / rate;
        }
    }

    [[nodiscard]] static double cached_tokens(const member& agent,
                                              const placement_request& request)
    {
        if (request.blocks.empty())
        {
            return 0;
        }
        const auto digest = agent.cache.read();
        return digest ? block_tokens *
                            static_cast<double>(digest->matching_prefix(request.blocks))
                      : 0;
    }

    [[nodiscard]] static placement_choice cheapest_pair(const candidate_set& prefills,
                                                        const candidate_set& decodes,
                                                        const placement_request& request,
                                                        const policy_config& policy)
    {
        const double crossing =
            policy.domain_weight * request.prompt_tokens / transfer_rate;
        const std::shared_ptr<member>* best_prefill = nullptr;
        const std::shared_ptr<member>* best_decode = nullptr;
        double best = 0;
        for (std::size_t first = 0; first < prefills.count; ++first)
        {
            const auto& prefill = prefills.items[first];
            for (std::size_t second = 0; second < decodes.count; ++second)
            {
                const auto& decode = decodes.items[second];
                const bool crosses =
                    (*prefill.agent)->failure_domain != (*decode.agent)->failure_domain;
                const double cost = prefill.cost + decode.cost + (crosses ? crossing : 0);
                if (best_prefill == nullptr || cost < best)
                {
                    best = cost;
                    best_prefill = prefill.agent;
                    best_decode = decode.agent;
                }
            }
        }
        return {*best_prefill, *best_decode};
    }

    std::uint64_t seed;
    std::atomic<std::uint64_t> calls{0};
};

} // namespace

std::unique_ptr<placement> make_weighted_placement(std::uint64_t seed)
{
    return std::make_unique<weighted_placement>(seed);
}

policy_config kalahari_policy()
{
    policy_config policy;
    policy.load_weight = 1.5;
    return policy;
}

policy_config kessler_policy()
{
    policy_config policy;
    policy.cache_weight = 1.5;
    return policy;
}

} // namespace agateseam

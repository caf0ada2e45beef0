#include <agateseam/member_selection.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace agateseam
{

namespace
{

struct candidate
{
    std::uint64_t hash = 0;
    std::size_t index = 0;

    friend bool operator<(const candidate& left, const candidate& right) noexcept
    {
        return std::tie(left.hash, left.index) < std::tie(right.hash, right.index);
    }
};

/// Candidates of one failure domain, in ascending order of their hashes.
using ranked_candidates = std::vector<candidate>;

std::uint64_t rendezvous_hash(std::string_view own_vm, std::string_view agent_vm)
{
    std::string text(own_vm);
    text += '\n';
    text += agent_vm;
    return XXH3_64bits(text.data(), text.size());
}

std::map<std::string_view, ranked_candidates>
rank_agents_by_domain(std::span<const vm_record> vms, std::string_view own_vm)
{
    std::map<std::string_view, ranked_candidates> domains;
    for (std::size_t index = 0; index < vms.size(); ++index)
    {
        if (vms[index].role == "agent")
        {
            domains[vms[index].failure_domain].push_back(
                {rendezvous_hash(own_vm, vms[index].name), index});
        }
    }
    for (auto& [name, ranked] : domains)
    {
        std::sort(ranked.begin(), ranked.end());
    }
    return domains;
}

/// Moves up to `count` candidates from the front of a domain to `chosen`, which may hold
/// up to `limit`.
void choose_first(ranked_candidates& domain, std::size_t count, std::size_t limit,
                  std::vector<std::size_t>& chosen)
{
    const std::size_t free_places = limit - std::min(limit, chosen.size());
    const std::size_t moved = std::min({count, free_places, domain.size()});
    const auto end = domain.begin() + static_cast<std::ptrdiff_t>(moved);
    std::transform(domain.begin(), end, std::back_inserter(chosen),
                   [](const candidate& item) { return item.index; });
    domain.erase(domain.begin(), end);
}

} // namespace

std::vector<std::size_t> select_members(std::span<const vm_record> vms,
                                        std::string_view own_vm,
                                        std::string_view own_domain, std::size_t limit)
{
    auto domains = rank_agents_by_domain(vms, own_vm);
    ranked_candidates own = std::move(domains[own_domain]);
    domains.erase(own_domain);
    std::vector<std::size_t> chosen;
    choose_first(own, (limit + 1) / 2, limit, chosen);
    for (std::size_t size_before_pass = chosen.size() + 1;
         size_before_pass != chosen.size() && chosen.size() < limit;)
    {
        size_before_pass = chosen.size();
        for (auto& [name, ranked] : domains)
        {
            choose_first(ranked, 1, limit, chosen);
        }
    }
    choose_first(own, own.size(), limit, chosen);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace agateseam

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

/// Candidates of one failure domain, the most wanted first.
using ranked_domain = std::vector<candidate>;

std::uint64_t hash_pair(std::string_view own_vm, std::string_view agent_vm)
{
    std::string text(own_vm);
    text += '\n';
    text += agent_vm;
    return XXH3_64bits(text.data(), text.size());
}

std::map<std::string_view, ranked_domain> rank(std::span<const vm_record> vms,
                                               std::string_view own_vm)
{
    std::map<std::string_view, ranked_domain> domains;
    for (std::size_t index = 0; index < vms.size(); ++index)
    {
        if (vms[index].role == "agent")
        {
            domains[vms[index].failure_domain].push_back(
                {hash_pair(own_vm, vms[index].name), index});
        }
    }
    for (auto& [name, ranked] : domains)
    {
        std::sort(ranked.begin(), ranked.end());
    }
    return domains;
}

/// Takes candidates off a domain's front while there is room.
void take_front(ranked_domain& domain, std::size_t count, std::size_t limit,
                std::vector<std::size_t>& chosen)
{
    const std::size_t room = limit - std::min(limit, chosen.size());
    const std::size_t taken = std::min({count, room, domain.size()});
    const auto end = domain.begin() + static_cast<std::ptrdiff_t>(taken);
    std::transform(domain.begin(), end, std::back_inserter(chosen),
                   [](const candidate& item) { return item.index; });
    domain.erase(domain.begin(), end);
}

} // namespace

std::vector<std::size_t> select_members(std::span<const vm_record> vms,
                                        std::string_view own_vm,
                                        std::string_view own_domain, std::size_t limit)
{
    auto domains = rank(vms, own_vm);
    ranked_domain own = std::move(domains[own_domain]);
    domains.erase(own_domain);
    std::vector<std::size_t> chosen;
    take_front(own, (limit + 1) / 2, limit, chosen);
    for (std::size_t before = chosen.size() + 1;
         before != chosen.size() && chosen.size() < limit;)
    {
        before = chosen.size();
        for (auto& [name, ranked] : domains)
        {
            take_front(ranked, 1, limit, chosen);
        }
    }
    take_front(own, own.size(), limit, chosen);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace agateseam

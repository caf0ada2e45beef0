#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <agateseam/member_selection.hpp>

using namespace agateseam;

namespace
{

std::vector<vm_record> make_agents(std::size_t size, std::size_t domains)
{
    std::vector<vm_record> vms;
    for (std::size_t index = 0; index < size; ++index)
    {
        vms.push_back({"agent-" + std::to_string(index), "127.0.0.1:1", "agent",
                       "domain-" + std::to_string(index % domains), false});
    }
    return vms;
}

} // namespace

TEST_CASE("all agents of a small fleet are chosen, and no entries")
{
    auto vms = make_agents(12, 4);
    vms.push_back({"entry-1", "127.0.0.1:1", "entry", "domain-0", false});
    CHECK(select_members(vms, "entry-1", "domain-0", 64).size() == 12);
}

TEST_CASE(
    "half of a subset is in the own domain, the rest is spread over all other domains")
{
    const auto vms = make_agents(10'000, 22);
    std::map<std::string, int> chosen_by_domain;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-3", 64))
    {
        ++chosen_by_domain[vms[index].failure_domain];
    }
    CHECK(chosen_by_domain["domain-3"] == 32);
    CHECK(chosen_by_domain.size() == 22);
    for (const auto& [domain, count] : chosen_by_domain)
    {
        CHECK((domain == "domain-3" || count <= 2));
    }
}

TEST_CASE("removing an agent changes at most one choice")
{
    auto vms = make_agents(1'000, 5);
    std::vector<std::string> chosen_before;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-1", 20))
    {
        chosen_before.push_back(vms[index].name);
    }
    vms.erase(vms.begin() + 1);
    std::size_t new_choices = 0;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-1", 20))
    {
        new_choices += std::find(chosen_before.begin(), chosen_before.end(),
                                 vms[index].name) == chosen_before.end()
                           ? 1
                           : 0;
    }
    CHECK(new_choices <= 1);
}

TEST_CASE("with many entries every agent is chosen by some, and by none too many")
{
    const auto vms = make_agents(1'000, 4);
    std::vector<int> times_chosen(vms.size(), 0);
    for (int entry = 0; entry < 320; ++entry)
    {
        for (const std::size_t index :
             select_members(vms, "entry-" + std::to_string(entry),
                            "domain-" + std::to_string(entry % 4), 64))
        {
            ++times_chosen[index];
        }
    }
    CHECK(*std::min_element(times_chosen.begin(), times_chosen.end()) > 0);
    CHECK(*std::max_element(times_chosen.begin(), times_chosen.end()) < 60);
}

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

TEST_CASE("a small fleet is chosen whole, entries never")
{
    auto vms = make_agents(12, 4);
    vms.push_back({"entry-1", "127.0.0.1:1", "entry", "domain-0", false});
    CHECK(select_members(vms, "entry-1", "domain-0", 64).size() == 12);
}

TEST_CASE("half of a bounded choice is near, the rest in every other domain")
{
    const auto vms = make_agents(10'000, 22);
    std::map<std::string, int> chosen;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-3", 64))
    {
        ++chosen[vms[index].failure_domain];
    }
    CHECK(chosen["domain-3"] == 32);
    CHECK(chosen.size() == 22);
    for (const auto& [domain, count] : chosen)
    {
        CHECK((domain == "domain-3" || count <= 2));
    }
}

TEST_CASE("an agent that goes changes one choice at most")
{
    auto vms = make_agents(1'000, 5);
    std::vector<std::string> before;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-1", 20))
    {
        before.push_back(vms[index].name);
    }
    vms.erase(vms.begin() + 1);
    std::size_t changed = 0;
    for (const std::size_t index : select_members(vms, "entry-1", "domain-1", 20))
    {
        changed +=
            std::find(before.begin(), before.end(), vms[index].name) == before.end() ? 1
                                                                                     : 0;
    }
    CHECK(changed <= 1);
}

TEST_CASE("over many entries every agent is in touch with some")
{
    const auto vms = make_agents(1'000, 4);
    std::vector<int> touched(vms.size(), 0);
    for (int entry = 0; entry < 320; ++entry)
    {
        for (const std::size_t index :
             select_members(vms, "entry-" + std::to_string(entry),
                            "domain-" + std::to_string(entry % 4), 64))
        {
            ++touched[index];
        }
    }
    CHECK(*std::min_element(touched.begin(), touched.end()) > 0);
    CHECK(*std::max_element(touched.begin(), touched.end()) < 60);
}

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include <agateseam/placement.hpp>

using namespace agateseam;

namespace
{

std::shared_ptr<member> make_agent(const std::string& vm, backend_kind kind,
                                   const std::string& domain)
{
    auto agent = std::make_shared<member>();
    agent->vm = vm;
    agent->failure_domain = domain;
    load_report report;
    report.sequence = 1;
    report.incarnation = 1;
    report.kind = kind;
    report.pool = "drafting";
    report.slots = 20;
    report.tokens_per_second = 20'000;
    agent->apply_report(report, time_point{});
    return agent;
}

/// Makes alternating prefill and decode agents, spread over four failure domains.
member_list make_members(int count)
{
    member_list members;
    for (int number = 0; number < count; ++number)
    {
        const std::string name = std::to_string(number);
        const std::string domain(1, static_cast<char>('a' + number / 2 % 4));
        const auto kind = number % 2 == 0 ? backend_kind::prefill : backend_kind::decode;
        members.all.push_back(make_agent(name, kind, domain));
    }
    return members;
}

placement_request make_request()
{
    placement_request request;
    request.pool = "drafting";
    request.workspace = "oshana";
    request.prompt_tokens = 4'000;
    request.output_tokens = 200;
    return request;
}

} // namespace

TEST_CASE("prefill and decode are placed in one failure domain when loads are equal")
{
    const auto members = make_members(16);
    const auto policy = make_weighted_placement(1);
    const auto choice = policy->choose(make_request(), members, policy_config{});
    REQUIRE(choice);
    CHECK(choice->prefill->failure_domain == choice->decode->failure_domain);
    CHECK(choice->prefill->kind == backend_kind::prefill);
    CHECK(choice->decode->kind == backend_kind::decode);
}

TEST_CASE("requests sent since the last report count as load")
{
    const auto members = make_members(8);
    const auto policy = make_weighted_placement(1);
    std::map<std::string, int> decodes;
    for (int number = 0; number < 80; ++number)
    {
        ++decodes[policy->choose(make_request(), members, policy_config{})->decode->vm];
    }
    REQUIRE(decodes.size() == 4);
    for (const auto& [vm, count] : decodes)
    {
        CHECK(count <= 30);
    }
}

TEST_CASE("an agent whose cache holds the prefix is preferred until it is too busy")
{
    const auto members = make_members(6);
    const auto policy = make_weighted_placement(1);
    const std::vector<std::uint64_t> chain{11, 22, 33, 44};
    auto& holder = *members.all[2];
    holder.cache.publish(std::make_unique<cache_digest>(chain));
    placement_request request = make_request();
    request.block_hashes = chain;
    CHECK(policy->choose(request, members, policy_config{})->prefill->vm == holder.vm);
    holder.queued_tokens = 40'000;
    CHECK(policy->choose(request, members, policy_config{})->prefill->vm != holder.vm);
}

TEST_CASE("agents that are excluded, leaving or silent are not chosen")
{
    const auto members = make_members(6);
    const auto policy = make_weighted_placement(1);
    const std::vector<std::string> excluded_vms{"0", "1"};
    members.all[2]->leaving = true;
    members.all[3]->silent = true;
    placement_request request = make_request();
    request.excluded_vms = excluded_vms;
    for (int number = 0; number < 20; ++number)
    {
        const auto choice = policy->choose(request, members, policy_config{});
        REQUIRE(choice);
        CHECK(choice->prefill->vm == "4");
        CHECK(choice->decode->vm == "5");
    }
    members.all[5]->leaving = true;
    const auto refusal = policy->choose(request, members, policy_config{});
    REQUIRE_FALSE(refusal);
    CHECK(refusal.error().code == error_code::exhausted);
}

TEST_CASE("equal seeds give equal choices")
{
    const auto left = make_members(64);
    const auto right = make_members(64);
    const auto left_policy = make_weighted_placement(7);
    const auto right_policy = make_weighted_placement(7);
    for (int number = 0; number < 100; ++number)
    {
        CHECK(left_policy->choose(make_request(), left, policy_config{})->decode->vm ==
              right_policy->choose(make_request(), right, policy_config{})->decode->vm);
    }
}

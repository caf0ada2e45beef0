/// Admits requests within a workspace's allowance and places them on agents, with a
/// manually advanced clock.
#include <cstdio>
#include <memory>

#include <agateseam/clock.hpp>
#include <agateseam/configuration.hpp>
#include <agateseam/placement.hpp>
#include <agateseam/published.hpp>
#include <agateseam/static_admission.hpp>

namespace
{

using namespace agateseam;

std::shared_ptr<member> make_agent(const char* vm, backend_kind kind)
{
    auto agent = std::make_shared<member>();
    agent->vm = vm;
    agent->pool = "drafting";
    agent->kind = kind;
    agent->failure_domain = "khomas-a";
    agent->slots = 20;
    agent->tokens_per_second = 20'000;
    agent->has_reported = true;
    return agent;
}

} // namespace

int main()
{
    manual_clock virtual_clock;
    virtual_clock.advance(std::chrono::seconds(100));
    const auto config = configuration::parse(
        R"({"pools":{"drafting":{"model":"drafter"}},
            "workspaces":{"dune":{"rate":100,"burst":1000}}})",
        1);
    auto allowance = static_admission::create(virtual_clock, 1);
    if (!config || !allowance)
    {
        return 1;
    }
    (*allowance)->configure(*config);

    published<member_list> published_members;
    auto members_to_publish = std::make_unique<member_list>();
    members_to_publish->all = {make_agent("prefill-1", backend_kind::prefill),
                               make_agent("decode-1", backend_kind::decode)};
    published_members.publish(std::move(members_to_publish));

    const auto placement = make_least_load_placement();
    placement_request query;
    query.pool = "drafting";
    query.workspace = "dune";
    query.failure_domain = "khomas-a";
    query.prompt_tokens = 300;
    query.output_tokens = 100;
    int placed = 0;
    for (int request = 1; request <= 20; ++request)
    {
        // The tokens of the prompt and of the longest answer together.
        const auto decision = (*allowance)->reserve("dune", 400);
        if (!decision.admitted)
        {
            std::printf("%2d refused, retry in %.1f s\n", request,
                        std::chrono::duration<double>(decision.retry_after).count());
        }
        else
        {
            const auto members = published_members.read();
            const auto choice = placement->choose(query, *members, config->policy);
            std::printf("%2d %s\n", request,
                        choice ? choice->decode->vm.c_str() : "no agent");
            placed += choice ? 1 : 0;
            (*allowance)->deliver("dune", 400);
        }
        virtual_clock.advance(std::chrono::seconds(1));
    }
    // The allowance suffices for some of the requests, but not for all.
    return placed > 0 && placed < 20 ? 0 : 1;
}

/// Measures the time and memory of one placement, and how they grow with the number of
/// agents.
#include <cmath>
#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <agateseam/clock.hpp>
#include <agateseam/placement.hpp>

namespace
{

using json = nlohmann::json;
using namespace agateseam;

constexpr std::size_t base_agents = 1'000;
constexpr std::size_t cache_blocks = 200; // Per prefill engine.
constexpr std::size_t prompt_blocks = 8;
constexpr int placement_count = 100'000;
constexpr double max_placement_ns = 2'000; // Nanoseconds, at base_agents.

std::vector<std::uint64_t> make_block_hashes(std::uint64_t number)
{
    std::vector<std::uint64_t> blocks(cache_blocks);
    for (std::size_t index = 0; index < blocks.size(); ++index)
    {
        blocks[index] = (number + 1) * 0x9E3779B97F4A7C15ULL + index * 0xD1B54A32D192ED03;
    }
    return blocks;
}

/// Makes a member list in which a third of the agents prefill and the rest decode, spread
/// over 22 failure domains.
member_list make_members(std::size_t count)
{
    constexpr std::size_t domains = 22;
    member_list members;
    for (std::size_t number = 0; number < count; ++number)
    {
        auto agent = std::make_shared<member>();
        agent->vm = "vm-" + std::to_string(number);
        agent->address = "127.0.0.1:" + std::to_string(number);
        agent->failure_domain = "domain-" + std::to_string(number % domains);
        load_report report;
        report.sequence = 1;
        report.incarnation = 1;
        report.kind = number % 3 == 0 ? backend_kind::prefill : backend_kind::decode;
        report.pool = "drafting";
        report.slots = 20;
        report.used = number % 20;
        report.tokens_per_second = 20'000;
        agent->apply_report(report, time_point{});
        if (report.kind == backend_kind::prefill)
        {
            agent->cache.publish(
                std::make_unique<cache_digest>(make_block_hashes(number)));
        }
        members.all.push_back(std::move(agent));
    }
    return members;
}

/// Returns the bytes that an entry keeps for one agent, its strings and cache digest
/// included.
std::size_t count_bytes(const member& agent)
{
    const auto digest = agent.cache.read();
    return sizeof(member) + agent.vm.capacity() + agent.address.capacity() +
           agent.failure_domain.capacity() + agent.pool.capacity() +
           (digest ? sizeof(cache_digest) + digest->size_bytes() : 0);
}

json measure(std::size_t agents)
{
    const member_list members = make_members(agents);
    const auto placer = make_weighted_placement(1);
    const policy_config policy;
    placement_request request;
    request.pool = "drafting";
    request.workspace = "oshana";
    request.prompt_tokens = 8'000;
    request.output_tokens = 200;
    std::size_t placed = 0;
    const steady_clock_source clock;
    std::vector<std::vector<std::uint64_t>> prompts;
    for (std::uint64_t number = 0; number < 64; ++number)
    {
        prompts.push_back(make_block_hashes(number * 3));
        prompts.back().resize(prompt_blocks);
    }
    const time_point begin = clock.now();
    for (int call = 0; call < placement_count; ++call)
    {
        request.block_hashes = prompts[static_cast<std::size_t>(call) % prompts.size()];
        placed += placer->choose(request, members, policy) ? 1 : 0;
    }
    const double nanoseconds_per_placement =
        static_cast<double>((clock.now() - begin).count()) / placement_count;
    return {{"bench", "placement_micro"},
            {"agents", agents},
            {"nanoseconds", nanoseconds_per_placement},
            {"placed", placed},
            {"bytes_per_prefill_agent", count_bytes(*members.all[0])},
            {"bytes_per_decode_agent", count_bytes(*members.all[1])}};
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("placement_micro_bench",
                             "Measures the time and memory of one placement");
    options.add_options()("json", "print one JSON object per line (always on)")(
        "check", "exit with 1 when a placement takes two microseconds or more");
    const auto arguments = options.parse(argc, argv);
    bool within_limits = true;
    for (const std::size_t agents : {base_agents / 10, base_agents, 3 * base_agents})
    {
        const json line = measure(agents);
        std::cout << line.dump() << '\n';
        const bool is_base_size = agents == base_agents;
        within_limits = within_limits && line["placed"] == placement_count &&
                        (!is_base_size || line["nanoseconds"] < max_placement_ns);
    }
    return arguments.count("check") != 0 && !within_limits ? EXIT_FAILURE : EXIT_SUCCESS;
}

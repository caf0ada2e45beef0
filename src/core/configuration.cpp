#include <agateseam/configuration.hpp>

#include <agateseam/impl/document_reader.hpp>

namespace agateseam
{

namespace
{

using impl::document_faults;
using impl::section_reader;
using json = nlohmann::json;

constexpr double largest_rate = 1e12; // tokens per second
constexpr double largest_weight = 1e6;
constexpr double largest_price = 1e9;
constexpr double longest_limit = 3'600;      // seconds
constexpr double shortest_retention = 600;   // seconds; above any request's limit
constexpr double longest_retention = 86'400; // seconds
constexpr double default_retention = 3'600;  // seconds

std::vector<key_record> read_keys(const json& list, const std::string& path,
                                  document_faults& faults)
{
    std::vector<key_record> keys;
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        section_reader section(list[index], path + "/" + std::to_string(index), faults);
        keys.push_back({section.text("id"), section.text("salt"), section.text("hash")});
    }
    return keys;
}

workspace_config read_workspace(const json& source, const std::string& path,
                                document_faults& faults)
{
    section_reader section(source, path, faults);
    workspace_config workspace;
    workspace.rate = section.number("rate", 0, largest_rate);
    workspace.burst = section.number("burst", 0, largest_rate);
    workspace.weight = section.number("weight", 1e-6, largest_weight, 1.0);
    workspace.keys = read_keys(section.list("keys"), section.path_of("keys"), faults);
    workspace.pools = section.texts("pools");
    return workspace;
}

pool_config read_pool(const json& source, const std::string& path,
                      document_faults& faults)
{
    section_reader section(source, path, faults);
    return {section.text("model", "")};
}

route_config read_route(const json& source, const std::string& path,
                        document_faults& faults)
{
    section_reader section(source, path, faults);
    route_config route;
    route.prefix = section.text("prefix");
    route.pool = section.text("pool");
    route.repeatable = section.boolean("repeatable", false);
    route.open = section.boolean("open", false);
    if (!route.prefix.starts_with('/'))
    {
        section.fault("prefix", "must begin with a slash");
    }
    return route;
}

price_config read_price(const json& source, const std::string& path,
                        document_faults& faults)
{
    section_reader section(source, path, faults);
    return {section.number("prompt", 0, largest_price, 0.0),
            section.number("cached", 0, largest_price, 0.0),
            section.number("output", 0, largest_price, 0.0)};
}

policy_config read_policy(const json& source, document_faults& faults)
{
    section_reader section(source, "/policy", faults);
    policy_config policy;
    policy.cache_weight = section.number("cache_weight", 0, largest_weight, 1.0);
    policy.domain_weight = section.number("domain_weight", 0, largest_weight, 1.0);
    policy.load_weight = section.number("load_weight", 0, largest_weight, 1.0);
    policy.first_token_limit =
        section.number("first_token_limit", 0.001, longest_limit, 0.62);
    policy.token_gap_limit =
        section.number("token_gap_limit", 0.001, longest_limit, 0.039);
    policy.withdrawn_streams =
        section.one_of("withdrawn_streams", {"finish", "cut"}, "finish");
    policy.claim_retention = section.number("claim_retention", shortest_retention,
                                            longest_retention, default_retention);
    return policy;
}

template <typename Item, typename Reader>
void read_named(section_reader& root, std::string_view key, document_faults& faults,
                Reader reader, std::map<std::string, Item, std::less<>>& items)
{
    for (const auto& [name, source] : root.object(key, false).items())
    {
        items.emplace(name, reader(source, root.path_of(key) + "/" + name, faults));
    }
}

void check_pool(const configuration& made, const std::string& pool,
                const std::string& path, document_faults& faults)
{
    if (!made.pools.contains(pool))
    {
        faults.push_back({path, "names a pool that does not exist: " + pool});
    }
}

void check_references(const configuration& made, document_faults& faults)
{
    for (const auto& [name, route] : made.routes)
    {
        check_pool(made, route.pool, "/routes/" + name + "/pool", faults);
    }
    for (const auto& [name, price] : made.prices)
    {
        check_pool(made, name, "/prices/" + name, faults);
    }
    std::map<std::string, std::string> owners;
    for (const auto& [name, workspace] : made.workspaces)
    {
        for (const std::string& pool : workspace.pools)
        {
            check_pool(made, pool, "/workspaces/" + name + "/pools", faults);
        }
        for (const key_record& key : workspace.keys)
        {
            if (!owners.emplace(key.id, name).second)
            {
                faults.push_back({"/workspaces/" + name + "/keys",
                                  "the key id " + key.id + " is already in use"});
            }
        }
    }
}

} // namespace

result<configuration> configuration::parse(std::string_view document,
                                           std::uint64_t number)
{
    const json parsed = json::parse(document, nullptr, false, true);
    if (parsed.is_discarded())
    {
        return fail(error_code::invalid, "configuration", "", "/: is not JSON");
    }
    document_faults faults;
    configuration made;
    made.number = number;
    {
        section_reader root(parsed, "", faults);
        read_named(root, "workspaces", faults, read_workspace, made.workspaces);
        read_named(root, "pools", faults, read_pool, made.pools);
        read_named(root, "routes", faults, read_route, made.routes);
        read_named(root, "prices", faults, read_price, made.prices);
        made.policy = read_policy(root.object("policy", false), faults);
    }
    check_references(made, faults);
    if (!faults.empty())
    {
        return fail(error_code::invalid, "configuration", "", impl::join_faults(faults));
    }
    return made;
}

} // namespace agateseam

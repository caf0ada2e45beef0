#include <agateseam/configuration.hpp>

#include <agateseam/impl/document_reader.hpp>

namespace agateseam
{

namespace
{

using impl::document_errors;
using impl::section_reader;
using json = nlohmann::json;

constexpr double max_rate = 1e12; // tokens per second
constexpr double max_weight = 1e6;
constexpr double max_price = 1e9;
constexpr double max_limit_seconds = 3'600;
constexpr double min_retention_seconds = 600; // longer than any request may take
constexpr double max_retention_seconds = 86'400;
constexpr double default_retention_seconds = 3'600;

std::vector<key_record> read_keys(const json& list, const std::string& path,
                                  document_errors& errors)
{
    std::vector<key_record> keys;
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        section_reader section(list[index], path + "/" + std::to_string(index), errors);
        keys.push_back({section.text("id"), section.text("salt"), section.text("hash")});
    }
    return keys;
}

workspace_config read_workspace(const json& source, const std::string& path,
                                document_errors& errors)
{
    section_reader section(source, path, errors);
    workspace_config workspace;
    workspace.rate = section.number("rate", 0, max_rate);
    workspace.burst = section.number("burst", 0, max_rate);
    workspace.weight = section.number("weight", 1e-6, max_weight, 1.0);
    workspace.keys = read_keys(section.list("keys"), section.path_of("keys"), errors);
    workspace.pools = section.string_list("pools");
    return workspace;
}

pool_config read_pool(const json& source, const std::string& path,
                      document_errors& errors)
{
    section_reader section(source, path, errors);
    return {section.text("model", "")};
}

route_config read_route(const json& source, const std::string& path,
                        document_errors& errors)
{
    section_reader section(source, path, errors);
    route_config route;
    route.prefix = section.text("prefix");
    route.pool = section.text("pool");
    route.repeatable = section.boolean("repeatable", false);
    route.open = section.boolean("open", false);
    if (!route.prefix.starts_with('/'))
    {
        section.add_error("prefix", "must begin with a slash");
    }
    return route;
}

price_config read_price(const json& source, const std::string& path,
                        document_errors& errors)
{
    section_reader section(source, path, errors);
    return {section.number("prompt", 0, max_price, 0.0),
            section.number("cached", 0, max_price, 0.0),
            section.number("output", 0, max_price, 0.0)};
}

policy_config read_policy(const json& source, document_errors& errors)
{
    section_reader section(source, "/policy", errors);
    policy_config policy;
    policy.cache_weight = section.number("cache_weight", 0, max_weight, 1.0);
    policy.domain_weight = section.number("domain_weight", 0, max_weight, 1.0);
    policy.load_weight = section.number("load_weight", 0, max_weight, 1.0);
    policy.first_token_limit =
        section.number("first_token_limit", 0.001, max_limit_seconds, 0.62);
    policy.token_gap_limit =
        section.number("token_gap_limit", 0.001, max_limit_seconds, 0.039);
    policy.withdrawn_streams =
        section.one_of("withdrawn_streams", {"finish", "cut"}, "finish");
    policy.claim_retention =
        section.number("claim_retention", min_retention_seconds, max_retention_seconds,
                       default_retention_seconds);
    return policy;
}

template <typename Item, typename Reader>
void read_named_items(section_reader& root, std::string_view key, document_errors& errors,
                      Reader read_item, std::map<std::string, Item, std::less<>>& items)
{
    for (const auto& [name, source] : root.object(key, false).items())
    {
        items.emplace(name, read_item(source, root.path_of(key) + "/" + name, errors));
    }
}

void check_pool_exists(const configuration& config, const std::string& pool,
                       const std::string& path, document_errors& errors)
{
    if (!config.pools.contains(pool))
    {
        errors.push_back({path, "names a pool that does not exist: " + pool});
    }
}

void check_references(const configuration& config, document_errors& errors)
{
    for (const auto& [name, route] : config.routes)
    {
        check_pool_exists(config, route.pool, "/routes/" + name + "/pool", errors);
    }
    for (const auto& [name, price] : config.prices)
    {
        check_pool_exists(config, name, "/prices/" + name, errors);
    }
    std::map<std::string, std::string> workspace_by_key_id;
    for (const auto& [name, workspace] : config.workspaces)
    {
        for (const std::string& pool : workspace.pools)
        {
            check_pool_exists(config, pool, "/workspaces/" + name + "/pools", errors);
        }
        for (const key_record& key : workspace.keys)
        {
            if (!workspace_by_key_id.emplace(key.id, name).second)
            {
                errors.push_back({"/workspaces/" + name + "/keys",
                                  "the key id " + key.id + " is already in use"});
            }
        }
    }
}

} // namespace

result<configuration> configuration::parse(std::string_view document,
                                           std::uint64_t number)
{
    const json content = json::parse(document, nullptr, false, true);
    if (content.is_discarded())
    {
        return fail(error_code::invalid, "configuration", "", "/: is not JSON");
    }
    document_errors errors;
    configuration config;
    config.number = number;
    {
        section_reader root(content, "", errors);
        read_named_items(root, "workspaces", errors, read_workspace, config.workspaces);
        read_named_items(root, "pools", errors, read_pool, config.pools);
        read_named_items(root, "routes", errors, read_route, config.routes);
        read_named_items(root, "prices", errors, read_price, config.prices);
        config.policy = read_policy(root.object("policy", false), errors);
    }
    check_references(config, errors);
    if (!errors.empty())
    {
        return fail(error_code::invalid, "configuration", "", impl::join_errors(errors));
    }
    return config;
}

} // namespace agateseam

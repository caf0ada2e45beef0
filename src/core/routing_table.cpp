#include <agateseam/routing_table.hpp>

#include <algorithm>
#include <cctype>

#include <xxhash.h>

namespace agateseam
{

namespace
{

/// Returns the host in lower case and without a port.
std::string normalized_host(std::string_view host)
{
    const std::size_t colon = host.find(':');
    std::string name(host.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

std::string_view service_route::service_for(std::string_view request_id) const
{
    if (this->weighted_services.empty())
    {
        return {};
    }
    std::uint64_t total_weight = 0;
    for (const weighted_service& candidate : this->weighted_services)
    {
        total_weight += candidate.weight;
    }
    if (total_weight == 0)
    {
        return this->weighted_services.front().service;
    }
    std::uint64_t position =
        XXH3_64bits(request_id.data(), request_id.size()) % total_weight;
    for (const weighted_service& candidate : this->weighted_services)
    {
        if (position < candidate.weight)
        {
            return candidate.service;
        }
        position -= candidate.weight;
    }
    return this->weighted_services.back().service;
}

result<std::shared_ptr<const routing_table>> routing_table::create(routing_parts parts)
{
    for (const auto& [key, workspace_index] : parts.workspace_index_by_key)
    {
        if (workspace_index >= parts.workspaces.size())
        {
            return fail(error_code::invalid, "index configuration", "",
                        "a key belongs to no workspace");
        }
    }
    std::shared_ptr<routing_table> table(new routing_table(std::move(parts)));
    const auto& routes = table->parts.routes;
    for (std::uint32_t index = 0; index < routes.size(); ++index)
    {
        table->route_indexes_by_host[normalized_host(routes[index].host)].push_back(
            index);
    }
    for (auto& [host, indexes] : table->route_indexes_by_host)
    {
        std::stable_sort(indexes.begin(), indexes.end(),
                         [&routes](std::uint32_t left, std::uint32_t right) {
                             return routes[left].path_prefix.size() >
                                    routes[right].path_prefix.size();
                         });
    }
    const auto& services = table->parts.services;
    for (std::uint32_t index = 0; index < services.size(); ++index)
    {
        table->service_index_by_name[services[index].name] = index;
    }
    return std::shared_ptr<const routing_table>(std::move(table));
}

const service_route* routing_table::route_for(std::string_view host,
                                              std::string_view path) const
{
    const auto found = this->route_indexes_by_host.find(normalized_host(host));
    if (found == this->route_indexes_by_host.end())
    {
        return nullptr;
    }
    for (const std::uint32_t index : found->second)
    {
        if (path.starts_with(this->parts.routes[index].path_prefix))
        {
            return &this->parts.routes[index];
        }
    }
    return nullptr;
}

const workspace_limits* routing_table::workspace_for_key(std::string_view key) const
{
    const auto found = this->parts.workspace_index_by_key.find(std::string(key));
    return found == this->parts.workspace_index_by_key.end()
               ? nullptr
               : &this->parts.workspaces[found->second];
}

const service_properties* routing_table::service(std::string_view name) const
{
    const auto found = this->service_index_by_name.find(std::string(name));
    return found == this->service_index_by_name.end()
               ? nullptr
               : &this->parts.services[found->second];
}

} // namespace agateseam

#include <gateway/region_filter.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

bool names_region(const std::vector<std::string>& allowed, const std::string& region)
{
    return allowed.empty() ||
           std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

} // namespace

region_filter::region_filter(
    const std::map<std::string, std::string, std::less<>>& regions,
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& workspace_regions)
    : restricted(!route_regions.empty() || !workspace_regions.empty())
{
    if (!this->restricted)
    {
        return;
    }
    for (const auto& [domain, region] : regions)
    {
        if (names_region(route_regions, region) &&
            names_region(workspace_regions, region))
        {
            this->domains.push_back(domain);
        }
    }
}

bool region_filter::allows_domain(std::string_view domain) const
{
    return std::find(this->domains.begin(), this->domains.end(), domain) !=
           this->domains.end();
}

} // namespace agateseam

/// Restricts requests to the regions that their route and workspace name.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>

namespace agateseam
{

/// \brief The failure domains in which a request may run.
class region_filter
{
  public:
    /// \brief Allows every server.
    region_filter() = default;

    /// \brief Allows the failure domains whose region each list names. An empty list
    /// names all; a failure domain that isn't in `regions` is in no region.
    /// \param regions by failure domain.
    region_filter(const std::map<std::string, std::string, std::less<>>& regions,
                  const std::vector<std::string>& route_regions,
                  const std::vector<std::string>& workspace_regions);

    /// \brief Tells whether any region is excluded.
    [[nodiscard]] bool is_restricted() const noexcept { return this->restricted; }

    [[nodiscard]] bool allows(const backend_server& server) const
    {
        return !this->restricted || this->allows_domain(server.failure_domain);
    }

  private:
    [[nodiscard]] bool allows_domain(std::string_view domain) const;

    bool restricted = false;
    std::vector<std::string> domains; ///< Allowed ones, if restricted.
};

} // namespace agateseam

/// The command line's calls to an entry's operator interface.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <net/http_client.hpp>

namespace agateseam
{

/// \brief The configuration as an entry reports it.
struct numbered_document
{
    std::uint64_t number = 0;
    nlohmann::json document;
};

/// \brief Calls one entry.
class operator_client
{
  public:
    [[nodiscard]] static result<operator_client> create(std::string url,
                                                        std::string token);

    /// \brief Reads the current configuration.
    [[nodiscard]] result<numbered_document> config() const;

    /// \brief Applies a merge patch made against a number.
    [[nodiscard]] result<numbered_document>
    patch(std::uint64_t against, const nlohmann::json& merge_patch) const;

    /// \brief Reads a page of the operator interface.
    /// \param path with its query, such as "/operator/processes".
    [[nodiscard]] result<std::string> page(const std::string& path) const;

    /// \brief Reads a page that is a JSON object.
    [[nodiscard]] result<nlohmann::json> object(const std::string& path) const;

  private:
    operator_client() = default;

    [[nodiscard]] result<numbered_document> call(http_call request) const;

    std::string url;
    std::string token;
    std::unique_ptr<http_client> client;
};

} // namespace agateseam

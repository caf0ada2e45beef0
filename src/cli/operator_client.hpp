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

/// \brief A configuration document and its number, as an entry returns them.
struct numbered_document
{
    std::uint64_t number = 0;
    nlohmann::json document;
};

/// \brief A client of the operator interface of one entry.
class operator_client
{
  public:
    [[nodiscard]] static result<operator_client> create(std::string url,
                                                        std::string token);

    /// \brief Reads the current configuration.
    [[nodiscard]] result<numbered_document> config() const;

    /// \brief Applies a patch to the configuration with the number `against`. A JSON
    /// array is sent as a JSON Patch, anything else as a merge patch. When the answer is
    /// lost, the patch is sent again under the same id.
    [[nodiscard]] result<numbered_document> patch(std::uint64_t against,
                                                  const nlohmann::json& patch,
                                                  const std::string& note = "") const;

    /// \brief Reads the recent patches, oldest first.
    [[nodiscard]] result<nlohmann::json> history() const;

    /// \brief Gets a path of the operator interface and returns the answer's body.
    /// \param path the path with its query, such as "/operator/processes".
    [[nodiscard]] result<std::string> get_text(const std::string& path) const;

    /// \brief Gets a path of the operator interface whose answer is a JSON object.
    [[nodiscard]] result<nlohmann::json> get_json(const std::string& path) const;

    /// \brief Tells an agent to accept no new work and to finish what it has.
    [[nodiscard]] result<nlohmann::json> drain(const std::string& vm) const;

  private:
    operator_client() = default;

    [[nodiscard]] result<nlohmann::json> call(http_call request) const;
    [[nodiscard]] static numbered_document to_document(const nlohmann::json& body);

    std::string url;
    std::string token;
    std::unique_ptr<http_client> client;
};

} // namespace agateseam

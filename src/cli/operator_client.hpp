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

    /// \brief Applies a patch made against a number: a JSON Patch if it is a list, else a
    /// merge patch. Asks again under the same id when the answer was lost.
    [[nodiscard]] result<numbered_document> patch(std::uint64_t against,
                                                  const nlohmann::json& patch,
                                                  const std::string& note = "") const;

    /// \brief Reads the recent patches, oldest first.
    [[nodiscard]] result<nlohmann::json> history() const;

    /// \brief Reads a page of the operator interface.
    /// \param path with its query, such as "/operator/processes".
    [[nodiscard]] result<std::string> page(const std::string& path) const;

    /// \brief Reads a page that is a JSON object.
    [[nodiscard]] result<nlohmann::json> object(const std::string& path) const;

    /// \brief Tells an agent to take no more work.
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

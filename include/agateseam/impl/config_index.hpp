/// The index object of the stored configuration: its number, its history, and references
/// to the chunk objects that hold the workspaces.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <agateseam/config_store.hpp>

namespace agateseam::impl
{

/// \brief Reference to one version of a chunk object.
struct chunk_reference
{
    std::string key;
    std::uint64_t version = 0;

    friend bool operator==(const chunk_reference&, const chunk_reference&) = default;
};

/// \brief A chunk that the current index does not use, kept for readers of older indexes.
struct retired_chunk
{
    std::uint64_t number = 0; ///< The first configuration number without the chunk.
    chunk_reference chunk;
};

/// \brief The content of the index object.
struct config_index
{
    std::uint64_t number = 0;
    /// All sections except the workspaces.
    nlohmann::json base = nlohmann::json::object();
    std::vector<chunk_reference> chunks; ///< An empty key means an empty chunk.
    std::vector<retired_chunk> retired;
    std::vector<config_change> history;
    std::uint64_t version = 0; ///< The store version of the index object.

    /// \brief Parses the index object.
    [[nodiscard]] static result<config_index> parse(const object_record& record);

    /// \brief Returns the JSON text of the index object.
    [[nodiscard]] std::string to_text() const;
};

/// \brief Distributes the document's workspaces over chunks by the hash of their names.
[[nodiscard]] std::vector<nlohmann::json> split_workspaces(const nlohmann::json& document,
                                                           std::size_t count);

/// \brief Returns how many chunks the workspaces need, but at least the current count.
[[nodiscard]] std::size_t chunk_count(std::size_t workspaces,
                                      std::size_t current_count) noexcept;

/// \brief Returns the distinct paths of a JSON Patch's operations.
[[nodiscard]] std::vector<std::string> patched_paths(const nlohmann::json& diff);

/// \brief Returns the JSON form of a change, which is used in the index and in answers to
/// operators.
[[nodiscard]] nlohmann::json to_json(const config_change& change);

/// \brief Parses the JSON form of a change.
/// \throws nlohmann::json::exception when the form is wrong.
[[nodiscard]] config_change read_change(const nlohmann::json& source);

} // namespace agateseam::impl

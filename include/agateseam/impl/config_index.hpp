/// The configuration's index object: number, history, and the chunks that hold
/// workspaces.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <agateseam/config_store.hpp>

namespace agateseam::impl
{

/// \brief One chunk object as the index names it.
struct chunk_reference
{
    std::string key;
    std::uint64_t version = 0;

    friend bool operator==(const chunk_reference&, const chunk_reference&) = default;
};

/// \brief A chunk that no newer index names, kept a while for readers of older ones.
struct retired_chunk
{
    std::uint64_t number = 0; ///< The number that no longer names it.
    chunk_reference chunk;
};

/// \brief The index object.
struct config_index
{
    std::uint64_t number = 0;
    nlohmann::json base = nlohmann::json::object(); ///< All sections but the workspaces.
    std::vector<chunk_reference> chunks;            ///< An empty key means no workspaces.
    std::vector<retired_chunk> retired;
    std::vector<config_change> history;
    std::uint64_t version = 0;

    [[nodiscard]] static result<config_index> parse(const object_record& record);
    [[nodiscard]] std::string to_text() const;
};

/// \brief Splits the workspaces over chunks by the hash of their names.
[[nodiscard]] std::vector<nlohmann::json> split_workspaces(const nlohmann::json& document,
                                                           std::size_t count);

/// \brief Returns how many chunks that many workspaces need; never fewer than there are.
[[nodiscard]] std::size_t chunk_count(std::size_t workspaces,
                                      std::size_t present) noexcept;

/// \brief Returns the paths that a JSON Patch touches, each once.
[[nodiscard]] std::vector<std::string> patched_paths(const nlohmann::json& diff);

/// \brief Returns the JSON form of a change, as the index and the operators' answers have
/// it.
[[nodiscard]] nlohmann::json to_json(const config_change& change);

/// \brief Reads the JSON form of a change; throws nlohmann's exceptions.
[[nodiscard]] config_change read_change(const nlohmann::json& source);

} // namespace agateseam::impl

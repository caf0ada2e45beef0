/// Stores the numbered configuration in the platform's object store. It is read as a
/// whole and changed by patches.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/configuration.hpp>
#include <agateseam/object_store.hpp>

namespace agateseam
{

/// The store key of the index object, which refers to the chunk objects.
inline constexpr std::string_view config_index_key = "config/main";

/// \brief One accepted patch.
struct config_change
{
    std::uint64_t number = 0;       ///< The configuration's number after this patch.
    std::string patch_id;           ///< Chosen by the operator's client.
    wall_time when;                 ///< When the patch was written.
    std::string note;               ///< The operator's free text.
    std::vector<std::string> paths; ///< JSON pointers to what the patch changed.
    /// The change as a JSON Patch; empty when it exceeds the size limit.
    std::string diff;
};

/// \brief One version of the configuration with its latest changes.
struct config_state
{
    std::uint64_t number = 0;           ///< 0 before the first patch.
    std::string document;               ///< JSON text.
    std::vector<config_change> history; ///< Oldest first; the last one led to `number`.
    std::uint64_t version = 0;          ///< The store version of the index object.
};

/// The format of a patch's text.
enum class patch_format : std::uint8_t
{
    merge_patch, ///< RFC 7396.
    json_patch   ///< RFC 6902.
};

/// \brief A patch that an operator sends.
struct config_patch
{
    std::uint64_t expected_number = 0; ///< The number that the patch is based on.
    std::string id;                    ///< The same in every repeat of this patch.
    std::string note;
    patch_format format = patch_format::merge_patch;
    std::string text;
};

/// The result of a patch.
enum class patch_verdict : std::uint8_t
{
    applied, ///< Is in the store, through this call or an earlier one with this id.
    stale    ///< Is based on an old number; nothing changed.
};

/// \brief The answer to a patch.
struct patch_outcome
{
    patch_verdict verdict = patch_verdict::applied;
    std::uint64_t number = 0; ///< Made by the patch; if stale, the current number.
    config_state current;     ///< The configuration now in the store.
    std::vector<std::string> changed; ///< If stale: the paths changed since.
    /// Whether the history goes back to the patch's expected number, so that `changed` is
    /// complete.
    bool changed_known = true;
};

/// \brief Reads and patches the configuration; not thread-safe.
///
/// \remarks The workspaces are distributed over chunk objects. A chunk is written under a
/// new key before the index that refers to it, and never changes afterwards, so a reader
/// always sees one complete version. A read fetches only chunks that are new since the
/// previous call.
class config_store
{
  public:
    /// \param store, clock must outlive the result.
    /// \param writer the unique name of this instance: no other instance in any process
    /// may ever use the same one.
    [[nodiscard]] static std::unique_ptr<config_store>
    create(object_store& store, const clock_source& clock, std::string_view writer);

    virtual ~config_store() = default;

    /// \brief Reads the current configuration; its number is 0 when there is none yet.
    [[nodiscard]] virtual result<config_state> read() = 0;

    /// \brief Applies a patch.
    /// \returns `invalid` with all errors when the patched configuration breaks a rule;
    /// `unavailable` when the patch certainly had no effect; `timeout` when its effect is
    /// unknown, in which case a repeat with the same id tells the result.
    [[nodiscard]] virtual result<patch_outcome> patch(const config_patch& requested) = 0;
};

} // namespace agateseam

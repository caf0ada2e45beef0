/// The numbered configuration in the platform's store: read whole, changed by patches.
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

/// The store's key of the configuration's index; the objects it names hold the rest.
inline constexpr std::string_view config_key = "config/main";

/// \brief One accepted patch.
struct config_change
{
    std::uint64_t number = 0; ///< The configuration's number since this patch.
    std::string patch_id;     ///< Chosen by the operator's client.
    wall_time when;
    std::string note;               ///< The operator's words.
    std::vector<std::string> paths; ///< JSON pointers of what differs since the last one.
    std::string diff; ///< JSON Patch from the last one; empty when over the size limit.
};

/// \brief One version of the configuration with its recent past.
struct config_state
{
    std::uint64_t number = 0;           ///< 0 before the first patch.
    std::string document;               ///< JSON text.
    std::vector<config_change> history; ///< Oldest first; the newest made `number`.
    std::uint64_t version = 0;          ///< Of the index object.
};

/// How a patch's text is meant.
enum class patch_format : std::uint8_t
{
    merge_patch, ///< RFC 7396.
    json_patch   ///< RFC 6902.
};

/// \brief A patch as an operator sends it.
struct config_patch
{
    std::uint64_t against = 0; ///< The number that the operator saw.
    std::string id;            ///< The same for every repeat of this patch.
    std::string note;
    patch_format format = patch_format::merge_patch;
    std::string text;
};

/// What a patch came to.
enum class patch_verdict : std::uint8_t
{
    applied, ///< In the store, now or by an earlier call with the same id.
    stale    ///< Made against an old number; nothing changed.
};

/// \brief The answer to a patch.
struct patch_outcome
{
    patch_verdict verdict = patch_verdict::applied;
    std::uint64_t number = 0;         ///< That the patch made, or the current one.
    config_state current;             ///< As the store holds it now.
    std::vector<std::string> changed; ///< If stale: the paths that differ since.
    bool changed_known =
        true; ///< Whether the history reaches back to the patch's number.
};

/// \brief Reads and patches the configuration; not for several threads at once.
///
/// \remarks Workspaces are spread over chunk objects, each written under a name of its
/// own before the index that names it, and never changed: a reader sees one version or
/// the next. Only chunks that are new since the last call are read.
class config_store
{
  public:
    /// \param store, clock must outlive the result.
    /// \param writer names this instance; no other instance, in any process at any time,
    /// has the same name.
    [[nodiscard]] static std::unique_ptr<config_store>
    create(object_store& store, const clock_source& clock, std::string_view writer);

    virtual ~config_store() = default;

    /// \brief Reads the current configuration; number 0 when there is none yet.
    [[nodiscard]] virtual result<config_state> read() = 0;

    /// \brief Applies a patch.
    /// \returns `invalid` with every fault when the result breaks a rule; `unavailable`
    /// when it certainly did not take effect; `timeout` when that is not known: a repeat
    /// with the same id finds out.
    [[nodiscard]] virtual result<patch_outcome> patch(const config_patch& wanted) = 0;
};

} // namespace agateseam

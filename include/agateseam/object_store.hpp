/// The platform's object API as the library sees it: versions, conditional updates,
/// watches and the list of VMs.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief One object as the store holds it.
struct object_record
{
    std::string key;           ///< Slash-separated, such as "config/main".
    std::string value;         ///< At most one megabyte.
    std::uint64_t version = 0; ///< Rises with each change of this object; 0 is "absent".
};

/// \brief One VM as the platform lists it; the list lags.
struct vm_record
{
    std::string name;           ///< Unique for this VM; a replacement has another.
    std::string address;        ///< "IP:port" of the system's process on it.
    std::string role;           ///< "entry" or "agent".
    std::string failure_domain; ///< Such as "khomas-a".
    bool leaving = false;       ///< Whether the platform means to take it away.
};

/// \brief The store's calls; each may block, and each may fail after it took effect.
///
/// \remarks `error_code::timeout` and `error_code::broken` mean that the effect of a
/// write is unknown: read back before deciding. `error_code::unavailable` means that it
/// had none.
class object_store
{
  public:
    virtual ~object_store() = default;

    /// \brief Reads one object; `not_found` when it is absent.
    [[nodiscard]] virtual result<object_record> get(std::string_view key) = 0;

    /// \brief Reads all objects whose keys begin with the prefix.
    [[nodiscard]] virtual result<std::vector<object_record>>
    list(std::string_view prefix) = 0;

    /// \brief Writes an object if its version is still the one given (0: if it is
    /// absent). \returns the new version; `conflict` when the condition failed.
    [[nodiscard]] virtual result<std::uint64_t>
    put(std::string_view key, std::string_view value, std::uint64_t expected_version) = 0;

    /// \brief Removes an object if its version is still the one given.
    [[nodiscard]] virtual result<void> remove(std::string_view key,
                                              std::uint64_t expected_version) = 0;

    /// \brief Waits for an object to pass a version, or for the time to run out.
    /// \returns the object when it passed; nothing when the time ran out.
    [[nodiscard]] virtual result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) = 0;

    /// \brief Reads the platform's list of VMs.
    [[nodiscard]] virtual result<std::vector<vm_record>> vms() = 0;
};

} // namespace agateseam

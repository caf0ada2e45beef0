/// Interface to the platform's object store: versioned objects, conditional updates,
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

/// \brief One object of the store.
struct object_record
{
    std::string key;           ///< A slash-separated key, such as "config/main".
    std::string value;         ///< At most one megabyte.
    std::uint64_t version = 0; ///< Rises with each change of the object; 0 means absent.
};

/// \brief One VM of the platform's list, which lags behind the actual state.
struct vm_record
{
    std::string name;           ///< Unique; a replacement VM has another name.
    std::string address;        ///< "IP:port" of the entry or agent process on it.
    std::string role;           ///< "entry" or "agent".
    std::string failure_domain; ///< Such as "zone-a".
    bool leaving = false;       ///< Whether the platform is about to remove the VM.
};

/// \brief The calls of the store. Each may block, and each may fail after it took effect.
///
/// \remarks After `error_code::timeout` and `error_code::broken` the effect of a write is
/// unknown, and the caller should read the object to find out. After
/// `error_code::unavailable` the write had no effect.
class object_store
{
  public:
    virtual ~object_store() = default;

    /// \brief Reads one object; `not_found` when it is absent.
    [[nodiscard]] virtual result<object_record> get(std::string_view key) = 0;

    /// \brief Reads all objects whose keys begin with the prefix.
    [[nodiscard]] virtual result<std::vector<object_record>>
    list(std::string_view prefix) = 0;

    /// \brief Writes an object if it still has the expected version (0: if it is absent).
    /// \returns the new version, or `conflict` when the version differs.
    [[nodiscard]] virtual result<std::uint64_t>
    put(std::string_view key, std::string_view value, std::uint64_t expected_version) = 0;

    /// \brief Removes an object if it still has the expected version.
    [[nodiscard]] virtual result<void> remove(std::string_view key,
                                              std::uint64_t expected_version) = 0;

    /// \brief Waits until an object's version is above the given one, or the wait ends.
    /// \returns the object, or nothing when the wait ended first.
    [[nodiscard]] virtual result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) = 0;

    /// \brief Reads the platform's list of VMs.
    [[nodiscard]] virtual result<std::vector<vm_record>> vms() = 0;
};

} // namespace agateseam

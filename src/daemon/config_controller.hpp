/// Keeps the blackboard's configuration as new as the store's, and applies patches.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// The store's key of the configuration.
inline constexpr std::string_view config_key = "config/main";

/// \brief The configuration as the store holds it.
struct stored_configuration
{
    std::uint64_t number = 0;
    std::string patch_id;      ///< Of the patch that made it.
    std::string document;      ///< JSON text.
    std::uint64_t version = 0; ///< The object's version in the store.
};

/// \brief Reads the configuration; an empty one with number 0 when there is none yet.
[[nodiscard]] result<stored_configuration> read_configuration(object_store& store);

/// \brief Applies a JSON merge patch made against a number.
/// \returns the new configuration; `conflict` when the number is stale, `invalid` with
/// every fault when the result breaks a rule.
[[nodiscard]] result<stored_configuration>
patch_configuration(object_store& store, std::uint64_t against, std::string_view patch_id,
                    std::string_view merge_patch);

/// \brief Watches the configuration on a thread of its own.
class config_controller
{
  public:
    explicit config_controller(entry_context& shared);
    ~config_controller();
    config_controller(const config_controller&) = delete;
    config_controller& operator=(const config_controller&) = delete;

  private:
    void run();
    void take(const object_record& record);

    entry_context* context;
    std::atomic<bool> stopping{false};
    std::thread worker;
};

} // namespace agateseam

/// Keeps the blackboard's configuration as new as the store's.
#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

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
    [[nodiscard]] bool refresh();
    [[nodiscard]] bool take(config_state state);

    entry_context* context;
    std::unique_ptr<config_store> configs;
    std::uint64_t version = 0; ///< Of the index object that was read last.
    std::atomic<bool> stopping{false};
    std::thread worker;
};

} // namespace agateseam

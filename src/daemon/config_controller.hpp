/// Keeps the blackboard's configuration as new as the store's and the peers'.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Follows the store or a peer, as the relay decides, and probes other peers.
class config_controller
{
  public:
    explicit config_controller(entry_context& shared);
    ~config_controller();
    config_controller(const config_controller&) = delete;
    config_controller& operator=(const config_controller&) = delete;

  private:
    void follow();
    void probe();
    [[nodiscard]] bool follow_store();
    [[nodiscard]] bool ask(const peer_record& peer, std::chrono::milliseconds wait);
    [[nodiscard]] bool take(config_state state);
    void renew_admission();

    entry_context* context;
    std::unique_ptr<config_store> configs;
    std::uint64_t version = 0; ///< Of the index object that was read last.
    std::mutex taking;         ///< One state is taken at a time.
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; ///< Guarded by the mutex.
    std::thread follower;
    std::thread prober;
};

} // namespace agateseam

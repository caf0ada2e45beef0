/// Keeps the blackboard's configuration in step with the store and the peers.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <daemon/entry_context.hpp>

namespace agateseam
{

/// \brief Reads configurations from the store or from a peer, whichever the relay
/// chooses, and probes the other peers.
class config_controller
{
  public:
    explicit config_controller(entry_context& shared);
    ~config_controller();
    config_controller(const config_controller&) = delete;
    config_controller& operator=(const config_controller&) = delete;

  private:
    void follow_sources();
    void probe_peers();
    [[nodiscard]] bool follow_store();
    [[nodiscard]] bool ask_peer(const peer_record& peer, std::chrono::milliseconds wait);
    [[nodiscard]] bool apply_state(config_state state);
    void renew_admission();

    entry_context* context;
    std::unique_ptr<config_store> configs;
    std::uint64_t version = 0; ///< Version of the index object that was read last.
    std::mutex apply_mutex;    ///< Serializes `apply_state`.
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; ///< Guarded by the mutex.
    std::thread follower;
    std::thread prober;
};

} // namespace agateseam

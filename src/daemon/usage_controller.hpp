/// Sends a process's usage to the entry that writes each shard to the store.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <agateseam/object_store.hpp>
#include <daemon/telemetry.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief Flushes usage at the interval from the settings and once more on destruction.
///
/// \remarks Each shard is written by one entry, chosen by hashing over the entries that
/// the platform lists. Two entries that write one shard cause version conflicts, never a
/// wrong sum.
class usage_controller
{
  public:
    /// \param shared, calls must outlive the object.
    usage_controller(process_telemetry& shared, http_client& calls);
    ~usage_controller();
    usage_controller(const usage_controller&) = delete;
    usage_controller& operator=(const usage_controller&) = delete;

  private:
    void run();
    void collect();
    void send();
    void refresh_entries();
    void flush_remaining();

    process_telemetry* telemetry;
    http_client* client;
    std::unique_ptr<object_store> store;
    std::vector<vm_record> entries;
    /// Shared with calls that may end after this object is destroyed.
    std::shared_ptr<std::atomic<bool>> entries_stale;
    time_point entries_read{};
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread worker;
};

/// \brief Returns the entry that writes a shard; null when there is none.
[[nodiscard]] const vm_record* shard_writer(std::uint32_t shard,
                                            const std::vector<vm_record>& entries);

} // namespace agateseam

/// Writes the usage of other processes to the store, several batches in one write.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/usage_batch.hpp>
#include <daemon/telemetry.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// The path at which an entry accepts usage batches.
inline constexpr std::string_view usage_batches_path = "/usage/batches";

/// \brief Returns the current hour of wall-clock time, counted from the epoch.
[[nodiscard]] usage_hour_number current_hour(const clock_source& time) noexcept;

/// \brief Collects batches for half a flush interval, then writes and answers them.
class usage_collector
{
  public:
    /// \param shared, platform must outlive the object.
    usage_collector(process_telemetry& shared, object_store& platform);
    ~usage_collector();
    usage_collector(const usage_collector&) = delete;
    usage_collector& operator=(const usage_collector&) = delete;

    /// \brief Accepts a request with batches and answers it once they are in the store.
    void accept(std::shared_ptr<http_exchange> exchange);

  private:
    struct waiting_call
    {
        std::shared_ptr<http_exchange> exchange;
        std::vector<usage_batch> batches;
    };

    void run();
    void write(std::vector<waiting_call> calls);
    void compact();

    process_telemetry* telemetry;
    object_store* store;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::vector<waiting_call> waiting;
    std::vector<bool> written_shards; ///< By shard: whether this process has written it.
    std::uint64_t compacted_hour = 0;
    std::thread worker;
};

} // namespace agateseam

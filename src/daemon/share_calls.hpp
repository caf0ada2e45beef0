/// Sends share messages by JSON-RPC over HTTP, and reads and writes the homes' records in
/// the store.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <agateseam/object_store.hpp>
#include <agateseam/share_transport.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief Runs blocking jobs on its own threads.
class job_queue
{
  public:
    explicit job_queue(unsigned threads);
    ~job_queue();
    job_queue(const job_queue&) = delete;
    job_queue& operator=(const job_queue&) = delete;

    /// \brief Adds a job; jobs added after `stop` are dropped.
    void add(std::function<void()> job);

    /// \brief Waits for the running jobs and drops the others.
    void stop();

  private:
    void run();

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> jobs;
    bool stopping = false;
    std::vector<std::thread> workers;
};

/// \brief An entry's transport to the other entries and the store.
class share_calls final : public share_transport
{
  public:
    /// \param client and `store` must outlive the object.
    share_calls(std::string secret, http_client& client, object_store& store);

    /// \brief Sets the addresses of the entries, by VM.
    void set_addresses(std::map<std::string, std::string> by_vm);

    void stop();

    void send_report(const std::string& vm, const share_report& report,
                     answer_callback done) override;
    void send_census(const std::string& vm, const share_census& census,
                     census_callback done) override;
    void read_record(std::uint32_t shard, read_callback done) override;
    void write_record(std::uint32_t shard, const shard_home_record& record,
                      std::uint64_t expected_version, write_callback done) override;

  private:
    [[nodiscard]] result<std::string> call(const std::string& vm, const std::string& name,
                                           const std::string& parameters);

    std::string fleet_secret;
    http_client* http;
    object_store* objects;
    std::mutex mutex;
    std::map<std::string, std::string> addresses; ///< By VM.
    job_queue peer_jobs;
    job_queue store_jobs;
};

} // namespace agateseam

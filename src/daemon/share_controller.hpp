/// Shares each workspace's allowance among the entries, by JSON-RPC between them and by
/// the homes' records in the platform's store.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>

#include <agateseam/configuration.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/share_coordinator.hpp>
#include <net/http_client.hpp>
#include <net/jsonrpc_facade.hpp>

namespace agateseam
{

class share_calls;

/// \brief The entry's admission; sends due share messages on its own thread.
class share_controller final : public admission
{
  public:
    /// \param incarnation greater than that of every earlier process on the VM.
    [[nodiscard]] static result<std::unique_ptr<share_controller>>
    create(const clock_source& time, const std::string& vm, std::uint64_t incarnation,
           const std::string& fleet_secret, http_client& client, object_store& store);

    ~share_controller() override;
    share_controller(const share_controller&) = delete;
    share_controller& operator=(const share_controller&) = delete;

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

    /// \brief Reserves tokens; asks the home when the local share is not enough.
    /// \param done called exactly once, either before the return or later on another
    /// thread.
    void reserve_async(std::string_view workspace, double tokens,
                       share_holder::decision_callback done);

    /// \brief Sets the rates and bursts from a configuration.
    void configure(const configuration& current);

    /// \brief Sets the entries from the platform's list of VMs; call it after every
    /// reading.
    void set_entries(std::span<const vm_record> listed);

    /// \brief Serves a JSON-RPC request of another entry.
    [[nodiscard]] std::string serve(const std::string& request);

    /// \brief Stops the thread and all calls; waiting reservations are dropped.
    void stop();

  private:
    share_controller() = default;

    void run();

    std::unique_ptr<share_calls> calls;
    std::unique_ptr<share_coordinator> coordinator;
    std::unique_ptr<jsonrpc_server> server;
    std::mutex mutex;
    std::condition_variable wake;
    bool poll_requested = false;
    bool stopping = false;
    std::thread worker;
};

} // namespace agateseam

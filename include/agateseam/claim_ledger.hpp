/// Takes claims, records outcomes and releases claims in the platform's store, many of
/// one shard to a write.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include <agateseam/claim.hpp>
#include <agateseam/object_store.hpp>

namespace agateseam
{

/// \brief How a ledger groups and bounds its writes.
struct claim_ledger_options
{
    std::chrono::milliseconds window{4};         ///< Gathers operations of one shard.
    std::chrono::milliseconds wait_limit{2'000}; ///< In the queue, before the store call.
    std::chrono::milliseconds retry_wait{500}; ///< Of outcomes and releases in an outage.
    std::size_t queue_limit = 4'096;           ///< Claims that may wait.
    unsigned threads = 4;                      ///< Shards that are written at once.
};

/// \brief The claims of the fleet as one entry changes them.
///
/// \remarks A claim is granted only by a conditional write to the store, so two entries
/// never grant the same one. Calls back on its own threads.
class claim_ledger
{
  public:
    using claim_callback = std::function<void(result<claim_answer>)>;
    using record_callback = std::function<void(result<void>)>;

    /// \param store, clock must outlive the ledger.
    [[nodiscard]] static result<std::unique_ptr<claim_ledger>>
    create(object_store& store, const clock_source& clock,
           const claim_ledger_options& options);

    virtual ~claim_ledger() = default;

    /// \brief Claims a call.
    /// \param done hears `unavailable` when the store did not confirm the claim: the call
    /// must not be run, and a claim that took effect all the same is released later.
    virtual void claim(claim_order order, claim_callback done) = 0;

    /// \brief Records the outcome of a claimed call.
    /// \param done hears how the first try ended; after a failure the ledger goes on
    /// trying for as long as it runs.
    virtual void record(const claim_order& order, call_outcome outcome,
                        record_callback done) = 0;

    /// \brief Releases the claim of a call that was certainly not run.
    virtual void release(const claim_order& order) = 0;

    /// \brief Ends the threads; whatever waits, and all later calls, end as `cancelled`.
    virtual void stop() = 0;
};

/// \brief Returns the store's key of a shard.
[[nodiscard]] std::string claim_shard_key(std::size_t shard);

} // namespace agateseam

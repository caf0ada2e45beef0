/// Stores claims, outcomes and releases in the platform's store, batched by shard.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include <agateseam/claim.hpp>
#include <agateseam/object_store.hpp>

namespace agateseam
{

/// \brief How a ledger batches and limits its writes.
struct claim_ledger_options
{
    /// How long an operation waits for others of its shard.
    std::chrono::milliseconds batch_window{4};
    /// A claim that was queued for longer is refused without a store call.
    std::chrono::milliseconds max_queue_time{2'000};
    /// Delay before outcomes and releases that could not be written are tried again.
    std::chrono::milliseconds retry_delay{500};
    std::size_t max_queued_claims = 4'096;
    unsigned worker_threads = 4; ///< Also the number of shards written concurrently.
};

/// \brief An entry's access to the claims of the fleet.
///
/// \remarks A claim is granted only by a conditional write to the store, so two entries
/// never grant the same one. Callbacks run on the ledger's own threads.
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
    /// \param done receives `unavailable` when the store did not confirm the claim. The
    /// call must not be run then; if the claim took effect nevertheless, the ledger
    /// releases it later.
    virtual void claim(claim_request request, claim_callback done) = 0;

    /// \brief Records the outcome of a claimed call.
    /// \param done receives the result of the first try; after a failure the ledger keeps
    /// trying until the claim expires or the ledger stops.
    virtual void record(const claim_request& request, call_outcome outcome,
                        record_callback done) = 0;

    /// \brief Releases the claim of a call that was certainly not run.
    virtual void release(const claim_request& request) = 0;

    /// \brief Ends the threads; queued operations end as `cancelled`, and later ones are
    /// refused.
    virtual void stop() = 0;
};

/// \brief Returns the store key of a shard.
[[nodiscard]] std::string claim_shard_key(std::size_t shard);

} // namespace agateseam

/// Stand-in for a model engine. It simulates continuous batching, a prefix cache, KV
/// cache export and import with a limited lifetime, cancellation, resuming, and cache
/// events that arrive late and may be lost.
///
/// - `POST /v1/completions`, `POST /v1/chat/completions`: generate an answer. The header
///   `x-request-id` is the id that `/abort` and `/requests` use. The body may contain:
///   - `kv_transfer_params.do_remote_decode`: run only the prefill; the answer's
///     `kv_transfer_params` names the KV cache that waits to be pulled.
///   - `kv_transfer_params.do_remote_prefill`: pull that KV cache first; the answer is
///   409
///     if the KV cache no longer exists.
///   - `resume_from`: the index of the first output token to produce.
/// - `POST /abort {"request_id"}`: cancels a request.
/// - `GET /kv/ID`: transfers a KV cache to another engine; works once for each KV cache.
/// - `GET /requests`: lists the ids of the running and waiting requests.
/// - `GET /load`: reports slots, running and waiting requests; refreshed with a delay.
/// - `GET /cache_events?after=N`: lists the hashes of stored and removed cache blocks;
/// the
///   events arrive late and their sequence numbers may have gaps.
/// - `GET /billing`: reports the tokens that this engine counted for each request id.
/// - `POST /orders {"generation", ...}`: the answer is 409 for an old generation if the
///   engine checks generations.
/// - `PUT /admin/faults {"stall_transfers", "freeze"}`: sets the injected faults.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief Speeds, capacities and delays of the stand-in.
struct engine_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t slots = 20;
    std::chrono::milliseconds step{20}; ///< Time between two tokens of a stream.
    double prefill_tokens_per_second = 20'000;
    double link_tokens_per_second = 400'000; ///< Speed of a KV cache transfer.
    std::chrono::milliseconds kv_lifetime{900};
    std::uint32_t block_tokens = 1'000;
    std::uint32_t cache_blocks = 200;
    std::chrono::milliseconds event_lag{300};
    std::chrono::milliseconds load_lag{200};
    double event_loss = 0;         ///< Fraction of cache events that are lost.
    bool checks_generation = true; ///< Whether old generations are refused.
    std::uint64_t seed = 1;
};

/// \brief A running engine stand-in.
class engine_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<engine_fake>>
    create(const engine_options& options);

    virtual ~engine_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes

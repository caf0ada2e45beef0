/// Stand-in for a model engine: continuous batching, a prefix cache, KV export and import
/// with a lifetime, cancelling, resuming, late cache events with gaps.
///
/// POST /v1/completions, /v1/chat/completions
///     kv_transfer_params.do_remote_decode   prefill only; the answer's
///     kv_transfer_params
///                                           name the KV cache that waits to be pulled
///     kv_transfer_params.do_remote_prefill  pulls that KV cache first; 409 when it is
///     gone resume_from                           the first output token to produce
///     header x-request-id                   the id that /abort and /requests use
/// POST /abort {"request_id"}                cancels
/// GET  /kv/ID                               one engine pulls another's KV cache, once
/// GET  /requests                            ids of what runs or waits
/// GET  /load                                slots, running, waiting; refreshed with a
/// lag GET  /cache_events?after=N                block hashes stored and removed, late,
/// gaps GET  /billing                             what this engine counted, by request id
/// POST /orders {"generation", ...}          409 on an old generation, if it checks
/// PUT  /admin/faults {"stall_transfers", "freeze"}
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <net/http_server.hpp>

namespace agateseam::fakes
{

/// \brief The stand-in's speeds and sizes.
struct engine_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t slots = 20;
    std::chrono::milliseconds step{20}; ///< Between tokens of one stream.
    double prefill_tokens_per_second = 20'000;
    double link_tokens_per_second = 400'000; ///< KV cache pulled.
    std::chrono::milliseconds kv_lifetime{900};
    std::uint32_t block_tokens = 1'000;
    std::uint32_t cache_blocks = 200;
    std::chrono::milliseconds event_lag{300};
    std::chrono::milliseconds load_lag{200};
    double event_loss = 0;         ///< Share of cache events that are never published.
    bool checks_generation = true; ///< Refuses orders with an old generation.
    std::uint64_t seed = 1;
};

/// \brief The running stand-in.
class engine_fake
{
  public:
    [[nodiscard]] static result<std::unique_ptr<engine_fake>>
    create(const engine_options& options);

    virtual ~engine_fake() = default;
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
};

} // namespace agateseam::fakes

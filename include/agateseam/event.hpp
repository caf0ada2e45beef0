/// Typed events about requests, leases, configurations and members of the fleet.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/hybrid_clock.hpp>

namespace agateseam
{

/// \brief The kind of an event; it says what `event::value` and `event::detail` hold.
enum class event_kind : std::uint8_t
{
    admitted,   ///< A request is within its workspace's allowance; value: tokens.
    refused,    ///< A request was refused; detail: the error's code.
    queued,     ///< A request waits for a slot or a prefill; value: requests ahead of it.
    placed,     ///< Agents were chosen for a request; peer: the decode VM.
    sent,       ///< An attempt was sent to an agent; peer: the agent's VM.
    slot_taken, ///< An attempt occupies a decode or service slot.
    prefill_begun,  ///< A prefill started; value: prompt tokens.
    prefill_ended,  ///< A prefill finished; value: cached tokens.
    prefill_lost,   ///< A prefill's result was never decoded; value: prompt tokens.
    transfer_begun, ///< A KV cache transfer started; peer: the prefill VM.
    transfer_ended, ///< A KV cache transfer finished; peer: the prefill VM.
    first_token,    ///< The first token was sent to the caller.
    attempt_failed, ///< An attempt failed; detail: the error's code.
    resumed,   ///< Another attempt continues the answer; value: tokens already delivered.
    ended,     ///< A request was answered completely; value: output tokens.
    cancelled, ///< The caller disconnected; value: output tokens delivered.
    released,  ///< A decode or service slot was freed.
    service_begun,   ///< A plain service was called.
    service_ended,   ///< A plain service answered; value: the HTTP status.
    claimed,         ///< An idempotency key was claimed before the call was run.
    outcome_unknown, ///< It is unknown whether a call ran to its end.
    late_dropped,    ///< An answer that came late or for another attempt was dropped.
    lease_granted, ///< A lease was granted; detail: its kind; value: tokens per second or
                   ///< milliseconds, depending on the kind.
    lease_renewed, ///< A lease was renewed; value: as for `lease_granted`.
    lease_lapsed,  ///< A lease expired.
    lease_returned,  ///< The holder returned a lease before it expired.
    share_granted,   ///< A share of an allowance was received; value: tokens per second.
    share_given,     ///< A share of an allowance was given away.
    config_in_force, ///< A configuration took effect; value: its number.
    key_withdrawn,   ///< An API key was revoked.
    member_joined,   ///< A process joined the fleet; peer: its VM.
    member_leaving,  ///< A process announced that it is leaving; peer: its VM.
    member_silent,   ///< A process's heartbeats stopped; peer: its VM.
    member_gone,     ///< A process was removed from the fleet; peer: its VM.
    store_lost,      ///< The platform's store stopped answering.
    store_back,      ///< The platform's store answers again.
    process_started, ///< A process started; value: its incarnation.
    drain_begun,     ///< A graceful shutdown began.
    usage_flushed,   ///< Usage was written to the platform's store; value: batches.
    engine_order_refused, ///< An agent refused an order of an outdated generation.
    last = engine_order_refused
};

/// \brief Returns the name of a kind, as in "first_token".
[[nodiscard]] std::string_view to_string(event_kind kind) noexcept;

/// \brief Returns the kind with a name; `not_found` if there is none.
[[nodiscard]] result<event_kind> parse_event_kind(std::string_view name);

/// \brief The non-owning arguments of event_log::add; longer texts are truncated.
struct event_view
{
    event_kind kind = event_kind::admitted;
    std::string_view request;   ///< See event_log::max_request_id_length.
    std::uint32_t attempt = 0;  ///< 0 outside an attempt.
    std::string_view workspace; ///< As peer and detail, see event_log::max_text_length.
    std::string_view peer;      ///< The other VM that takes part, if any.
    std::int64_t value = 0;     ///< A number whose meaning depends on `kind`.
    /// An error code or a kind of lease; never an API key or a prompt.
    std::string_view detail;
};

/// \brief An event as stored in the event log.
struct event
{
    std::uint64_t sequence = 0; ///< Counts from 1 within one incarnation.
    hybrid_time stamp;          ///< When the event was added.
    event_kind kind = event_kind::admitted;
    std::uint32_t attempt = 0;
    std::int64_t value = 0;
    std::string process; ///< The name of the VM whose process added the event.
    std::string request;
    std::string workspace;
    std::string peer;
    std::string detail;
};

} // namespace agateseam

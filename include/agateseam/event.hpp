/// Typed events in the life of requests, leases and configurations.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/hybrid_clock.hpp>

namespace agateseam
{

/// \brief What happened.
enum class event_kind : std::uint8_t
{
    admitted,             ///< A request fits its workspace's allowance; value: tokens.
    refused,              ///< A request was refused; detail: the error's code.
    queued,               ///< Waits for a slot or a prefill; value: those before it.
    placed,               ///< Agents were chosen; peer: the decode VM.
    sent,                 ///< An attempt was handed over; peer: its VM.
    slot_taken,           ///< A decode or service slot is held.
    prefill_begun,        ///< value: prompt tokens.
    prefill_ended,        ///< value: cached tokens.
    prefill_lost,         ///< The result was not decoded; value: prompt tokens.
    transfer_begun,       ///< peer: the prefill VM.
    transfer_ended,       ///< peer: the prefill VM.
    first_token,          ///< The first token went to the caller.
    attempt_failed,       ///< detail: the error's code.
    resumed,              ///< Goes on elsewhere; value: tokens delivered before.
    ended,                ///< Answered whole; value: output tokens.
    cancelled,            ///< The caller has gone; value: output tokens delivered.
    released,             ///< A slot is free again.
    service_begun,        ///< A plain service was called.
    service_ended,        ///< value: its status.
    claimed,              ///< An idempotency key was claimed before the run.
    outcome_unknown,      ///< The outcome of a run was lost.
    late_dropped,         ///< A late or crossed answer was dropped.
    lease_granted,        ///< value: tokens per second or milliseconds, by detail.
    lease_renewed,        ///< value: as for the grant.
    lease_lapsed,         ///< The lease ended by time.
    lease_returned,       ///< The holder gave the lease back.
    share_granted,        ///< A share of an allowance arrived; value: tokens per second.
    share_given,          ///< A share of an allowance was given away.
    config_in_force,      ///< value: the configuration's number.
    key_withdrawn,        ///< A key stopped working.
    member_joined,        ///< peer: the VM.
    member_leaving,       ///< peer: the VM.
    member_silent,        ///< peer: the VM.
    member_gone,          ///< peer: the VM.
    store_lost,           ///< The platform's store stopped answering.
    store_back,           ///< The platform's store answers again.
    process_started,      ///< value: the incarnation.
    drain_begun,          ///< A graceful shutdown began.
    usage_flushed,        ///< value: rows written.
    engine_order_refused, ///< An order with an old generation was refused.
    last = engine_order_refused
};

/// \brief Returns the name of a kind, as in "first_token".
[[nodiscard]] std::string_view to_string(event_kind kind) noexcept;

/// \brief Finds a kind by its name; `not_found` when there is none.
[[nodiscard]] result<event_kind> event_kind_named(std::string_view name);

/// \brief What a caller of event_log::add says; longer texts are cut when kept.
struct event_note
{
    event_kind kind = event_kind::admitted;
    std::string_view request;   ///< At most event_log::request_size characters are kept.
    std::uint32_t attempt = 0;  ///< 0 outside an attempt.
    std::string_view workspace; ///< At most event_log::name_size characters are kept.
    std::string_view peer;      ///< The other VM, if one takes part.
    std::int64_t value = 0;     ///< A count; its meaning goes with the kind.
    std::string_view detail;    ///< A code or a kind of lease; never a key or a prompt.
};

/// \brief An event as it was kept.
struct event
{
    std::uint64_t sequence = 0; ///< Counts from 1 within one incarnation.
    hybrid_time stamp;
    event_kind kind = event_kind::admitted;
    std::uint32_t attempt = 0;
    std::int64_t value = 0;
    std::string process; ///< The VM whose process it belongs to.
    std::string request;
    std::string workspace;
    std::string peer;
    std::string detail;
};

} // namespace agateseam

#include <agateseam/event.hpp>

#include <array>

namespace agateseam
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(event_kind::last) + 1>
    kind_names{"admitted",
               "refused",
               "queued",
               "placed",
               "sent",
               "slot_taken",
               "prefill_begun",
               "prefill_ended",
               "prefill_lost",
               "transfer_begun",
               "transfer_ended",
               "first_token",
               "attempt_failed",
               "resumed",
               "ended",
               "cancelled",
               "released",
               "service_begun",
               "service_ended",
               "claimed",
               "outcome_unknown",
               "late_dropped",
               "lease_granted",
               "lease_renewed",
               "lease_lapsed",
               "lease_returned",
               "share_granted",
               "share_given",
               "config_in_force",
               "key_withdrawn",
               "member_joined",
               "member_leaving",
               "member_silent",
               "member_gone",
               "store_lost",
               "store_back",
               "process_started",
               "drain_begun",
               "usage_flushed",
               "engine_order_refused"};

} // namespace

std::string_view to_string(event_kind kind) noexcept
{
    const auto index = static_cast<std::size_t>(kind);
    return index < kind_names.size() ? kind_names[index] : "unknown";
}

result<event_kind> parse_event_kind(std::string_view name)
{
    for (std::size_t index = 0; index < kind_names.size(); ++index)
    {
        if (kind_names[index] == name)
        {
            return static_cast<event_kind>(index);
        }
    }
    return fail(error_code::not_found, "read event", "", "no such kind of event");
}

} // namespace agateseam

#include <gateway/usage_recorder.hpp>

#include <gateway/request_scope.hpp>

namespace agateseam
{

namespace
{

/// Usage is kept by hours of wall clock time, as bills are.
usage_hour_number current_hour()
{
    return static_cast<usage_hour_number>(
        std::chrono::floor<std::chrono::hours>(boot_clock{}.wall_now())
            .time_since_epoch()
            .count());
}

} // namespace

void add_request_usage(const request_scope& scope)
{
    if (scope.workspace == nullptr)
    {
        return;
    }
    const bool reached_caller = scope.outcome == "answered" || scope.output_tokens > 0;
    if (!reached_caller)
    {
        return;
    }
    usage_counters request_counters;
    request_counters.requests = 1;
    if (scope.is_model_request())
    {
        request_counters.prompt_tokens =
            static_cast<std::uint64_t>(scope.metadata.prompt_tokens);
        request_counters.output_tokens = static_cast<std::uint64_t>(scope.output_tokens);
    }
    scope.state->usage.add(current_hour(), {scope.workspace->name, scope.service},
                           request_counters);
}

task<void> write_usage(entry_state& state, platform_link& link)
{
    for (const usage_hour_number hour : state.usage.changed_hours())
    {
        const usage_table rows = state.usage.rows(hour);
        const auto stored = co_await link.write_usage(hour, rows);
        if (!stored)
        {
            log_error("usage write failed", stored.error(),
                      {{"hour", static_cast<std::int64_t>(hour)}});
            co_return;
        }
        state.counters.add("agateseam_usage_writes_total");
        state.usage.mark_written(hour, rows, boot_now());
    }
    if (state.store_reachable)
    {
        // Without the store, a restoration of it wouldn't have been heard of yet.
        state.usage.remove_written(current_hour(), boot_now());
    }
}

task<void> write_usage_periodically(entry_state& state, platform_link& link)
{
    for (;;)
    {
        co_await pause_for(*state.loop, state.settings.usage_flush);
        if (!state.draining())
        {
            co_await write_usage(state, link);
        }
    }
}

} // namespace agateseam

#include <daemon/metrics.hpp>

namespace agateseam
{

namespace
{

void write_requests(metric_writer& page, const process_metrics& metrics)
{
    page.counter("agateseam_requests_admitted_total",
                 "Requests inside their workspace's allowance.",
                 metrics.admitted.value());
    const char* name = "agateseam_requests_ended_total";
    const char* help = "Requests by their end.";
    page.counter(name, help, metrics.whole.value(), "end=\"whole\"");
    page.counter(name, help, metrics.cut.value(), "end=\"cut\"");
    page.counter(name, help, metrics.cancelled.value(), "end=\"cancelled\"");
    for (std::size_t code = 0; code < error_code_count; ++code)
    {
        const std::string label =
            "code=\"" + std::string(to_string(static_cast<error_code>(code))) + "\"";
        page.counter("agateseam_requests_refused_total", "Requests refused, by code.",
                     metrics.refused[code].value(), label);
    }
    page.counter("agateseam_attempts_retried_total", "Attempts after a failed one.",
                 metrics.retried.value());
    page.counter("agateseam_streams_resumed_total", "Answers that went on elsewhere.",
                 metrics.resumed.value());
    page.counter("agateseam_late_answers_total", "Late or crossed answers dropped.",
                 metrics.late_answers.value());
    page.counter("agateseam_output_tokens_total", "Output tokens sent to callers.",
                 metrics.output_tokens.value());
    page.summary("agateseam_first_token_seconds", "From the request to its first token.",
                 metrics.first_token_seconds);
    page.summary("agateseam_token_gap_seconds", "Between tokens of one answer.",
                 metrics.token_gap_seconds);
}

void write_service_levels(metric_writer& page, const process_metrics& metrics,
                          time_point now)
{
    page.counter("agateseam_goodput_requests_total",
                 "Requests answered whole within both latency targets.",
                 metrics.good.value());
    page.counter("agateseam_prefill_tokens_total", "Prompt tokens prefilled.",
                 metrics.prefill_tokens.value());
    page.counter("agateseam_wasted_prefill_tokens_total",
                 "Prompt tokens prefilled for an answer nobody received.",
                 metrics.wasted_prefill_tokens.value());
    const workspace_service_level worst = metrics.service_level.worst(now);
    page.gauge("agateseam_worst_workspace_served_ratio",
               "Share served in time of the worst-served workspace, last minutes.",
               worst.served_ratio(),
               "workspace=\"" + escape_label(worst.workspace) + "\"");
    page.counter("agateseam_refused_inside_rate_total",
                 "Requests refused although their allowance had room.",
                 metrics.refused_inside_rate.value());
}

void write_gauges(metric_writer& page, const process_gauges& gauges)
{
    page.gauge("agateseam_slots", "Slots of the backend server.", gauges.slots);
    page.gauge("agateseam_slots_held", "Slots held.", gauges.slots_held);
    page.gauge("agateseam_waiting", "Requests that wait at the agent.", gauges.waiting);
    page.gauge("agateseam_requests_open", "Requests under way.",
               static_cast<double>(gauges.open));
    page.gauge("agateseam_config_number", "Number of the configuration in force.",
               static_cast<double>(gauges.config_number));
    page.counter("agateseam_events_total", "Events added to the time line.",
                 gauges.events);
    page.counter("agateseam_events_dropped_total", "Events left out of the time line.",
                 gauges.events_dropped);
    page.gauge("agateseam_usage_rows_waiting", "Usage rows not yet in the store.",
               static_cast<double>(gauges.usage_rows_waiting));
    page.counter("agateseam_usage_writes_total", "Usage batches written to the store.",
                 gauges.usage_writes);
    page.counter("agateseam_usage_write_failures_total",
                 "Attempts to write usage that failed.", gauges.usage_write_failures);
}

} // namespace

std::string to_prometheus(const process_metrics& metrics, const process_gauges& gauges,
                          time_point now)
{
    metric_writer page;
    write_requests(page, metrics);
    write_service_levels(page, metrics, now);
    page.counter("agateseam_decoded_tokens_total", "Output tokens from the engine.",
                 metrics.decoded_tokens.value());
    page.counter("agateseam_wasted_output_tokens_total",
                 "Output tokens produced that nobody received.",
                 metrics.wasted_output_tokens.value());
    page.counter("agateseam_cancelled_attempts_total", "Attempts whose relay has gone.",
                 metrics.cancelled_attempts.value());
    write_gauges(page, gauges);
    return page.text();
}

} // namespace agateseam

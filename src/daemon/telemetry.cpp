#include <daemon/telemetry.hpp>

#include <charconv>

#include <agateseam/version.hpp>
#include <daemon/api_error.hpp>
#include <daemon/messages.hpp>
#include <net/event_json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr std::size_t max_events_per_answer = 20'000;

std::uint64_t number_argument(const http_request& request, std::string_view name)
{
    const std::string text = request.query_argument(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

process_telemetry::process_telemetry(const daemon_settings& process_settings,
                                     const clock_source& clock, std::uint64_t start)
    : settings(process_settings)
    , time(&clock)
    , incarnation(start)
    , stamps(clock)
    , events(process_settings.vm, stamps)
    , outbox(process_settings.vm, start)
{
    this->events.add(
        {event_kind::process_started, "", 0, "", "", static_cast<std::int64_t>(start)});
}

http_header process_telemetry::stamp_header()
{
    return {std::string(headers::stamp), to_text(this->stamps.tick())};
}

void process_telemetry::merge_stamp(std::string_view text)
{
    if (const auto stamp = parse_hybrid_time(text))
    {
        this->stamps.merge(*stamp);
    }
}

void process_telemetry::merge_stamp(const std::vector<http_header>& head)
{
    for (const auto& [name, value] : head)
    {
        if (name == headers::stamp)
        {
            this->merge_stamp(value);
        }
    }
}

bool process_telemetry::serve(http_exchange& exchange, bool trusted)
{
    const http_request& request = exchange.request();
    if (request.path == "/metrics")
    {
        std::string page =
            to_prometheus(this->metrics, this->read_gauges(), this->time->now());
        if (this->role_metrics)
        {
            page += this->role_metrics();
        }
        exchange.respond(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                         std::move(page));
        return true;
    }
    const bool is_private_page = request.path == "/events" || request.path == "/status";
    if (is_private_page && !trusted)
    {
        respond(exchange, to_api_error({error_code::unauthorized, "telemetry", "",
                                        "the credentials are missing or wrong"},
                                       run_state::not_run));
    }
    else if (request.path == "/events")
    {
        exchange.respond(status_ok, {{"Content-Type", "application/x-ndjson"}},
                         this->event_lines(request));
    }
    else if (request.path == "/status")
    {
        exchange.respond(status_ok, {{"Content-Type", "application/json"}},
                         this->status());
    }
    return is_private_page;
}

process_gauges process_telemetry::read_gauges() const
{
    process_gauges values = this->gauges ? this->gauges() : process_gauges{};
    values.events = this->events.added();
    values.events_dropped = this->events.dropped();
    values.usage_rows_waiting = this->outbox.rows();
    values.usage_writes = this->usage_writes.value();
    values.usage_write_failures = this->usage_write_failures.value();
    return values;
}

std::string process_telemetry::event_lines(const http_request& request) const
{
    std::string lines;
    for (const event& item :
         this->events.after(number_argument(request, "after"), max_events_per_answer))
    {
        lines += to_json(item).dump(-1, ' ', true, json::error_handler_t::replace);
        lines += '\n';
    }
    return lines;
}

std::string process_telemetry::status() const
{
    const process_gauges values = this->read_gauges();
    const bool entry = this->settings.role == daemon_role::entry;
    return json{{"vm", this->settings.vm},
                {"role", entry ? "entry" : "agent"},
                {"version", AGATESEAM_VERSION},
                {"failure_domain", this->settings.failure_domain},
                {"incarnation", this->incarnation},
                {"pool", this->settings.backend.pool},
                {"slots", values.slots},
                {"slots_held", values.slots_held},
                {"waiting", values.waiting},
                {"open", values.open},
                {"config_number", values.config_number},
                {"store_reachable", this->store_reachable.load()},
                {"usage_rows_waiting", values.usage_rows_waiting},
                {"events", values.events},
                {"events_dropped", values.events_dropped},
                {"admitted", this->metrics.admitted.value()},
                {"whole", this->metrics.whole.value()},
                {"good", this->metrics.good.value()},
                {"refused_inside_rate", this->metrics.refused_inside_rate.value()},
                {"output_tokens", this->metrics.output_tokens.value()}}
        .dump();
}

} // namespace agateseam

/// Measures the bytes or CPU seconds that each additional workspace, agent, request,
/// event or flush costs a process.
#include <functional>
#include <iostream>
#include <malloc.h>

#include <cxxopts.hpp>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <agateseam/configuration.hpp>
#include <agateseam/event_log.hpp>
#include <agateseam/forecast.hpp>
#include <agateseam/hybrid_clock.hpp>
#include <agateseam/metrics.hpp>
#include <agateseam/placement.hpp>
#include <agateseam/usage_ledger.hpp>
#include <agateseam/usage_meter.hpp>
#include <bench/forecast_histories.hpp>
#include <daemon/entry_context.hpp>
#include <daemon/messages.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
using json = nlohmann::json;

/// The value measured at one size.
struct size_point
{
    double size = 0;
    double value = 0;
};

/// Returns the slope of the values over the sizes by least squares.
double slope_of(const std::vector<size_point>& points)
{
    double mean_size = 0;
    double mean_value = 0;
    for (const size_point& point : points)
    {
        mean_size += point.size / static_cast<double>(points.size());
        mean_value += point.value / static_cast<double>(points.size());
    }
    double product_sum = 0;
    double square_sum = 0;
    for (const size_point& point : points)
    {
        product_sum += (point.size - mean_size) * (point.value - mean_value);
        square_sum += (point.size - mean_size) * (point.size - mean_size);
    }
    return square_sum > 0 ? product_sum / square_sum : 0;
}

double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

class slope_report
{
  public:
    /// Measures at each size and records the points with their slope.
    void measure(std::string_view role, std::string_view mechanism, std::string_view unit,
                 const std::vector<std::size_t>& sizes,
                 const std::function<double(std::size_t)>& at)
    {
        std::vector<size_point> points;
        json shown_points = json::array();
        for (const std::size_t size : sizes)
        {
            points.push_back({static_cast<double>(size), at(size)});
            shown_points.push_back({{"size", size}, {"value", points.back().value}});
        }
        this->lines.push_back({{"role", role},
                               {"mechanism", mechanism},
                               {"unit", unit},
                               {"slope", slope_of(points)},
                               {"points", shown_points}});
    }

    [[nodiscard]] const json& all() const noexcept { return this->lines; }

  private:
    json lines = json::array();
};

std::string make_document(std::size_t workspaces)
{
    json document{{"pools", {{"drafting", {{"model", "drafter"}}}}}};
    const std::string digits(64, 'a');
    for (std::size_t index = 0; index < workspaces; ++index)
    {
        const std::string name = "workspace-" + std::to_string(index);
        document["workspaces"][name] = {
            {"rate", 1'000},
            {"burst", 10'000},
            {"keys", json::array({{{"id", "key" + std::to_string(index)},
                                   {"salt", "0123456789abcdef"},
                                   {"hash", digits}}})}};
    }
    return document.dump();
}

double bytes_of_configuration(std::size_t workspaces)
{
    const std::string document = make_document(workspaces);
    const double before = heap_bytes();
    auto parsed = configuration::parse(document, 1);
    const auto view = configuration_view::create(std::move(*parsed), document);
    return view ? heap_bytes() - before : 0;
}

double seconds_of_configuration(std::size_t workspaces)
{
    const std::string document = make_document(workspaces);
    const double before = cpu_seconds();
    auto parsed = configuration::parse(document, 1);
    const auto view = configuration_view::create(std::move(*parsed), document);
    return view ? cpu_seconds() - before : 0;
}

std::unique_ptr<member_list> make_members(std::size_t count)
{
    auto list = std::make_unique<member_list>();
    for (std::size_t index = 0; index < count; ++index)
    {
        auto agent = std::make_shared<member>();
        agent->vm = "decode-" + std::to_string(index);
        agent->address = "10.0.0.1:" + std::to_string(index);
        agent->failure_domain = "domain-" + std::to_string(index % 22);
        agent->pool = "drafting";
        agent->kind = index % 3 == 0 ? backend_kind::prefill : backend_kind::decode;
        agent->slots = 20;
        agent->tokens_per_second = 20'000;
        agent->has_reported = true;
        list->all.push_back(std::move(agent));
    }
    return list;
}

double bytes_of_members(std::size_t count)
{
    const double before = heap_bytes();
    const auto list = make_members(count);
    return list ? heap_bytes() - before : 0;
}

double seconds_of_heartbeats(std::size_t count)
{
    const auto list = make_members(100);
    load_report report;
    report.vm = "decode-1";
    report.pool = "drafting";
    report.failure_domain = "domain-1";
    report.incarnation = 1;
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        report.sequence = index + 1;
        const auto parsed = parse_load_report(to_text(report));
        list->all[index % 100]->apply_report(*parsed, time_point{});
    }
    return cpu_seconds() - before;
}

double seconds_of_orders(std::size_t count)
{
    attempt_order order;
    order.id = {"entry-1-1764800000000-1", 1};
    order.workspace = "workspace-1";
    order.prefill_vm = "prefill-1";
    order.prefill_address = "10.0.0.1:8000";
    double tokens = 0;
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto parsed = parse_attempt_order(to_text(order));
        tokens += parsed->output_tokens;
    }
    // Uses the sum, so that the compiler cannot drop the loop.
    return cpu_seconds() - before + tokens * 0;
}

double seconds_of_placement(std::size_t count)
{
    const auto list = make_members(600);
    const auto placer = make_least_load_placement();
    placement_request request_to_place;
    request_to_place.pool = "drafting";
    request_to_place.failure_domain = "domain-1";
    request_to_place.prompt_tokens = 1'000;
    request_to_place.output_tokens = 400;
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        (void)placer->choose(request_to_place, *list, {});
    }
    return cpu_seconds() - before;
}

double seconds_of_events(std::size_t count)
{
    const steady_clock_source time;
    hybrid_clock clock(time);
    event_log log("entry-1", clock);
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        log.add({event_kind::sent, "entry-1-1764800000000-1", 1, "workspace-1",
                 "decode-1", static_cast<std::int64_t>(index)});
    }
    return cpu_seconds() - before;
}

double bytes_of_ring(std::size_t capacity)
{
    const steady_clock_source time;
    hybrid_clock clock(time);
    return static_cast<double>(event_log("entry-1", clock, capacity).bytes());
}

double seconds_of_metering(std::size_t count)
{
    usage_meter meter;
    usage_counters counters;
    counters.output_tokens = 1;
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        meter.add("workspace-" + std::to_string(index % 1'000), "drafting", counters);
    }
    return cpu_seconds() - before;
}

usage_table make_rows(std::size_t count)
{
    usage_table rows;
    for (std::size_t index = 0; index < count; ++index)
    {
        usage_counters& counters =
            rows[{"workspace-" + std::to_string(index), "drafting"}];
        counters = {1'000,      20'000'000, 5'000'000, 400'000, 90'000'000,
                    90'000'000, 1u << 30,   1'000,     1'000,   1'000'000};
    }
    return rows;
}

double bytes_of_outbox(std::size_t rows)
{
    const usage_table table = make_rows(rows);
    const double before = heap_bytes();
    usage_outbox outbox("entry-1", 1);
    outbox.collect(table, 1);
    return heap_bytes() - before;
}

double bytes_of_flush(std::size_t rows)
{
    usage_outbox outbox("entry-1", 1);
    outbox.collect(make_rows(rows), 1);
    return static_cast<double>(to_text(outbox.seal_batches()).size());
}

/// Returns the bytes of an hour's record with the given number of workspaces.
double bytes_of_record_rows(std::size_t rows)
{
    hourly_usage_record hour;
    hour.apply({"entry-1", 1, 1, 0, 1, make_rows(rows)});
    return static_cast<double>(hour.to_text().size());
}

/// Returns the bytes of an hour's record to which the given number of processes wrote.
double bytes_of_record_sources(std::size_t sources)
{
    hourly_usage_record hour;
    for (std::size_t index = 0; index < sources; ++index)
    {
        hour.apply({"entry-" + std::to_string(index), 1'764'800'000'000, 1, 0, 1, {}});
    }
    return static_cast<double>(hour.to_text().size());
}

double seconds_of_record(std::size_t rows)
{
    hourly_usage_record hour;
    hour.apply({"entry-1", 1, 1, 0, 1, make_rows(rows)});
    const double before = cpu_seconds();
    const auto read = hourly_usage_record::parse(hour.to_text());
    return read ? cpu_seconds() - before : 0;
}

double seconds_of_forecasts(std::size_t count)
{
    const auto history = bench::generate_history("weekly", 1);
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        (void)forecast_month(history.hours, {history.target, history.now, 0});
    }
    return cpu_seconds() - before;
}

double seconds_of_quantiles(std::size_t count)
{
    metric_quantiles quantiles;
    const double before = cpu_seconds();
    for (std::size_t index = 0; index < count; ++index)
    {
        quantiles.add(static_cast<double>(index % 97));
    }
    return cpu_seconds() - before;
}

json measure_all()
{
    slope_report report;
    const std::vector<std::size_t> workspaces{1'000, 4'000, 16'000};
    const std::vector<std::size_t> agents{100, 1'000, 10'000};
    const std::vector<std::size_t> calls{20'000, 60'000, 180'000};
    const std::vector<std::size_t> rows{500, 2'000, 8'000};
    const std::vector<std::size_t> small_counts{5, 20, 80};
    report.measure("entry", "configuration view", "bytes per workspace", workspaces,
                   bytes_of_configuration);
    report.measure("entry", "configuration change, parsed whole",
                   "CPU seconds per workspace and change", workspaces,
                   seconds_of_configuration);
    report.measure("entry", "member list", "bytes per agent known", agents,
                   bytes_of_members);
    report.measure("entry", "heartbeat, written, read and taken over",
                   "CPU seconds per heartbeat", calls, seconds_of_heartbeats);
    report.measure("entry", "order, written and read", "CPU seconds per attempt", calls,
                   seconds_of_orders);
    report.measure("entry", "placement over 600 agents by least load",
                   "CPU seconds per request", small_counts, seconds_of_placement);
    report.measure("entry and agent", "event added to the ring", "CPU seconds per event",
                   calls, seconds_of_events);
    report.measure("entry and agent", "event ring", "bytes per event kept",
                   {1'024, 8'192, 65'536}, bytes_of_ring);
    report.measure("entry and agent", "usage metered", "CPU seconds per request", calls,
                   seconds_of_metering);
    report.measure("entry and agent", "quantiles", "CPU seconds per value", calls,
                   seconds_of_quantiles);
    report.measure("entry and agent", "usage outbox", "bytes per workspace used", rows,
                   bytes_of_outbox);
    report.measure("entry and agent", "usage flush",
                   "bytes per workspace used and interval", rows, bytes_of_flush);
    report.measure("entry that writes a shard", "record of a shard and hour",
                   "bytes per workspace", rows, bytes_of_record_rows);
    report.measure("entry that writes a shard", "record of a shard and hour",
                   "bytes per process that used it", agents, bytes_of_record_sources);
    report.measure("entry that writes a shard", "record written and read",
                   "CPU seconds per workspace and write", rows, seconds_of_record);
    report.measure("command line", "forecast", "CPU seconds per workspace", small_counts,
                   seconds_of_forecasts);
    return report.all();
}

int run(int argc, char** argv)
{
    cxxopts::Options options(
        "slopes_bench",
        "Measures the cost of each additional workspace, agent, request or event");
    options.add_options()("json", "print JSON")(
        "check", "accepted without effect; slopes have no bounds")("help", "");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    const json lines = measure_all();
    if (arguments.count("json") > 0)
    {
        std::cout << json{{"slopes", lines}}.dump(2) << '\n';
        return 0;
    }
    for (const json& line : lines)
    {
        std::printf("%-26s %-42s %12.4g %s\n", line["role"].get<std::string>().c_str(),
                    line["mechanism"].get<std::string>().c_str(),
                    line["slope"].get<double>(), line["unit"].get<std::string>().c_str());
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}

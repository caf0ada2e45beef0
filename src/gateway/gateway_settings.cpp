#include <gateway/gateway_settings.hpp>

#include <cmath>
#include <fstream>
#include <sstream>

#include <agateseam/impl/document_reader.hpp>
#include <transport/endpoint.hpp>

namespace agateseam
{

namespace
{

using impl::document_errors;
using impl::section_reader;
using std::chrono::milliseconds;

constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr double ms_per_s = 1'000;
constexpr double min_window_s = 1;
constexpr double max_window_s = 3'600;
constexpr double max_tokens = 1e15;
constexpr double max_memory_mb = 1e9;
constexpr double min_descriptors = 64;
constexpr double max_descriptors = 1e9;
constexpr double max_link_mbps = 1e9;
constexpr double default_memory_mb = 256;
constexpr double bytes_per_mb = 1 << 20;

milliseconds to_milliseconds(double seconds)
{
    return milliseconds(std::llround(seconds * ms_per_s));
}

std::string read_address(section_reader& section, std::string_view key, bool required)
{
    std::string address =
        required ? section.text(key) : section.text(key, std::string_view{});
    if (!address.empty() && !parse_endpoint(address))
    {
        section.add_error(key, "must be IP:port");
    }
    return address;
}

void read_seeds(section_reader& section, gateway_settings& settings)
{
    for (std::string& seed : section.string_list("seeds"))
    {
        if (!parse_endpoint(seed))
        {
            section.add_error("seeds", "must be a list of IP:port");
        }
        settings.seeds.push_back(std::move(seed));
    }
}

void read_regions(const nlohmann::json& source, gateway_settings& settings,
                  document_errors& errors)
{
    if (!source.is_object())
    {
        return;
    }
    section_reader section(source, "/regions", errors);
    for (const auto& [domain, region] : source.items())
    {
        settings.regions[domain] = section.text(domain);
    }
}

void read_fleet(const nlohmann::json& source, fleet_ledger_options& options,
                document_errors& errors)
{
    section_reader section(source, "/fleet", errors);
    options.allowance_reserve_tokens =
        section.number("allowance_reserve_tokens", 0, max_tokens, 0.0);
    options.allowance_overage = section.number("allowance_overage", 0, 1, 0.0);
    options.allowance_window = to_milliseconds(
        section.number("allowance_window_s", min_window_s, max_window_s, 8));
    options.repeat_extra = section.number("repeat_extra", 0, max_tokens, 10.0);
    options.repeat_ratio = section.number("repeat_ratio", 0, 1, 0.1);
    options.repeat_window = to_milliseconds(
        section.number("repeat_window_s", min_window_s, max_window_s, 10));
}

log_level parse_log_level(std::string_view name) noexcept
{
    if (name == "debug")
    {
        return log_level::debug;
    }
    return name == "warning" ? log_level::warning : log_level::info;
}

} // namespace

result<gateway_settings> gateway_settings::parse(std::string_view document)
{
    const auto parsed = nlohmann::json::parse(document, nullptr, false, true);
    if (!parsed.is_object())
    {
        return fail(error_code::invalid, "settings", "",
                    "the document is not a JSON object");
    }
    document_errors errors;
    gateway_settings settings;
    {
        section_reader section(parsed, "", errors);
        settings.vm = section.text("vm");
        settings.failure_domain = section.text("failure_domain");
        settings.callers = read_address(section, "callers", true);
        settings.readiness = read_address(section, "readiness", true);
        settings.metrics = read_address(section, "metrics", false);
        settings.peers = read_address(section, "peers", true);
        read_seeds(section, settings);
        settings.store = read_address(section, "store", true);
        const std::int64_t grace_ms =
            section.integer("grace_ms", 0, max_duration_ms, 8'000);
        settings.grace =
            to_milliseconds(section.number("grace_s", 0, max_duration_ms / ms_per_s,
                                           static_cast<double>(grace_ms) / ms_per_s));
        settings.usage_flush =
            std::chrono::seconds(section.integer("usage_flush_s", 1, 3'600, 60));
        settings.memory_bytes = static_cast<std::size_t>(
            section.number("memory_mb", 1, max_memory_mb, default_memory_mb) *
            bytes_per_mb);
        settings.descriptors = static_cast<std::size_t>(
            section.number("descriptors", min_descriptors, max_descriptors,
                           static_cast<double>(settings.descriptors)));
        settings.link_mbps = section.number("link_mbps", 0, max_link_mbps, 0);
        settings.log =
            parse_log_level(section.one_of("log", {"debug", "info", "warning"}, "info"));
        settings.evacuation_time =
            milliseconds(section.integer("evacuation_ms", 0, max_duration_ms, 0));
        settings.pace_servers = section.boolean("pace_servers", false);
        read_regions(section.object("regions", false), settings, errors);
        read_fleet(section.object("fleet", false), settings.ledger, errors);
    }
    if (!errors.empty())
    {
        return fail(error_code::invalid, "settings", "", impl::join_errors(errors));
    }
    return settings;
}

result<gateway_settings> gateway_settings::load(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return fail(error_code::not_found, "settings", file, "the file cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str());
}

} // namespace agateseam

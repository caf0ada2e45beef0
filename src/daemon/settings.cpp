#include <daemon/settings.hpp>

#include <fstream>
#include <sstream>

#include <agateseam/impl/document_reader.hpp>

namespace agateseam
{

namespace
{

using impl::document_errors;
using impl::section_reader;
using std::chrono::milliseconds;

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr double max_memory_mb = 1e9;
constexpr double bytes_per_mb = 1 << 20;
constexpr std::size_t min_secret_length = 16; // Number of characters.

result<std::string> read_file(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return fail(error_code::not_found, "settings", file, "the file cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void read_file_into(section_reader& section, std::string_view key, std::string& text)
{
    const std::string file = section.text(key, "");
    if (file.empty())
    {
        return;
    }
    auto content = read_file(file);
    if (!content)
    {
        section.add_error(key, "names a file that cannot be read: " + file);
        return;
    }
    text = std::move(*content);
}

void read_listen(const nlohmann::json& source, http_server_options& listen,
                 document_errors& errors)
{
    section_reader section(source, "/listen", errors);
    listen.address = section.text("address", "127.0.0.1");
    listen.port = static_cast<std::uint16_t>(section.integer("port", 0, max_port));
    listen.threads = static_cast<unsigned>(section.integer("threads", 1, 256, 2));
    listen.max_connections =
        static_cast<unsigned>(section.integer("connections", 1, 1'000'000, 20'000));
    listen.max_header_bytes =
        static_cast<std::size_t>(section.integer("header_bytes", 1'024, 1 << 20, 32'768));
    listen.max_body_bytes = static_cast<std::size_t>(
        section.integer("body_bytes", 1'024, 1 << 30, 8'388'608));
    listen.memory_bytes = static_cast<std::size_t>(
        section.number("memory_mb", 1, max_memory_mb,
                       static_cast<double>(listen.memory_bytes) / bytes_per_mb) *
        bytes_per_mb);
    listen.idle_timeout =
        std::chrono::seconds(section.integer("idle_seconds", 1, 3'600, 10));
    listen.request_timeout =
        milliseconds(section.integer("request_ms", 100, max_duration_ms, 20'000));
    read_file_into(section, "certificate_file", listen.certificate);
    read_file_into(section, "private_key_file", listen.private_key);
    if (listen.certificate.empty() != listen.private_key.empty())
    {
        section.add_error("certificate_file", "goes together with private_key_file");
    }
}

backend_kind parse_backend_kind(std::string_view name) noexcept
{
    if (name == "prefill")
    {
        return backend_kind::prefill;
    }
    return name == "decode" ? backend_kind::decode : backend_kind::service;
}

void read_backend(const nlohmann::json& source, backend_settings& backend,
                  document_errors& errors)
{
    section_reader section(source, "/backend", errors);
    backend.kind =
        parse_backend_kind(section.one_of("kind", {"prefill", "decode", "service"}));
    backend.pool = section.text("pool");
    backend.url = section.text("url");
    backend.slots = static_cast<std::uint32_t>(section.integer("slots", 1, 100'000, 20));
    backend.queue_limit =
        static_cast<std::uint32_t>(section.integer("queue", 0, 100'000, 256));
    backend.tokens_per_second = section.number("tokens_per_second", 1, 1e9, 20'000.0);
    backend.link_tokens_per_second =
        section.number("link_tokens_per_second", 1, 1e12, 400'000.0);
    backend.kv_bytes_per_token = static_cast<std::uint64_t>(
        section.integer("kv_bytes_per_token", 0, 1 << 30, 131'072));
    backend.checks_generation = section.boolean("checks_generation", true);
    backend.echoes_request_id = section.boolean("echoes_request_id", true);
    if (!backend.url.starts_with("http://") && !backend.url.starts_with("https://"))
    {
        section.add_error("url", "must begin with http:// or https://");
    }
}

void read_limits(const nlohmann::json& source, limit_settings& limits,
                 document_errors& errors)
{
    section_reader section(source, "/limits", errors);
    limits.request_timeout =
        milliseconds(section.integer("request_ms", 100, max_duration_ms, 120'000));
    limits.first_token_timeout =
        milliseconds(section.integer("first_token_ms", 10, max_duration_ms, 30'000));
    limits.silence_timeout =
        milliseconds(section.integer("silence_ms", 200, max_duration_ms, 2'000));
    limits.drain_timeout =
        milliseconds(section.integer("drain_ms", 0, max_duration_ms, 30'000));
    limits.max_members =
        static_cast<std::uint32_t>(section.integer("members", 2, 10'000, 64));
    limits.heartbeats_per_second =
        static_cast<std::uint32_t>(section.integer("heartbeats", 1, 10'000, 40));
    limits.usage_flush_interval =
        milliseconds(section.integer("usage_flush_ms", 50, max_duration_ms, 60'000));
    limits.lease_lifetime =
        milliseconds(section.integer("lease_ms", 1'000, max_duration_ms, 3'000));
    limits.linger = milliseconds(section.integer("linger_ms", 0, max_duration_ms, 3'000));
    limits.retry_ratio = section.number("retry_ratio", 0, 1, 0.2);
    limits.max_attempts =
        static_cast<std::uint32_t>(section.integer("attempts", 1, 10, 6));
    limits.max_output_tokens =
        static_cast<std::uint32_t>(section.integer("output_tokens", 1, 1'000'000, 4'096));
}

std::string read_secret(section_reader& section, std::string_view key)
{
    std::string secret = section.text(key);
    if (!secret.empty() && secret.size() < min_secret_length)
    {
        section.add_error(key, "must have at least 16 characters");
    }
    return secret;
}

log_level parse_log_level(std::string_view name) noexcept
{
    if (name == "debug")
    {
        return log_level::debug;
    }
    if (name == "warning")
    {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

daemon_settings read_root(const nlohmann::json& document, document_errors& errors)
{
    daemon_settings settings;
    section_reader root(document, "", errors);
    const std::string role = root.one_of("role", {"entry", "agent"});
    settings.role = role == "agent" ? daemon_role::agent : daemon_role::entry;
    settings.vm = root.text("vm");
    settings.failure_domain = root.text("failure_domain");
    read_listen(root.object("listen", true), settings.listen, errors);
    settings.platform_url = root.text("platform_url");
    settings.fleet_secret = read_secret(root, "fleet_secret");
    if (settings.role == daemon_role::entry)
    {
        settings.operator_token = read_secret(root, "operator_token");
    }
    else
    {
        read_backend(root.object("backend", true), settings.backend, errors);
    }
    read_limits(root.object("limits", false), settings.limits, errors);
    settings.log = parse_log_level(
        root.one_of("log", {"debug", "info", "warning", "error"}, "info"));
    return settings;
}

} // namespace

result<daemon_settings> daemon_settings::parse(std::string_view document)
{
    const nlohmann::json parsed = nlohmann::json::parse(document, nullptr, false, true);
    if (parsed.is_discarded())
    {
        return fail(error_code::invalid, "settings", "", "/: is not JSON with comments");
    }
    document_errors errors;
    daemon_settings settings = read_root(parsed, errors);
    if (!errors.empty())
    {
        return fail(error_code::invalid, "settings", "", impl::join_errors(errors));
    }
    return settings;
}

result<daemon_settings> daemon_settings::load(const std::string& file)
{
    const auto text = read_file(file);
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    return parse(*text);
}

} // namespace agateseam

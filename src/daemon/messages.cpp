#include <daemon/messages.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

/// Parses one message; it is invalid when a field is missing or has the wrong type.
template <typename Message, typename Reader>
result<Message> parse_message(std::string_view text, std::string_view step, Reader reader)
{
    try
    {
        return reader(json::parse(text));
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, step, "", fault.what());
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

error_code parse_error_code(std::string_view name) noexcept
{
    for (int value = 0; value <= static_cast<int>(error_code::internal); ++value)
    {
        if (to_string(static_cast<error_code>(value)) == name)
        {
            return static_cast<error_code>(value);
        }
    }
    return error_code::internal;
}

json to_id_list(const std::vector<attempt_id>& ids)
{
    json names = json::array();
    for (const attempt_id& id : ids)
    {
        names.push_back(to_text(id));
    }
    return names;
}

result<std::vector<attempt_id>> parse_id_list(const json& names)
{
    std::vector<attempt_id> ids;
    for (const json& name : names)
    {
        auto id = parse_attempt_id(name.get_ref<const std::string&>());
        if (!id)
        {
            return tl::unexpected<error>(id.error());
        }
        ids.push_back(std::move(*id));
    }
    return ids;
}

run_state parse_run_state(std::string_view name) noexcept
{
    if (name == "not_run")
    {
        return run_state::not_run;
    }
    return name == "ran" ? run_state::ran : run_state::unknown;
}

} // namespace

std::string to_text(const attempt_id& id)
{
    return id.request + "." + std::to_string(id.attempt);
}

result<attempt_id> parse_attempt_id(std::string_view text)
{
    const std::size_t dot = text.rfind('.');
    attempt_id id;
    if (dot != std::string_view::npos && dot > 0)
    {
        id.request = text.substr(0, dot);
        const char* const end = text.data() + text.size();
        const auto read = std::from_chars(text.data() + dot + 1, end, id.attempt);
        if (read.ec == std::errc() && read.ptr == end && id.attempt > 0)
        {
            return id;
        }
    }
    return fail(error_code::invalid, "read attempt", "",
                "an attempt is named REQUEST.ATTEMPT");
}

std::string to_text(const lease_order& order)
{
    return json{{"renew", to_id_list(order.renew)}, {"end", to_id_list(order.end)}}
        .dump();
}

result<lease_order> parse_lease_order(std::string_view text)
{
    return parse_message<lease_order>(
        text, "read leases",
        [](const json& source) -> result<lease_order>
        {
            auto renew = parse_id_list(source.at("renew"));
            auto end = parse_id_list(source.at("end"));
            if (!renew || !end)
            {
                return tl::unexpected<error>(renew ? end.error() : renew.error());
            }
            return lease_order{std::move(*renew), std::move(*end)};
        });
}

std::string lease_reply_text(const std::vector<attempt_id>& unknown)
{
    return json{{"unknown", to_id_list(unknown)}}.dump();
}

result<std::vector<attempt_id>> parse_lease_reply(std::string_view text)
{
    return parse_message<std::vector<attempt_id>>(
        text, "read leases",
        [](const json& source) { return parse_id_list(source.at("unknown")); });
}

std::string to_text(const attempt_order& order)
{
    return json{{"request", order.id.request},
                {"attempt", order.id.attempt},
                {"workspace", order.workspace},
                {"weight", order.weight},
                {"method", order.method},
                {"path", order.path},
                {"idempotency_key", order.idempotency_key},
                {"repeatable", order.repeatable},
                {"prefill_vm", order.prefill_vm},
                {"prefill_address", order.prefill_address},
                {"prompt_tokens", order.prompt_tokens},
                {"output_tokens", order.output_tokens},
                {"resume_from", order.resume_from},
                {"deadline_ms", order.deadline.count()}}
        .dump(-1, ' ', true, json::error_handler_t::replace);
}

result<attempt_order> parse_attempt_order(std::string_view text)
{
    return parse_message<attempt_order>(
        text, "read order",
        [](const json& source)
        {
            attempt_order order;
            source.at("request").get_to(order.id.request);
            source.at("attempt").get_to(order.id.attempt);
            source.at("workspace").get_to(order.workspace);
            source.at("weight").get_to(order.weight);
            source.at("method").get_to(order.method);
            source.at("path").get_to(order.path);
            source.at("idempotency_key").get_to(order.idempotency_key);
            source.at("repeatable").get_to(order.repeatable);
            source.at("prefill_vm").get_to(order.prefill_vm);
            source.at("prefill_address").get_to(order.prefill_address);
            source.at("prompt_tokens").get_to(order.prompt_tokens);
            source.at("output_tokens").get_to(order.output_tokens);
            source.at("resume_from").get_to(order.resume_from);
            order.deadline =
                std::chrono::milliseconds(source.at("deadline_ms").get<long>());
            return order;
        });
}

std::string to_text(const load_report& report)
{
    return json{{"vm", report.vm},
                {"sequence", report.sequence},
                {"incarnation", report.incarnation},
                {"kind", to_string(report.kind)},
                {"pool", report.pool},
                {"failure_domain", report.failure_domain},
                {"slots", report.slots},
                {"used", report.used},
                {"queued", report.queued},
                {"queued_tokens", report.queued_tokens},
                {"tokens_per_second", report.tokens_per_second},
                {"leaving", report.leaving}}
        .dump();
}

result<load_report> parse_load_report(std::string_view text)
{
    return parse_message<load_report>(
        text, "read load",
        [](const json& source)
        {
            load_report report;
            source.at("vm").get_to(report.vm);
            source.at("sequence").get_to(report.sequence);
            source.at("incarnation").get_to(report.incarnation);
            report.kind = parse_backend_kind(source.at("kind").get<std::string>());
            source.at("pool").get_to(report.pool);
            source.at("failure_domain").get_to(report.failure_domain);
            source.at("slots").get_to(report.slots);
            source.at("used").get_to(report.used);
            source.at("queued").get_to(report.queued);
            source.at("queued_tokens").get_to(report.queued_tokens);
            source.at("tokens_per_second").get_to(report.tokens_per_second);
            source.at("leaving").get_to(report.leaving);
            return report;
        });
}

std::string to_text(const attempt_failure& failure)
{
    return json{{"run", to_string(failure.run)},
                {"code", to_string(failure.fault.code)},
                {"step", failure.fault.step},
                {"peer", failure.fault.peer},
                {"description", failure.fault.description}}
        .dump(-1, ' ', true, json::error_handler_t::replace);
}

attempt_failure parse_attempt_failure(std::string_view text)
{
    const json source = json::parse(text, nullptr, false);
    if (!source.is_object())
    {
        return {run_state::unknown,
                {error_code::broken, "read failure", "", "the failure is malformed"}};
    }
    return {parse_run_state(source.value("run", "")),
            {parse_error_code(source.value("code", "")), source.value("step", ""),
             source.value("peer", ""), source.value("description", "")}};
}

} // namespace agateseam

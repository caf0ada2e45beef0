#include <net/event_json.hpp>

namespace agateseam
{

using json = nlohmann::json;

json to_json(const event& item)
{
    json line{{"sequence", item.sequence},
              {"stamp", item.stamp.packed},
              {"ms", item.stamp.milliseconds()},
              {"process", item.process},
              {"event", to_string(item.kind)}};
    const std::pair<const char*, const std::string&> text_fields[] = {
        {"request", item.request},
        {"workspace", item.workspace},
        {"peer", item.peer},
        {"detail", item.detail}};
    for (const auto& [name, text] : text_fields)
    {
        if (!text.empty())
        {
            line[name] = text;
        }
    }
    if (item.attempt != 0)
    {
        line["attempt"] = item.attempt;
    }
    if (item.value != 0)
    {
        line["value"] = item.value;
    }
    return line;
}

result<event> parse_event(std::string_view line)
{
    try
    {
        const json source = json::parse(line);
        const auto kind = parse_event_kind(source.at("event").get<std::string>());
        if (!kind)
        {
            return tl::unexpected<error>(kind.error());
        }
        event item;
        item.kind = *kind;
        source.at("sequence").get_to(item.sequence);
        source.at("stamp").get_to(item.stamp.packed);
        source.at("process").get_to(item.process);
        item.request = source.value("request", "");
        item.workspace = source.value("workspace", "");
        item.peer = source.value("peer", "");
        item.detail = source.value("detail", "");
        item.attempt = source.value("attempt", std::uint32_t{0});
        item.value = source.value("value", std::int64_t{0});
        return item;
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, "read event", "", fault.what());
    }
}

} // namespace agateseam

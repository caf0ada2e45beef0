#include <agateseam/usage_batch.hpp>

#include <agateseam/impl/usage_json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

template <typename Item, typename Parser>
result<std::vector<Item>> parse_list(std::string_view text, Parser parse_item)
{
    try
    {
        std::vector<Item> items;
        const json list = json::parse(text);
        for (const json& source : list)
        {
            items.push_back(parse_item(source));
        }
        return items;
    }
    catch (const json::exception& exception)
    {
        return fail(error_code::invalid, "read usage", "", exception.what());
    }
}

} // namespace

namespace impl
{

json rows_to_json(const usage_table& rows)
{
    json list = json::array();
    for (const auto& [key, counters] : rows)
    {
        json row = json::array({key.workspace, key.pool});
        for (const usage_field& field : usage_fields)
        {
            row.push_back(counters.*field.member);
        }
        list.push_back(std::move(row));
    }
    return list;
}

usage_table rows_from_json(const json& source)
{
    usage_table rows;
    for (const json& row : source)
    {
        usage_key key{row.at(0).get<std::string>(), row.at(1).get<std::string>()};
        usage_counters& counters = rows[std::move(key)];
        std::size_t column = 2;
        for (const usage_field& field : usage_fields)
        {
            counters.*field.member += row.at(column).get<std::uint64_t>();
            ++column;
        }
    }
    return rows;
}

} // namespace impl

std::string usage_batch::sender_id() const
{
    return this->process + "/" + std::to_string(this->incarnation);
}

std::string to_text(std::span<const usage_batch> batches)
{
    json list = json::array();
    for (const usage_batch& batch : batches)
    {
        list.push_back({{"process", batch.process},
                        {"incarnation", batch.incarnation},
                        {"sequence", batch.sequence},
                        {"shard", batch.shard},
                        {"hour", batch.hour},
                        {"rows", impl::rows_to_json(batch.rows)}});
    }
    return list.dump();
}

result<std::vector<usage_batch>> parse_usage_batches(std::string_view text)
{
    return parse_list<usage_batch>(text,
                                   [](const json& source)
                                   {
                                       usage_batch batch;
                                       source.at("process").get_to(batch.process);
                                       source.at("incarnation").get_to(batch.incarnation);
                                       source.at("sequence").get_to(batch.sequence);
                                       source.at("shard").get_to(batch.shard);
                                       source.at("hour").get_to(batch.hour);
                                       batch.rows =
                                           impl::rows_from_json(source.at("rows"));
                                       return batch;
                                   });
}

std::string to_text(std::span<const usage_receipt> receipts)
{
    json list = json::array();
    for (const usage_receipt& receipt : receipts)
    {
        list.push_back({receipt.shard, receipt.sequence});
    }
    return list.dump();
}

result<std::vector<usage_receipt>> parse_usage_receipts(std::string_view text)
{
    return parse_list<usage_receipt>(text,
                                     [](const json& source)
                                     {
                                         return usage_receipt{
                                             source.at(0).get<std::uint32_t>(),
                                             source.at(1).get<std::uint64_t>()};
                                     });
}

} // namespace agateseam

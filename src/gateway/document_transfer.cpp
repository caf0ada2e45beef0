#include <gateway/document_transfer.hpp>

#include <charconv>
#include <iterator>
#include <vector>

#include <agateseam/document_codec.hpp>
#include <net/log.hpp>

namespace agateseam
{

namespace
{

/// Shorter texts fit into a few packets.
constexpr std::size_t min_compressed_bytes = 4 << 10;
constexpr std::string_view base_parameter = "base";
constexpr std::string_view encoding_field = "Content-Encoding";
constexpr std::string_view encoding_name = "zstd";
constexpr std::string_view base_field = "x-agateseam-base";
constexpr std::string_view response_age_field = "x-agateseam-store-response-age-ms";
constexpr std::string_view responding_field = "x-agateseam-store-responding-ms";

/// Returns a time that a header field gives in whole milliseconds.
std::optional<duration> read_milliseconds(std::string_view text)
{
    std::uint32_t count = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    const bool is_number =
        failure == std::errc{} && !text.empty() && end == text.data() + text.size();
    return is_number ? std::optional<duration>(std::chrono::milliseconds(count))
                     : std::nullopt;
}

/// Rounds the age up, so that a response never seems newer than it is.
std::vector<header_field> to_fields(const store_report& report)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(report.since_response);
    return {{std::string(response_age_field), std::to_string(age.count())},
            {std::string(responding_field),
             std::to_string(whole_milliseconds(report.responding_for))}};
}

} // namespace

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view key)
{
    const std::string prefix = std::string(key) + "=";
    for (std::size_t begin = 0; begin < query.size();)
    {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string_view item = query.substr(begin, end - begin);
        std::uint64_t number = 0;
        if (item.starts_with(prefix) && std::from_chars(item.data() + prefix.size(),
                                                        item.data() + item.size(), number)
                                                .ec == std::errc{})
        {
            return number;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

std::string transfer_parameter(std::string_view base)
{
    return std::string(base_parameter) + "=" +
           std::to_string(base.empty() ? 0 : document_hash(base));
}

std::optional<std::uint64_t> read_transfer_parameter(std::string_view query)
{
    return query_number(query, base_parameter);
}

transferred_document encode_transfer(std::string text, std::string_view base)
{
    if (text.size() >= min_compressed_bytes)
    {
        auto compressed = compress_document(text, base);
        if (compressed)
        {
            return {std::move(*compressed), true, base.empty() ? 0 : document_hash(base)};
        }
        log_error("document sent as it is", compressed.error());
    }
    return {std::move(text), false, 0};
}

task<bool> answer_transfer(caller_exchange& exchange, transferred_document document)
{
    caller_answer_head head;
    head.fields.push_back({"Content-Type", "application/json"});
    if (document.is_compressed)
    {
        head.fields.push_back({std::string(encoding_field), std::string(encoding_name)});
        head.fields.push_back(
            {std::string(base_field), std::to_string(document.base_hash)});
    }
    if (document.store)
    {
        std::vector<header_field> fields = to_fields(*document.store);
        std::move(fields.begin(), fields.end(), std::back_inserter(head.fields));
    }
    co_return co_await exchange.answer(std::move(head), std::move(document.bytes));
}

std::optional<store_report> read_store_report(const message_head& head)
{
    const auto age = read_milliseconds(head.field(response_age_field));
    const auto responding = read_milliseconds(head.field(responding_field));
    return age && responding ? std::optional(store_report{*age, *responding})
                             : std::nullopt;
}

result<std::string> decode_transfer(const message_head& head, std::string body,
                                    std::string_view base, std::size_t max_bytes)
{
    if (head.field(encoding_field) != encoding_name)
    {
        return body;
    }
    const std::string_view base_text = head.field(base_field);
    std::uint64_t hash = 0;
    std::from_chars(base_text.data(), base_text.data() + base_text.size(), hash);
    if (hash != 0 && (base.empty() || hash != document_hash(base)))
    {
        return fail(error_code::invalid, "decode transfer", "",
                    "the document refers to a text that is not known");
    }
    return expand_document(body, max_bytes, hash == 0 ? std::string_view{} : base);
}

} // namespace agateseam

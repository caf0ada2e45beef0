#include <gateway/digest_codec.hpp>

#include <cmath>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

/// Amounts are sent as whole thousandths, which are shorter than floating point numbers.
/// Requests earn hundredths of a repeat, so this is precise enough.
constexpr double amount_scale = 1'000;

json encode_buckets(const std::unordered_map<std::string, bucket_report>& buckets)
{
    json list = json::object();
    for (const auto& [name, report] : buckets)
    {
        list[name] = {std::llround(report.spent * amount_scale),
                      std::llround(report.level * amount_scale)};
    }
    return list;
}

std::unordered_map<std::string, bucket_report> decode_buckets(const json& list)
{
    std::unordered_map<std::string, bucket_report> buckets;
    for (const auto& [name, report] : list.items())
    {
        buckets[name] = {report.at(0).get<double>() / amount_scale,
                         report.at(1).get<double>() / amount_scale};
    }
    return buckets;
}

} // namespace

std::string encode_digest(const entry_digest& digest)
{
    json claims = json::object();
    for (const auto& [server, claim] : digest.claims)
    {
        json curve = json::array({claim.requests});
        for (std::size_t index = 0; index < memory_curve::seconds_ahead.size(); ++index)
        {
            curve.push_back(std::llround(claim.memory.mean[index]));
            curve.push_back(std::llround(std::sqrt(claim.memory.variance[index])));
        }
        claims[server] = std::move(curve);
    }
    const json document{{"entry", digest.entry},
                        {"incarnation", digest.incarnation},
                        {"sequence", digest.sequence},
                        {"age_ms", digest.age_ms},
                        {"configuration", digest.configuration_version},
                        {"entries", digest.known_entries},
                        {"waiting", digest.waiting_requests},
                        {"leaving", digest.leaving},
                        {"store", digest.reaches_store},
                        {"news", digest.is_delta},
                        {"allowances", encode_buckets(digest.allowances)},
                        {"repeats", encode_buckets(digest.repeats)},
                        {"claims", claims},
                        {"orphans", digest.orphan_tokens}};
    std::string bytes;
    json::to_msgpack(document,
                     nlohmann::detail::output_adapter<char, std::string>(bytes));
    return bytes;
}

result<entry_digest> decode_digest(std::string_view bytes)
{
    try
    {
        const json document = json::from_msgpack(bytes.begin(), bytes.end());
        entry_digest digest;
        digest.entry = document.at("entry").get<std::string>();
        digest.incarnation = document.at("incarnation").get<std::uint64_t>();
        digest.sequence = document.at("sequence").get<std::uint64_t>();
        digest.age_ms = document.at("age_ms").get<std::uint64_t>();
        digest.configuration_version = document.at("configuration").get<std::uint64_t>();
        digest.known_entries = document.at("entries").get<std::uint32_t>();
        digest.waiting_requests = document.at("waiting").get<std::uint32_t>();
        digest.leaving = document.at("leaving").get<bool>();
        digest.reaches_store = document.at("store").get<bool>();
        digest.is_delta = document.at("news").get<bool>();
        digest.allowances = decode_buckets(document.at("allowances"));
        digest.repeats = decode_buckets(document.at("repeats"));
        digest.orphan_tokens =
            document.at("orphans").get<std::unordered_map<std::string, std::int64_t>>();
        for (const auto& [server, claim] : document.at("claims").items())
        {
            decode_claim& decoded = digest.claims[server];
            decoded.requests = claim.at(0).get<std::uint32_t>();
            for (std::size_t index = 0; index < memory_curve::seconds_ahead.size();
                 ++index)
            {
                decoded.memory.mean[index] = claim.at(1 + 2 * index).get<double>();
                const double deviation = claim.at(2 + 2 * index).get<double>();
                decoded.memory.variance[index] = deviation * deviation;
            }
        }
        return digest;
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, "read digest", "", fault.what());
    }
}

} // namespace agateseam

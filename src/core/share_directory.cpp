#include <agateseam/share_directory.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

} // namespace

std::uint32_t share_shard_of(std::string_view workspace) noexcept
{
    return static_cast<std::uint32_t>(XXH3_64bits(workspace.data(), workspace.size()) %
                                      share_shard_count);
}

std::string shard_home_record_key(std::uint32_t shard)
{
    return "shares/" + std::to_string(shard);
}

std::string to_text(const shard_home_record& record)
{
    return json{{"home", record.home},
                {"incarnation", record.incarnation},
                {"epoch", record.epoch}}
        .dump();
}

result<shard_home_record> parse_shard_home_record(std::string_view text)
try
{
    const json source = json::parse(text);
    shard_home_record record;
    source.at("home").get_to(record.home);
    source.at("incarnation").get_to(record.incarnation);
    source.at("epoch").get_to(record.epoch);
    return record;
}
catch (const json::exception& fault)
{
    return fail(error_code::invalid, "read share record", "", fault.what());
}

std::string_view preferred_home(std::uint32_t shard, std::span<const std::string> entries)
{
    std::string_view best;
    std::uint64_t best_score = 0;
    for (const std::string& entry : entries)
    {
        const std::uint64_t score =
            XXH3_64bits_withSeed(entry.data(), entry.size(), shard);
        if (best.empty() || score > best_score)
        {
            best = entry;
            best_score = score;
        }
    }
    return best;
}

bool may_take_over(const shard_home_record& record, std::string_view vm,
                   std::uint64_t incarnation, std::span<const std::string> listed)
{
    if (record.epoch == 0)
    {
        return true;
    }
    if (record.home == vm)
    {
        return record.incarnation < incarnation;
    }
    return std::find(listed.begin(), listed.end(), record.home) == listed.end();
}

} // namespace agateseam

#include <agateseam/usage_ledger.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

#include <agateseam/impl/usage_json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr int max_write_attempts = 6;

template <std::size_t Size, typename... Arguments>
std::string format_key(const char (&format)[Size], Arguments... arguments)
{
    std::array<char, 64> text{};
    const int length = std::snprintf(text.data(), text.size(), format, arguments...);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string hour_key(usage_hour_number hour, std::uint32_t shard)
{
    return format_key("usage/hour/%02u/%08llu", shard,
                      static_cast<unsigned long long>(hour));
}

std::string day_key(std::uint64_t day, std::uint32_t shard)
{
    return format_key("usage/day/%02u/%06llu", shard,
                      static_cast<unsigned long long>(day));
}

/// Reads an object's value and version; returns an empty value with version 0 if the
/// object does not exist.
result<object_record> read_or_empty(object_store& store, std::string_view key)
{
    auto record = store.get(key);
    if (!record && record.error().code == error_code::not_found)
    {
        return object_record{std::string(key), "", 0};
    }
    return record;
}

std::string day_to_text(const usage_history& hours)
{
    json document = json::object();
    for (const auto& [hour, rows] : hours)
    {
        document[std::to_string(hour)] = impl::rows_to_json(rows);
    }
    return document.dump();
}

result<usage_history> parse_day(std::string_view text)
{
    usage_history hours;
    if (text.empty())
    {
        return hours;
    }
    try
    {
        const json document = json::parse(text);
        for (const auto& [hour, rows] : document.items())
        {
            hours.emplace(std::stoull(hour), impl::rows_from_json(rows));
        }
        return hours;
    }
    catch (const std::exception& exception)
    {
        return fail(error_code::invalid, "read usage day", "", exception.what());
    }
}

bool is_retryable(error_code code) noexcept
{
    return code == error_code::conflict || code == error_code::timeout ||
           code == error_code::broken;
}

} // namespace

result<hourly_usage_record> hourly_usage_record::parse(std::string_view text)
{
    hourly_usage_record record;
    if (text.empty())
    {
        return record;
    }
    try
    {
        const json document = json::parse(text);
        document.at("applied").get_to(record.applied);
        record.sums = impl::rows_from_json(document.at("rows"));
        return record;
    }
    catch (const json::exception& exception)
    {
        return fail(error_code::invalid, "read usage hour", "", exception.what());
    }
}

std::string hourly_usage_record::to_text() const
{
    return json{{"applied", this->applied}, {"rows", impl::rows_to_json(this->sums)}}
        .dump();
}

bool hourly_usage_record::apply(const usage_batch& batch)
{
    std::uint64_t& last_sequence = this->applied[batch.sender_id()];
    if (batch.sequence <= last_sequence)
    {
        return false;
    }
    last_sequence = batch.sequence;
    add(this->sums, batch.rows);
    return true;
}

result<void> usage_ledger::apply_group(std::string_view key,
                                       std::span<const usage_batch* const> group)
{
    error last_error;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt)
    {
        const auto record = read_or_empty(*this->store, key);
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        auto hour = hourly_usage_record::parse(record->value);
        if (!hour)
        {
            return tl::unexpected<error>(hour.error());
        }
        bool changed = false;
        for (const usage_batch* batch : group)
        {
            changed = hour->apply(*batch) || changed;
        }
        if (!changed)
        {
            return {};
        }
        const auto written = this->store->put(key, hour->to_text(), record->version);
        if (written)
        {
            return {};
        }
        last_error = written.error();
        if (!is_retryable(last_error.code))
        {
            break;
        }
    }
    return tl::unexpected<error>(last_error);
}

usage_write_result usage_ledger::apply(std::span<const usage_batch> batches,
                                       usage_hour_number now)
{
    usage_write_result written;
    std::map<std::string, std::vector<std::size_t>> groups;
    for (std::size_t index = 0; index < batches.size(); ++index)
    {
        if (batches[index].hour + max_batch_age_hours < now)
        {
            written.refused_positions.push_back(index);
            continue;
        }
        groups[hour_key(batches[index].hour, batches[index].shard)].push_back(index);
    }
    for (auto& [key, positions] : groups)
    {
        std::stable_sort(positions.begin(), positions.end(),
                         [&](std::size_t left, std::size_t right)
                         { return batches[left].sequence < batches[right].sequence; });
        std::vector<const usage_batch*> group;
        for (const std::size_t position : positions)
        {
            group.push_back(&batches[position]);
        }
        const auto applied = this->apply_group(key, group);
        if (!applied)
        {
            written.failure = applied.error();
            continue;
        }
        for (const std::size_t position : positions)
        {
            written.stored_positions.push_back(position);
            written.stored.push_back(
                {batches[position].shard, batches[position].sequence});
        }
    }
    return written;
}

result<usage_history> usage_ledger::read(std::uint32_t shard, usage_hour_number from,
                                         usage_hour_number to)
{
    usage_history history;
    const auto day_records = this->store->list(format_key("usage/day/%02u/", shard));
    if (!day_records)
    {
        return tl::unexpected<error>(day_records.error());
    }
    for (const object_record& record : *day_records)
    {
        auto hours = parse_day(record.value);
        if (!hours)
        {
            return hours;
        }
        history.merge(*hours);
    }
    const auto hour_records = this->store->list(format_key("usage/hour/%02u/", shard));
    if (!hour_records)
    {
        return tl::unexpected<error>(hour_records.error());
    }
    for (const object_record& record : *hour_records)
    {
        const auto hour = hourly_usage_record::parse(record.value);
        if (!hour)
        {
            return tl::unexpected<error>(hour.error());
        }
        const std::string number = record.key.substr(record.key.rfind('/') + 1);
        history[std::stoull(number)] = hour->rows();
    }
    std::erase_if(history, [&](const auto& item)
                  { return item.first < from || item.first >= to; });
    return history;
}

result<std::uint32_t> usage_ledger::compact_day(std::uint32_t shard, std::uint64_t day,
                                                usage_hour_number now)
{
    const std::string key = day_key(day, shard);
    const auto record = read_or_empty(*this->store, key);
    if (!record)
    {
        return tl::unexpected<error>(record.error());
    }
    auto hours = parse_day(record->value);
    if (!hours)
    {
        return tl::unexpected<error>(hours.error());
    }
    std::vector<object_record> compacted;
    for (usage_hour_number hour = day * hours_per_day; hour < (day + 1) * hours_per_day;
         ++hour)
    {
        if (hour + max_batch_age_hours + 1 >= now)
        {
            break;
        }
        auto hour_record = this->store->get(hour_key(hour, shard));
        if (!hour_record)
        {
            if (hour_record.error().code == error_code::not_found)
            {
                continue;
            }
            return tl::unexpected<error>(hour_record.error());
        }
        const auto parsed = hourly_usage_record::parse(hour_record->value);
        if (!parsed)
        {
            return tl::unexpected<error>(parsed.error());
        }
        (*hours)[hour] = parsed->rows();
        compacted.push_back(std::move(*hour_record));
    }
    if (compacted.empty())
    {
        return 0;
    }
    const auto written = this->store->put(key, day_to_text(*hours), record->version);
    if (!written)
    {
        return tl::unexpected<error>(written.error());
    }
    for (const object_record& hour_record : compacted)
    {
        // If the removal fails, the next call writes the same sums again.
        (void)this->store->remove(hour_record.key, hour_record.version);
    }
    return static_cast<std::uint32_t>(compacted.size());
}

} // namespace agateseam

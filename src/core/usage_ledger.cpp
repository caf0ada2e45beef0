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

constexpr int write_attempts = 6;

template <std::size_t Size, typename... Parts>
std::string formatted(const char (&format)[Size], Parts... parts)
{
    std::array<char, 64> text{};
    const int length = std::snprintf(text.data(), text.size(), format, parts...);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string hour_key(usage_hour_number hour, std::uint32_t shard)
{
    return formatted("usage/hour/%02u/%08llu", shard,
                     static_cast<unsigned long long>(hour));
}

std::string day_key(std::uint64_t day, std::uint32_t shard)
{
    return formatted("usage/day/%02u/%06llu", shard,
                     static_cast<unsigned long long>(day));
}

/// Reads an object's value and version; an absent one as empty with version 0.
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
    catch (const std::exception& fault)
    {
        return fail(error_code::invalid, "read usage day", "", fault.what());
    }
}

bool may_retry(error_code code) noexcept
{
    return code == error_code::conflict || code == error_code::timeout ||
           code == error_code::broken;
}

} // namespace

result<usage_hour> usage_hour::parse(std::string_view text)
{
    usage_hour made;
    if (text.empty())
    {
        return made;
    }
    try
    {
        const json document = json::parse(text);
        document.at("applied").get_to(made.applied);
        made.sums = impl::rows_from_json(document.at("rows"));
        return made;
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::invalid, "read usage hour", "", fault.what());
    }
}

std::string usage_hour::to_text() const
{
    return json{{"applied", this->applied}, {"rows", impl::rows_to_json(this->sums)}}
        .dump();
}

bool usage_hour::apply(const usage_batch& batch)
{
    std::uint64_t& highest = this->applied[batch.source()];
    if (batch.sequence <= highest)
    {
        return false;
    }
    highest = batch.sequence;
    add(this->sums, batch.rows);
    return true;
}

result<void> usage_ledger::apply_group(std::string_view key,
                                       std::span<const usage_batch* const> group)
{
    error fault;
    for (int attempt = 0; attempt < write_attempts; ++attempt)
    {
        const auto record = read_or_empty(*this->store, key);
        if (!record)
        {
            return tl::unexpected<error>(record.error());
        }
        auto hour = usage_hour::parse(record->value);
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
        fault = written.error();
        if (!may_retry(fault.code))
        {
            break;
        }
    }
    return tl::unexpected<error>(fault);
}

usage_outcome usage_ledger::apply(std::span<const usage_batch> batches,
                                  usage_hour_number now)
{
    usage_outcome outcome;
    std::map<std::string, std::vector<std::size_t>> groups;
    for (std::size_t index = 0; index < batches.size(); ++index)
    {
        if (batches[index].hour + open_hours < now)
        {
            outcome.refused.push_back(index);
            continue;
        }
        groups[hour_key(batches[index].hour, batches[index].shard)].push_back(index);
    }
    for (auto& [key, places] : groups)
    {
        std::stable_sort(places.begin(), places.end(),
                         [&](std::size_t left, std::size_t right)
                         { return batches[left].sequence < batches[right].sequence; });
        std::vector<const usage_batch*> group;
        for (const std::size_t place : places)
        {
            group.push_back(&batches[place]);
        }
        const auto applied = this->apply_group(key, group);
        if (!applied)
        {
            outcome.fault = applied.error();
            continue;
        }
        for (const std::size_t place : places)
        {
            outcome.positions.push_back(place);
            outcome.stored.push_back({batches[place].shard, batches[place].sequence});
        }
    }
    return outcome;
}

result<usage_history> usage_ledger::read(std::uint32_t shard, usage_hour_number from,
                                         usage_hour_number to)
{
    usage_history history;
    const auto folded = this->store->list(formatted("usage/day/%02u/", shard));
    if (!folded)
    {
        return tl::unexpected<error>(folded.error());
    }
    for (const object_record& record : *folded)
    {
        auto hours = parse_day(record.value);
        if (!hours)
        {
            return hours;
        }
        history.merge(*hours);
    }
    const auto open = this->store->list(formatted("usage/hour/%02u/", shard));
    if (!open)
    {
        return tl::unexpected<error>(open.error());
    }
    for (const object_record& record : *open)
    {
        const auto hour = usage_hour::parse(record.value);
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

result<std::uint32_t> usage_ledger::fold(std::uint32_t shard, std::uint64_t day,
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
    std::vector<object_record> closed;
    for (usage_hour_number hour = day * hours_per_day; hour < (day + 1) * hours_per_day;
         ++hour)
    {
        if (hour + open_hours + 1 >= now)
        {
            break;
        }
        auto source = this->store->get(hour_key(hour, shard));
        if (!source)
        {
            if (source.error().code == error_code::not_found)
            {
                continue;
            }
            return tl::unexpected<error>(source.error());
        }
        const auto parsed = usage_hour::parse(source->value);
        if (!parsed)
        {
            return tl::unexpected<error>(parsed.error());
        }
        (*hours)[hour] = parsed->rows();
        closed.push_back(std::move(*source));
    }
    if (closed.empty())
    {
        return 0;
    }
    const auto written = this->store->put(key, day_to_text(*hours), record->version);
    if (!written)
    {
        return tl::unexpected<error>(written.error());
    }
    for (const object_record& source : closed)
    {
        // A record left behind by a failure is folded again, to the same sums.
        (void)this->store->remove(source.key, source.version);
    }
    return static_cast<std::uint32_t>(closed.size());
}

} // namespace agateseam

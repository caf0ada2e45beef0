#include <agateseam/impl/config_index.hpp>

#include <algorithm>

#include <xxhash.h>

namespace agateseam::impl
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_mean_workspaces_per_chunk = 64;

json to_json(const chunk_reference& chunk)
{
    return json::array({chunk.key, chunk.version});
}

chunk_reference read_chunk(const json& source)
{
    return {source.at(0).get<std::string>(), source.at(1).get<std::uint64_t>()};
}

} // namespace

json to_json(const config_change& change)
{
    return {{"number", change.number},
            {"patch_id", change.patch_id},
            {"when", change.when.time_since_epoch().count()},
            {"note", change.note},
            {"paths", change.paths},
            {"diff", change.diff.empty() ? json() : json::parse(change.diff)}};
}

config_change read_change(const json& source)
{
    config_change change;
    source.at("number").get_to(change.number);
    source.at("patch_id").get_to(change.patch_id);
    change.when =
        wall_time{std::chrono::milliseconds(source.at("when").get<std::int64_t>())};
    source.at("note").get_to(change.note);
    source.at("paths").get_to(change.paths);
    change.diff = source.at("diff").is_null() ? "" : source["diff"].dump();
    return change;
}

result<config_index> config_index::parse(const object_record& record)
{
    config_index index;
    index.version = record.version;
    try
    {
        const json source = json::parse(record.value);
        source.at("number").get_to(index.number);
        index.base = source.at("base");
        for (const json& chunk : source.at("chunks"))
        {
            index.chunks.push_back(read_chunk(chunk));
        }
        for (const json& item : source.at("retired"))
        {
            index.retired.push_back(
                {item.at(0).get<std::uint64_t>(), read_chunk(item.at(1))});
        }
        for (const json& change : source.at("history"))
        {
            index.history.push_back(read_change(change));
        }
    }
    catch (const json::exception& exception)
    {
        return fail(error_code::internal, "read configuration", "", exception.what());
    }
    return index;
}

std::string config_index::to_text() const
{
    json target{{"number", this->number},
                {"base", this->base},
                {"chunks", json::array()},
                {"retired", json::array()},
                {"history", json::array()}};
    for (const chunk_reference& chunk : this->chunks)
    {
        target["chunks"].push_back(to_json(chunk));
    }
    for (const retired_chunk& item : this->retired)
    {
        target["retired"].push_back(json::array({item.number, to_json(item.chunk)}));
    }
    for (const config_change& change : this->history)
    {
        target["history"].push_back(to_json(change));
    }
    return target.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<json> split_workspaces(const json& document, std::size_t count)
{
    std::vector<json> chunks(count, json::object());
    const auto workspaces = document.find("workspaces");
    if (workspaces == document.end())
    {
        return chunks;
    }
    for (const auto& [name, workspace] : workspaces->items())
    {
        chunks[XXH3_64bits(name.data(), name.size()) % count][name] = workspace;
    }
    return chunks;
}

std::size_t chunk_count(std::size_t workspaces, std::size_t current_count) noexcept
{
    std::size_t count = std::max<std::size_t>(current_count, 1);
    while (count * max_mean_workspaces_per_chunk < workspaces)
    {
        count *= 2;
    }
    return count;
}

std::vector<std::string> patched_paths(const json& diff)
{
    std::vector<std::string> paths;
    for (const json& operation : diff)
    {
        auto path = operation.value("path", "");
        if (std::find(paths.begin(), paths.end(), path) == paths.end())
        {
            paths.push_back(std::move(path));
        }
    }
    return paths;
}

} // namespace agateseam::impl

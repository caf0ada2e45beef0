/// Measures the configuration at the planned number of workspaces: stored bytes, store
/// calls and time of a patch, and time for a process to parse it. Prints one JSON line.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include <agateseam/config_store.hpp>
#include <daemon/config_peers.hpp>
#include <fakes/memory_store.hpp>

using namespace agateseam;
using json = nlohmann::json;

namespace
{

constexpr int workspaces = 31'000;
constexpr double changes_per_second = 7'100 / 86'400.0;
constexpr int patch_count = 5;

json make_document()
{
    json entries = json::object();
    for (int index = 0; index < workspaces; ++index)
    {
        const json key{{"id", std::to_string(1'000'000'000 + index) + "abcdef"},
                       {"salt", std::string(32, 'a')},
                       {"hash", std::string(64, 'b')}};
        entries["workspace-" + std::to_string(index)] = {
            {"rate", 1000}, {"burst", 5000}, {"keys", json::array({key})}};
    }
    return {{"workspaces", entries}};
}

template <typename Work>
double measure_milliseconds(Work call)
{
    const auto start_time = std::chrono::steady_clock::now();
    call();
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start_time;
    return elapsed.count();
}

config_patch make_rate_patch(std::uint64_t base_number)
{
    return {
        base_number, "patch-" + std::to_string(base_number), "",
        patch_format::merge_patch,
        json{{"workspaces", {{"workspace-7", {{"rate", 1000 + base_number}}}}}}.dump()};
}

/// Returns the number of bytes that a peer receives for one change.
std::size_t count_relayed_bytes(const config_change& change)
{
    return json{{"diff", change.diff}, {"paths", change.paths}, {"id", change.patch_id}}
        .dump()
        .size();
}

} // namespace

int main()
{
    fakes::memory_store objects;
    const steady_clock_source clock;
    const auto store = config_store::create(objects, clock, "bench");
    if (!store->patch({0, "all", "", patch_format::merge_patch, make_document().dump()}))
    {
        return 1;
    }
    const std::size_t writes = objects.writes();
    const std::size_t reads = objects.reads();
    double patch_milliseconds = 0;
    for (std::uint64_t patch_number = 1; patch_number <= patch_count; ++patch_number)
    {
        patch_milliseconds += measure_milliseconds(
            [&] { (void)store->patch(make_rate_patch(patch_number)); });
    }
    const auto state = store->read();
    std::size_t max_object_bytes = 0;
    const auto stored = objects.list("");
    for (const object_record& object : *stored)
    {
        max_object_bytes = std::max(max_object_bytes, object.value.size());
    }
    double parse_milliseconds = measure_milliseconds(
        [&] { (void)configuration::parse(state->document, state->number); });
    std::cout
        << json{{"workspaces", workspaces},
                {"document_bytes", state->document.size()},
                {"objects", stored->size()},
                {"largest_object_bytes", max_object_bytes},
                {"writes_per_patch", double(objects.writes() - writes) / patch_count},
                {"reads_per_patch", double(objects.reads() - reads) / patch_count},
                {"patch_ms", patch_milliseconds / patch_count},
                {"take_ms", parse_milliseconds},
                {"take_share_of_core", parse_milliseconds / 1000 * changes_per_second},
                {"relayed_bytes_per_change", count_relayed_bytes(state->history.back())}}
               .dump()
        << '\n';
    return 0;
}

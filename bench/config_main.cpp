/// Measures the configuration at the planned size: bytes, store calls, time of a patch
/// and of taking it over; one JSON line.
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
constexpr int rounds = 5;

json make_document()
{
    json all = json::object();
    for (int index = 0; index < workspaces; ++index)
    {
        const json key{{"id", std::to_string(1'000'000'000 + index) + "abcdef"},
                       {"salt", std::string(32, 'a')},
                       {"hash", std::string(64, 'b')}};
        all["workspace-" + std::to_string(index)] = {
            {"rate", 1000}, {"burst", 5000}, {"keys", json::array({key})}};
    }
    return {{"workspaces", all}};
}

template <typename Work>
double milliseconds_of(Work work)
{
    const auto began = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - began;
    return took.count();
}

config_patch rate_patch(std::uint64_t against)
{
    return {against, "patch-" + std::to_string(against), "", patch_format::merge_patch,
            json{{"workspaces", {{"workspace-7", {{"rate", 1000 + against}}}}}}.dump()};
}

/// Returns the bytes that a peer is sent for one change.
std::size_t relayed_bytes(const config_change& change)
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
    double patching = 0;
    for (std::uint64_t round = 1; round <= rounds; ++round)
    {
        patching += milliseconds_of([&] { (void)store->patch(rate_patch(round)); });
    }
    const auto state = store->read();
    std::size_t largest = 0;
    const auto stored = objects.list("");
    for (const object_record& object : *stored)
    {
        largest = std::max(largest, object.value.size());
    }
    double taking = milliseconds_of(
        [&] { (void)configuration::parse(state->document, state->number); });
    std::cout << json{{"workspaces", workspaces},
                      {"document_bytes", state->document.size()},
                      {"objects", stored->size()},
                      {"largest_object_bytes", largest},
                      {"writes_per_patch", double(objects.writes() - writes) / rounds},
                      {"reads_per_patch", double(objects.reads() - reads) / rounds},
                      {"patch_ms", patching / rounds},
                      {"take_ms", taking},
                      {"take_share_of_core", taking / 1000 * changes_per_second},
                      {"relayed_bytes_per_change", relayed_bytes(state->history.back())}}
                     .dump()
              << '\n';
    return 0;
}

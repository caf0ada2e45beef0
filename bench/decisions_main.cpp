/// Measures how the cost of each decision of an entry grows with the number of entries
/// and backend servers: the time per call, and the memory that one entry keeps.
#include <chrono>
#include <cmath>
#include <cstdio>
#include <iostream>

#include <malloc.h>

#include <cxxopts.hpp>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <agateseam/fleet_ledger.hpp>
#include <gateway/digest_codec.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
using namespace std::chrono_literals;
using json = nlohmann::json;

/// Numbers of entries; each fleet has as many backend servers.
constexpr std::array<std::uint32_t, 4> fleet_sizes{6, 29, 300, 3'000};
constexpr std::uint32_t workspace_count = 16;
/// Decode servers on which an entry has streams.
constexpr std::uint32_t servers_per_entry = 6;
/// Share of the backend servers that decode; the others prefill.
constexpr double decode_share = 0.65;
/// The time that every decision is given.
constexpr time_point fixed_time{1h};
/// Time for which each decision is repeated.
constexpr auto measure_duration = 40ms;

std::string numbered_name(const char* kind, std::uint32_t number)
{
    return kind + std::to_string(number);
}

std::shared_ptr<const routing_table> make_routing_table()
{
    routing_parts parts;
    parts.version = 1;
    for (std::uint32_t number = 0; number < workspace_count; ++number)
    {
        parts.workspaces.push_back(
            {numbered_name("workspace-", number), 80'000, 80'000, true, 200, {}});
    }
    parts.services = {{"model", 0, engine_properties{}}, {"plain", 0, {}}};
    return *routing_table::create(std::move(parts));
}

stream_memory draw_stream(pcg32& random)
{
    stream_memory stream;
    stream.prompt_tokens = 1'000 + static_cast<std::int64_t>(random() % 9'000);
    stream.max_output_tokens = 8'000;
    stream.log_median = std::log(3'000.0);
    return stream;
}

/// Models one entry of a fleet: its backend servers and the digests of other entries.
class entry_model
{
  public:
    explicit entry_model(std::uint32_t fleet_size)
        : size(fleet_size)
        , ledger("entry-self", 1, {}, fixed_time)
    {
        engine_properties properties;
        properties.slots = 64;
        properties.kv_capacity_tokens = 75'000;
        this->placement.set_properties(properties);
        this->add_servers();
        this->ledger.set_entry_count(this->size);
        this->ledger.set_routing(*make_routing_table(), fixed_time);
        for (std::uint32_t number = 1; number < this->size; ++number)
        {
            (void)this->ledger.apply(this->make_peer_digest(number), fixed_time);
        }
        this->placement.set_others_claims(this->ledger.peer_claims(fixed_time),
                                          fixed_time);
    }

    entry_digest make_peer_digest(std::uint32_t number)
    {
        entry_digest digest;
        digest.entry = numbered_name("entry-", number);
        digest.incarnation = number;
        digest.sequence = ++this->sequence;
        digest.known_entries = this->size;
        for (std::uint32_t index = 0; index < workspace_count; ++index)
        {
            digest.allowances[numbered_name("workspace-", index)] = {1'000, 70'000};
        }
        for (std::uint32_t index = 0; index < servers_per_entry; ++index)
        {
            decode_claim& claim =
                digest.claims[numbered_name("d", this->random() % this->decode_count)];
            claim.memory.add(draw_stream(this->random), 1'200);
            claim.requests = 1;
        }
        return digest;
    }

    std::uint32_t size;
    std::uint32_t decode_count = 0;
    std::uint64_t sequence = 0;
    pcg32 random{7};
    engine_placement placement;
    fleet_ledger ledger;

  private:
    void add_servers()
    {
        std::vector<std::shared_ptr<const backend_server>> servers;
        const auto server_count = static_cast<double>(this->size);
        this->decode_count =
            static_cast<std::uint32_t>(std::ceil(server_count * decode_share));
        for (std::uint32_t number = 0; number < this->size; ++number)
        {
            backend_server server;
            const bool decode = number < this->decode_count;
            server.id = numbered_name(decode ? "d" : "p", number);
            server.service = "model";
            server.failure_domain = numbered_name("domain-", number % 4);
            server.stage = decode ? engine_stage::decode : engine_stage::prefill;
            servers.push_back(std::make_shared<const backend_server>(std::move(server)));
        }
        this->placement.set_servers(servers);
    }
};

/// Returns the mean microseconds of one call.
template <typename Call>
double measure_microseconds(Call call)
{
    const auto start_time = std::chrono::steady_clock::now();
    std::uint64_t calls = 0;
    auto now = start_time;
    while (now - start_time < measure_duration)
    {
        call();
        ++calls;
        now = std::chrono::steady_clock::now();
    }
    return std::chrono::duration<double, std::micro>(now - start_time).count() /
           static_cast<double>(calls);
}

json measure(std::uint32_t size)
{
    const auto bytes_before = mallinfo2().uordblks;
    entry_model entry(size);
    const auto kept_bytes = mallinfo2().uordblks - bytes_before;
    const auto accept_all = [](const backend_server&) { return true; };
    const std::string encoded = encode_digest(entry.make_peer_digest(1));
    return {
        {"entries_and_servers", size},
        {"memory_kb", static_cast<double>(kept_bytes) / 1'024},
        {"digest_bytes", encoded.size()},
        {"us",
         {{"choose_decode", measure_microseconds(
                                [&]
                                {
                                    (void)entry.placement.choose_decode(
                                        draw_stream(entry.random), "domain-1", fixed_time,
                                        entry.random(), accept_all);
                                })},
          {"choose_prefill", measure_microseconds(
                                 [&] {
                                     (void)entry.placement.choose_prefill(
                                         "domain-1", entry.random(), accept_all);
                                 })},
          {"take_tokens", measure_microseconds(
                              [&] {
                                  (void)entry.ledger.try_take_tokens("workspace-3", 1,
                                                                     fixed_time);
                              })},
          {"read_digest", measure_microseconds([&] { (void)decode_digest(encoded); })},
          {"apply_digest",
           measure_microseconds(
               [&] { (void)entry.ledger.apply(entry.make_peer_digest(1), fixed_time); })},
          {"sum_claims", measure_microseconds(
                             [&]
                             {
                                 entry.placement.set_others_claims(
                                     entry.ledger.peer_claims(fixed_time), fixed_time);
                             })},
          {"make_digest",
           measure_microseconds([&] { (void)entry.ledger.make_digest(fixed_time); })}}}};
}

void print(const json& report)
{
    std::printf("%-18s", "us");
    for (const json& row : report["sizes"])
    {
        std::printf("%12d", row["entries_and_servers"].get<int>());
    }
    std::printf("\n");
    for (const auto& [name, value] : report["sizes"][0]["us"].items())
    {
        std::printf("%-18s", name.c_str());
        for (const json& row : report["sizes"])
        {
            std::printf("%12.2f", row["us"][name].get<double>());
        }
        std::printf("\n");
    }
    for (const char* name : {"memory_kb", "digest_bytes"})
    {
        std::printf("%-18s", name);
        for (const json& row : report["sizes"])
        {
            std::printf("%12.0f", row[name].get<double>());
        }
        std::printf("\n");
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "decisions_bench",
        "Measures how the cost of an entry's decisions grows with the fleet");
    options.add_options()("json", "print JSON");
    const auto arguments = options.parse(argc, argv);
    json report{{"bench", "decisions"}, {"sizes", json::array()}};
    for (const std::uint32_t size : fleet_sizes)
    {
        report["sizes"].push_back(measure(size));
    }
    if (arguments.count("json") > 0)
    {
        std::cout << report.dump(2) << '\n';
    }
    else
    {
        print(report);
    }
    return 0;
}

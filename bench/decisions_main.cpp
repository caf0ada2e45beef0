/// How the platform's decisions grow with entries and backend servers: time of each, and
/// the memory that one entry keeps.
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

constexpr std::array<std::uint32_t, 4> sizes{6, 29, 300, 3'000};
constexpr std::uint32_t workspaces = 16;
constexpr std::uint32_t servers_an_entry_uses = 6; ///< With streams of its own there.
constexpr double decode_share = 0.65;
constexpr time_point start{1h};
/// Each decision is repeated for about this long.
constexpr auto measure_for = 40ms;

std::string name_of(const char* kind, std::uint32_t number)
{
    return kind + std::to_string(number);
}

std::shared_ptr<const routing_table> table()
{
    routing_parts parts;
    parts.version = 1;
    for (std::uint32_t number = 0; number < workspaces; ++number)
    {
        parts.workspaces.push_back(
            {name_of("workspace-", number), 80'000, 80'000, true, 200, {}});
    }
    parts.services = {{"model", 0, engine_properties{}}, {"plain", 0, {}}};
    return *routing_table::create(std::move(parts));
}

stream_memory some_stream(pcg32& random)
{
    stream_memory stream;
    stream.prompt_tokens = 1'000 + static_cast<std::int64_t>(random() % 9'000);
    stream.max_output_tokens = 8'000;
    stream.log_median = std::log(3'000.0);
    return stream;
}

/// One entry of a fleet: its servers, and what the others say.
class model
{
  public:
    explicit model(std::uint32_t chosen)
        : size(chosen)
        , ledger("entry-self", 1, {}, start)
    {
        engine_properties terms;
        terms.slots = 64;
        terms.kv_capacity_tokens = 75'000;
        this->board.set_terms(terms);
        this->list_servers();
        this->ledger.set_entry_count(this->size);
        this->ledger.set_routing(*table(), start);
        for (std::uint32_t number = 1; number < this->size; ++number)
        {
            (void)this->ledger.apply(this->digest_of(number), start);
        }
        this->board.set_others_claims(this->ledger.peer_claims(start), start);
    }

    entry_digest digest_of(std::uint32_t number)
    {
        entry_digest digest;
        digest.entry = name_of("entry-", number);
        digest.incarnation = number;
        digest.sequence = ++this->sequence;
        digest.known_entries = this->size;
        for (std::uint32_t at = 0; at < workspaces; ++at)
        {
            digest.allowances[name_of("workspace-", at)] = {1'000, 70'000};
        }
        for (std::uint32_t at = 0; at < servers_an_entry_uses; ++at)
        {
            decode_claim& claim =
                digest.claims[name_of("d", this->random() % this->decodes)];
            claim.memory.add(some_stream(this->random), 1'200);
            claim.requests = 1;
        }
        return digest;
    }

    std::uint32_t size;
    std::uint32_t decodes = 0;
    std::uint64_t sequence = 0;
    pcg32 random{7};
    engine_placement board;
    fleet_ledger ledger;

  private:
    void list_servers()
    {
        std::vector<std::shared_ptr<const backend_server>> listed;
        const auto all = static_cast<double>(this->size);
        this->decodes = static_cast<std::uint32_t>(std::ceil(all * decode_share));
        for (std::uint32_t number = 0; number < this->size; ++number)
        {
            backend_server server;
            const bool decode = number < this->decodes;
            server.id = name_of(decode ? "d" : "p", number);
            server.service = "model";
            server.failure_domain = name_of("domain-", number % 4);
            server.stage = decode ? engine_stage::decode : engine_stage::prefill;
            listed.push_back(std::make_shared<const backend_server>(std::move(server)));
        }
        this->board.set_servers(listed);
    }
};

/// Returns the microseconds of one call.
template <typename Call>
double time_of(Call call)
{
    const auto begun = std::chrono::steady_clock::now();
    std::uint64_t calls = 0;
    auto now = begun;
    while (now - begun < measure_for)
    {
        call();
        ++calls;
        now = std::chrono::steady_clock::now();
    }
    return std::chrono::duration<double, std::micro>(now - begun).count() /
           static_cast<double>(calls);
}

json measure(std::uint32_t size)
{
    const auto before = mallinfo2().uordblks;
    model fleet(size);
    const auto kept = mallinfo2().uordblks - before;
    const auto anyone = [](const std::string&) { return true; };
    const std::string heard = encode_digest(fleet.digest_of(1));
    return {
        {"entries_and_servers", size},
        {"memory_kb", static_cast<double>(kept) / 1'024},
        {"digest_bytes", heard.size()},
        {"us",
         {{"choose_decode", time_of(
                                [&]
                                {
                                    (void)fleet.board.choose_decode(
                                        some_stream(fleet.random), "domain-1", start,
                                        fleet.random(), anyone);
                                })},
          {"choose_prefill", time_of(
                                 [&] {
                                     (void)fleet.board.choose_prefill(
                                         "domain-1", fleet.random(), anyone);
                                 })},
          {"take_tokens",
           time_of([&] { (void)fleet.ledger.try_take_tokens("workspace-3", 1, start); })},
          {"read_digest", time_of([&] { (void)decode_digest(heard); })},
          {"apply_digest",
           time_of([&] { (void)fleet.ledger.apply(fleet.digest_of(1), start); })},
          {"sum_claims", time_of(
                             [&] {
                                 fleet.board.set_others_claims(
                                     fleet.ledger.peer_claims(start), start);
                             })},
          {"make_digest", time_of([&] { (void)fleet.ledger.make_digest(start); })}}}};
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
    cxxopts::Options options("decisions_bench",
                             "How the platform's decisions grow with the fleet");
    options.add_options()("json", "print JSON");
    const auto arguments = options.parse(argc, argv);
    json report{{"bench", "decisions"}, {"sizes", json::array()}};
    for (const std::uint32_t size : sizes)
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

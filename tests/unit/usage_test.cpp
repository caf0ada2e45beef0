#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

#include <rapidcheck.h>

#include <agateseam/usage_ledger.hpp>
#include <agateseam/usage_meter.hpp>

using namespace agateseam;

namespace
{

constexpr usage_hour_number noon = 500'004;

/// A store in memory that can lose answers after the effect, or be down.
class memory_store final : public object_store
{
  public:
    result<object_record> get(std::string_view key) override
    {
        if (this->down)
        {
            return fail(error_code::unavailable, "store get", "", "down");
        }
        const auto found = this->objects.find(std::string(key));
        if (found == this->objects.end())
        {
            return fail(error_code::not_found, "store get", "", "absent");
        }
        return found->second;
    }

    result<std::vector<object_record>> list(std::string_view prefix) override
    {
        std::vector<object_record> records;
        for (const auto& [key, record] : this->objects)
        {
            if (key.starts_with(prefix))
            {
                records.push_back(record);
            }
        }
        return records;
    }

    result<std::uint64_t> put(std::string_view key, std::string_view value,
                              std::uint64_t expected) override
    {
        ++this->puts;
        if (this->down)
        {
            return fail(error_code::unavailable, "store put", "", "down");
        }
        object_record& record = this->objects[std::string(key)];
        if (record.version != expected)
        {
            return fail(error_code::conflict, "store put", "", "stale");
        }
        record = {std::string(key), std::string(value), expected + 1};
        if (this->lost_answers > 0)
        {
            --this->lost_answers;
            return fail(error_code::timeout, "store put", "", "no answer");
        }
        return record.version;
    }

    result<void> remove(std::string_view key, std::uint64_t expected) override
    {
        const auto found = this->objects.find(std::string(key));
        if (found == this->objects.end() || found->second.version != expected)
        {
            return fail(error_code::conflict, "store remove", "", "stale");
        }
        this->objects.erase(found);
        return {};
    }

    result<std::optional<object_record>> watch(std::string_view, std::uint64_t,
                                               std::chrono::milliseconds) override
    {
        return std::optional<object_record>{};
    }

    result<std::vector<vm_record>> vms() override { return std::vector<vm_record>{}; }

    std::map<std::string, object_record> objects;
    int puts = 0;
    int lost_answers = 0;
    bool down = false;
};

usage_counters outputs(std::uint64_t tokens)
{
    usage_counters counters;
    counters.requests = 1;
    counters.output_tokens = tokens;
    return counters;
}

std::uint64_t stored_outputs(memory_store& store)
{
    std::uint64_t total = 0;
    for (std::uint32_t shard = 0; shard < usage_shards; ++shard)
    {
        const auto history = usage_ledger(store).read(shard, noon - 100, noon + 100);
        REQUIRE(history);
        for (const auto& [hour, rows] : *history)
        {
            for (const auto& [key, counters] : rows)
            {
                total += counters.output_tokens;
            }
        }
    }
    return total;
}

} // namespace

TEST_CASE("the meter adds by workspace and pool and hands over once")
{
    usage_meter meter;
    meter.add("dune", "drafting", outputs(3));
    meter.add("dune", "drafting", outputs(4));
    meter.add("oshana", "drafting", outputs(5));
    const usage_table taken = meter.take();
    REQUIRE(taken.size() == 2);
    CHECK(taken.at({"dune", "drafting"}).output_tokens == 7);
    CHECK(taken.at({"dune", "drafting"}).requests == 2);
    CHECK(meter.take().empty());
}

TEST_CASE("batches that are repeated, delayed and mixed count once each")
{
    rc::check(
        [](std::uint32_t seed)
        {
            std::mt19937 random(seed);
            memory_store store;
            usage_ledger ledger(store);
            usage_outbox first("entry-1", 1);
            usage_outbox second("entry-2", 1);
            std::uint64_t truth = 0;
            std::vector<usage_batch> sent;
            for (int round = 0; round < 12; ++round)
            {
                for (usage_outbox* outbox : {&first, &second})
                {
                    const std::string workspace = "w" + std::to_string(random() % 5);
                    const std::uint64_t tokens = random() % 100;
                    truth += tokens;
                    outbox->collect({{{workspace, "drafting"}, outputs(tokens)}},
                                    noon + random() % 2);
                    auto batches = outbox->seal();
                    sent.insert(sent.end(), batches.begin(), batches.end());
                    if (random() % 2 == 0)
                    {
                        continue; // Lost on the way.
                    }
                    store.lost_answers = static_cast<int>(random() % 3);
                    for (const auto& receipt : ledger.apply(batches, noon).stored)
                    {
                        outbox->acknowledge(receipt);
                    }
                    std::shuffle(sent.begin(), sent.end(), random);
                    (void)ledger.apply(std::span(sent).first(sent.size() / 2), noon);
                }
            }
            while (!first.empty() || !second.empty())
            {
                for (usage_outbox* outbox : {&first, &second})
                {
                    for (const auto& receipt : ledger.apply(outbox->seal(), noon).stored)
                    {
                        outbox->acknowledge(receipt);
                    }
                }
            }
            (void)ledger.apply(sent, noon);
            RC_ASSERT(stored_outputs(store) == truth);
        });
}

TEST_CASE("an outage loses nothing and costs no row for its length")
{
    memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    store.down = true;
    for (int round = 0; round < 100; ++round)
    {
        outbox.collect({{{"dune", "drafting"}, outputs(2)}}, noon);
        const auto outcome = ledger.apply(outbox.seal(), noon);
        CHECK(outcome.stored.empty());
        REQUIRE(outcome.fault);
    }
    CHECK(outbox.rows() == 2); // The one under way and the one that waits.
    store.down = false;
    while (!outbox.empty())
    {
        for (const auto& receipt : ledger.apply(outbox.seal(), noon).stored)
        {
            outbox.acknowledge(receipt);
        }
    }
    CHECK(stored_outputs(store) == 200);
}

TEST_CASE("many batches of one shard and hour cost one write")
{
    memory_store store;
    std::vector<usage_batch> batches;
    for (int process = 0; process < 50; ++process)
    {
        usage_outbox outbox("entry-" + std::to_string(process), 1);
        outbox.collect({{{"dune", "drafting"}, outputs(1)}}, noon);
        batches.push_back(outbox.seal().front());
    }
    CHECK(usage_ledger(store).apply(batches, noon).stored.size() == 50);
    CHECK(store.puts == 1);
    CHECK(stored_outputs(store) == 50);
}

TEST_CASE("folding a day keeps its hours, repeated or interrupted")
{
    memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    const std::uint64_t day = noon / hours_per_day;
    const usage_hour_number first = day * hours_per_day;
    for (usage_hour_number hour = first; hour < first + 3; ++hour)
    {
        outbox.collect({{{"dune", "drafting"}, outputs(10)}}, hour);
        const auto outcome = ledger.apply(outbox.seal(), hour);
        outbox.acknowledge(outcome.stored.at(0));
    }
    const std::uint32_t shard = usage_shard("dune");
    const usage_hour_number later = first + usage_ledger::open_hours + 30;
    const auto interrupted = store.objects;
    CHECK(ledger.fold(shard, day, later).value() == 3);
    CHECK(ledger.fold(shard, day, later).value() == 0);
    CHECK(stored_outputs(store) == 30);
    for (const auto& [key, record] : interrupted)
    {
        store.objects.emplace(key, record); // As if the removals had failed.
    }
    CHECK(stored_outputs(store) == 30);
    CHECK(ledger.fold(shard, day, later).value() == 3);
    CHECK(stored_outputs(store) == 30);
}

TEST_CASE("a batch of a closed hour is refused, not counted twice")
{
    memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    outbox.collect({{{"dune", "drafting"}, outputs(10)}}, noon);
    const auto batches = outbox.seal();
    const auto outcome = ledger.apply(batches, noon + usage_ledger::open_hours + 1);
    CHECK(outcome.stored.empty());
    REQUIRE(outcome.refused.size() == 1);
    const usage_table rows = outbox.give_up({batches[0].shard, batches[0].sequence});
    CHECK(rows.size() == 1);
    CHECK(outbox.empty());
}

TEST_CASE("batches and receipts survive their text, and nonsense is refused")
{
    usage_outbox outbox("entry-1", 7);
    outbox.collect({{{"dune", "drafting"}, outputs(10)}}, noon);
    const auto batches = outbox.seal();
    const auto read = parse_usage_batches(to_text(batches));
    REQUIRE(read);
    REQUIRE(read->size() == 1);
    CHECK((*read)[0].rows == batches[0].rows);
    CHECK((*read)[0].source() == "entry-1/7");
    const std::vector<usage_receipt> receipts{{3, 9}};
    CHECK(parse_usage_receipts(to_text(receipts))->at(0).sequence == 9);
    CHECK_FALSE(parse_usage_batches("{\"a\":1}"));
    CHECK_FALSE(parse_usage_receipts("[1"));
}

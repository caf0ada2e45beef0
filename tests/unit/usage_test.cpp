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

constexpr usage_hour_number current_hour = 500'004;

/// An in-memory store that can be unavailable or lose the answer to a put after it took
/// effect.
class in_memory_store final : public object_store
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
        ++this->put_count;
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
        if (this->answers_to_lose > 0)
        {
            --this->answers_to_lose;
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
    int put_count = 0;
    int answers_to_lose = 0;
    bool down = false;
};

usage_counters usage_with_output(std::uint64_t tokens)
{
    usage_counters counters;
    counters.requests = 1;
    counters.output_tokens = tokens;
    return counters;
}

std::uint64_t stored_output_tokens(in_memory_store& store)
{
    std::uint64_t total = 0;
    for (std::uint32_t shard = 0; shard < usage_shard_count; ++shard)
    {
        const auto history =
            usage_ledger(store).read(shard, current_hour - 100, current_hour + 100);
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

TEST_CASE("the meter sums by workspace and pool and returns usage once")
{
    usage_meter meter;
    meter.add("dune", "drafting", usage_with_output(3));
    meter.add("dune", "drafting", usage_with_output(4));
    meter.add("oshana", "drafting", usage_with_output(5));
    const usage_table taken = meter.take();
    REQUIRE(taken.size() == 2);
    CHECK(taken.at({"dune", "drafting"}).output_tokens == 7);
    CHECK(taken.at({"dune", "drafting"}).requests == 2);
    CHECK(meter.take().empty());
}

TEST_CASE("batches that are repeated, delayed or reordered are counted once")
{
    rc::check(
        [](std::uint32_t seed)
        {
            std::mt19937 random(seed);
            in_memory_store store;
            usage_ledger ledger(store);
            usage_outbox first("entry-1", 1);
            usage_outbox second("entry-2", 1);
            std::uint64_t expected_tokens = 0;
            std::vector<usage_batch> sent;
            for (int round = 0; round < 12; ++round)
            {
                for (usage_outbox* outbox : {&first, &second})
                {
                    const std::string workspace = "w" + std::to_string(random() % 5);
                    const std::uint64_t tokens = random() % 100;
                    expected_tokens += tokens;
                    outbox->collect(
                        {{{workspace, "drafting"}, usage_with_output(tokens)}},
                        current_hour + random() % 2);
                    auto batches = outbox->seal_batches();
                    sent.insert(sent.end(), batches.begin(), batches.end());
                    if (random() % 2 == 0)
                    {
                        continue; // The batches are lost in transit.
                    }
                    store.answers_to_lose = static_cast<int>(random() % 3);
                    for (const auto& receipt : ledger.apply(batches, current_hour).stored)
                    {
                        outbox->acknowledge(receipt);
                    }
                    std::shuffle(sent.begin(), sent.end(), random);
                    (void)ledger.apply(std::span(sent).first(sent.size() / 2),
                                       current_hour);
                }
            }
            while (!first.empty() || !second.empty())
            {
                for (usage_outbox* outbox : {&first, &second})
                {
                    for (const auto& receipt :
                         ledger.apply(outbox->seal_batches(), current_hour).stored)
                    {
                        outbox->acknowledge(receipt);
                    }
                }
            }
            (void)ledger.apply(sent, current_hour);
            RC_ASSERT(stored_output_tokens(store) == expected_tokens);
        });
}

TEST_CASE("an outage loses no usage and the number of rows does not grow with its length")
{
    in_memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    store.down = true;
    for (int round = 0; round < 100; ++round)
    {
        outbox.collect({{{"dune", "drafting"}, usage_with_output(2)}}, current_hour);
        const auto outcome = ledger.apply(outbox.seal_batches(), current_hour);
        CHECK(outcome.stored.empty());
        REQUIRE(outcome.failure);
    }
    CHECK(outbox.rows() == 2); // One row is in flight and one is waiting.
    store.down = false;
    while (!outbox.empty())
    {
        for (const auto& receipt :
             ledger.apply(outbox.seal_batches(), current_hour).stored)
        {
            outbox.acknowledge(receipt);
        }
    }
    CHECK(stored_output_tokens(store) == 200);
}

TEST_CASE("many batches of one shard and hour are written with one put")
{
    in_memory_store store;
    std::vector<usage_batch> batches;
    for (int process = 0; process < 50; ++process)
    {
        usage_outbox outbox("entry-" + std::to_string(process), 1);
        outbox.collect({{{"dune", "drafting"}, usage_with_output(1)}}, current_hour);
        batches.push_back(outbox.seal_batches().front());
    }
    CHECK(usage_ledger(store).apply(batches, current_hour).stored.size() == 50);
    CHECK(store.put_count == 1);
    CHECK(stored_output_tokens(store) == 50);
}

TEST_CASE("compacting a day keeps its usage when repeated or interrupted")
{
    in_memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    const std::uint64_t day = current_hour / hours_per_day;
    const usage_hour_number first = day * hours_per_day;
    for (usage_hour_number hour = first; hour < first + 3; ++hour)
    {
        outbox.collect({{{"dune", "drafting"}, usage_with_output(10)}}, hour);
        const auto outcome = ledger.apply(outbox.seal_batches(), hour);
        outbox.acknowledge(outcome.stored.at(0));
    }
    const std::uint32_t shard = usage_shard_of("dune");
    const usage_hour_number later = first + usage_ledger::max_batch_age_hours + 30;
    const auto records_before = store.objects;
    CHECK(ledger.compact_day(shard, day, later).value() == 3);
    CHECK(ledger.compact_day(shard, day, later).value() == 0);
    CHECK(stored_output_tokens(store) == 30);
    for (const auto& [key, record] : records_before)
    {
        store.objects.emplace(key, record); // Simulates failed removals.
    }
    CHECK(stored_output_tokens(store) == 30);
    CHECK(ledger.compact_day(shard, day, later).value() == 3);
    CHECK(stored_output_tokens(store) == 30);
}

TEST_CASE("a batch that is too old is refused and its usage can be discarded")
{
    in_memory_store store;
    usage_ledger ledger(store);
    usage_outbox outbox("entry-1", 1);
    outbox.collect({{{"dune", "drafting"}, usage_with_output(10)}}, current_hour);
    const auto batches = outbox.seal_batches();
    const auto outcome =
        ledger.apply(batches, current_hour + usage_ledger::max_batch_age_hours + 1);
    CHECK(outcome.stored.empty());
    REQUIRE(outcome.refused_positions.size() == 1);
    const usage_table rows = outbox.discard({batches[0].shard, batches[0].sequence});
    CHECK(rows.size() == 1);
    CHECK(outbox.empty());
}

TEST_CASE(
    "batches and receipts are restored from their text, and malformed text is refused")
{
    usage_outbox outbox("entry-1", 7);
    outbox.collect({{{"dune", "drafting"}, usage_with_output(10)}}, current_hour);
    const auto batches = outbox.seal_batches();
    const auto parsed = parse_usage_batches(to_text(batches));
    REQUIRE(parsed);
    REQUIRE(parsed->size() == 1);
    CHECK((*parsed)[0].rows == batches[0].rows);
    CHECK((*parsed)[0].sender_id() == "entry-1/7");
    const std::vector<usage_receipt> receipts{{3, 9}};
    CHECK(parse_usage_receipts(to_text(receipts))->at(0).sequence == 9);
    CHECK_FALSE(parse_usage_batches("{\"a\":1}"));
    CHECK_FALSE(parse_usage_receipts("[1"));
}

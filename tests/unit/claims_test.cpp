#include <doctest/doctest.h>

#include <future>

#include <rapidcheck.h>

#include <agateseam/claim_ledger.hpp>
#include <fakes/memory_store.hpp>

using namespace agateseam;
using fakes::memory_store;
using fakes::store_fault;

namespace
{

const wall_time start{std::chrono::milliseconds(1'000'000)};

claim_order order_of(const std::string& key, const std::string& owner,
                     const std::string& body = "one crate")
{
    claim_order order;
    order.id = make_claim_id("oshana", "booking", key);
    order.owner = owner;
    order.fingerprint = make_call_fingerprint("POST", "/booking/", body);
    order.now = steady_clock_source{}.wall_now();
    order.deadline = order.now + std::chrono::minutes(1);
    order.expiry = order.now + std::chrono::hours(1);
    return order;
}

result<claim_answer> claim(claim_ledger& ledger, const claim_order& order)
{
    std::promise<result<claim_answer>> answer;
    ledger.claim(order,
                 [&](result<claim_answer> given) { answer.set_value(std::move(given)); });
    return answer.get_future().get();
}

result<void> record(claim_ledger& ledger, const claim_order& order, call_outcome outcome)
{
    std::promise<result<void>> answer;
    ledger.record(order, std::move(outcome),
                  [&](result<void> given) { answer.set_value(std::move(given)); });
    return answer.get_future().get();
}

std::unique_ptr<claim_ledger> ledger_on(memory_store& store)
{
    static const steady_clock_source clock;
    claim_ledger_options options;
    options.retry_wait = std::chrono::milliseconds(1);
    return std::move(*claim_ledger::create(store, clock, options));
}

} // namespace

TEST_CASE("one key is granted once, and its outcome goes to repeats")
{
    memory_store store;
    const auto first = ledger_on(store);
    const auto second = ledger_on(store);
    const claim_order mine = order_of("k1", "entry-1-1");
    CHECK(claim(*first, mine)->verdict == claim_verdict::granted);
    CHECK(claim(*second, order_of("k1", "entry-2-1"))->verdict == claim_verdict::running);
    const std::string body("crate \0 \xff", 9);
    REQUIRE(record(*first, mine, {201, run_state::ran, "text/plain", body}));
    const auto repeat = claim(*second, order_of("k1", "entry-2-2"));
    REQUIRE(repeat->verdict == claim_verdict::recorded);
    CHECK(repeat->outcome.status == 201);
    CHECK(repeat->outcome.run == run_state::ran);
    CHECK(repeat->outcome.body == body);
    CHECK(claim(*second, order_of("k1", "entry-2-3", "two crates"))->verdict ==
          claim_verdict::mismatch);
}

TEST_CASE("a claim whose deadline passed without an outcome is lost, never granted")
{
    claim_shard shard;
    claim_order order = order_of("k", "entry-1-1");
    order.now = start;
    order.deadline = start + std::chrono::seconds(1);
    order.expiry = start + std::chrono::seconds(10);
    CHECK(shard.claim(order).verdict == claim_verdict::granted);
    claim_order repeat = order;
    repeat.owner = "entry-2-1";
    repeat.now = start + std::chrono::seconds(2);
    CHECK(shard.claim(repeat).verdict == claim_verdict::lost);
    shard.expire(start + std::chrono::seconds(9));
    CHECK(shard.size() == 1);
    shard.expire(start + std::chrono::seconds(10));
    CHECK(shard.size() == 0);
}

TEST_CASE("a claim whose answer was lost after its effect is still granted once")
{
    for (const store_fault fate : {store_fault::lost_after, store_fault::lost_before})
    {
        memory_store store;
        const auto ledger = ledger_on(store);
        store.line_up({fate});
        CHECK(claim(*ledger, order_of("k", "entry-1-1"))->verdict ==
              claim_verdict::granted);
        CHECK(claim(*ledger, order_of("k", "entry-1-2"))->verdict ==
              claim_verdict::running);
    }
}

TEST_CASE("a claim that the store never confirmed is refused and released")
{
    memory_store store;
    const auto ledger = ledger_on(store);
    store.line_up({store_fault::down_after});
    const auto refused = claim(*ledger, order_of("k", "entry-1-1"));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == error_code::unavailable);
    store.set_down(false);
    claim_verdict verdict = claim_verdict::running;
    for (int attempt = 0; attempt < 2'000 && verdict != claim_verdict::granted; ++attempt)
    {
        verdict = claim(*ledger, order_of("k", "entry-1-2"))->verdict;
    }
    CHECK(verdict == claim_verdict::granted);
}

TEST_CASE("an outcome that could not be recorded is recorded once the store is back")
{
    memory_store store;
    const auto ledger = ledger_on(store);
    const claim_order mine = order_of("k", "entry-1-1");
    REQUIRE(claim(*ledger, mine)->verdict == claim_verdict::granted);
    store.set_down(true);
    CHECK_FALSE(record(*ledger, mine, {200, run_state::ran, "", "done"}));
    store.set_down(false);
    claim_verdict verdict = claim_verdict::running;
    for (int attempt = 0; attempt < 2'000 && verdict != claim_verdict::recorded;
         ++attempt)
    {
        verdict = claim(*ledger, order_of("k", "entry-1-2"))->verdict;
    }
    CHECK(verdict == claim_verdict::recorded);
}

TEST_CASE("many claims of one shard share a write")
{
    memory_store store;
    const auto ledger = ledger_on(store);
    const std::size_t shard = claim_shard_of(order_of("0", "").id);
    std::vector<claim_order> orders;
    for (int key = 0; orders.size() < 20; ++key)
    {
        claim_order order = order_of(std::to_string(key), "owner");
        if (claim_shard_of(order.id) == shard)
        {
            orders.push_back(std::move(order));
        }
    }
    std::promise<void> release_write;
    const std::shared_future<void> gate = release_write.get_future().share();
    store.before_write([gate] { gate.wait(); });
    std::atomic<int> granted{0};
    std::promise<void> all;
    for (const claim_order& order : orders)
    {
        ledger->claim(order,
                      [&](const result<claim_answer>& answer)
                      {
                          granted += answer->verdict == claim_verdict::granted ? 1 : 0;
                          if (granted == 20)
                          {
                              all.set_value();
                          }
                      });
    }
    release_write.set_value();
    all.get_future().wait();
    CHECK(store.writes() <= 2);
}

TEST_CASE("two entries that race under lost answers grant a key at most once")
{
    const bool held = rc::check(
        "at most one owner",
        []
        {
            memory_store store;
            const auto first = ledger_on(store);
            const auto second = ledger_on(store);
            const auto fates =
                *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 4));
            std::deque<store_fault> lined;
            for (const int fate : fates)
            {
                lined.push_back(static_cast<store_fault>(fate));
            }
            store.line_up(lined);
            std::atomic<int> granted{0};
            std::vector<std::future<void>> ends;
            for (int index = 0; index < 6; ++index)
            {
                auto done = std::make_shared<std::promise<void>>();
                ends.push_back(done->get_future());
                claim_ledger& ledger = index % 2 == 0 ? *first : *second;
                ledger.claim(order_of("k", "owner-" + std::to_string(index)),
                             [&granted, done](const result<claim_answer>& answer)
                             {
                                 const bool mine =
                                     answer && answer->verdict == claim_verdict::granted;
                                 granted += mine ? 1 : 0;
                                 done->set_value();
                             });
            }
            for (auto& end : ends)
            {
                end.get();
            }
            RC_ASSERT(granted.load() <= 1);
        });
    CHECK(held);
}

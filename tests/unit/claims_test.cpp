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

claim_request make_request(const std::string& key, const std::string& owner,
                           const std::string& body = "one crate")
{
    claim_request request;
    request.id = make_claim_id("oshana", "booking", key);
    request.owner = owner;
    request.fingerprint = make_call_fingerprint("POST", "/booking/", body);
    request.now = steady_clock_source{}.wall_now();
    request.deadline = request.now + std::chrono::minutes(1);
    request.expiry = request.now + std::chrono::hours(1);
    return request;
}

result<claim_answer> claim(claim_ledger& ledger, const claim_request& request)
{
    std::promise<result<claim_answer>> answer;
    ledger.claim(request, [&](result<claim_answer> received)
                 { answer.set_value(std::move(received)); });
    return answer.get_future().get();
}

result<void> record(claim_ledger& ledger, const claim_request& request,
                    call_outcome outcome)
{
    std::promise<result<void>> answer;
    ledger.record(request, std::move(outcome),
                  [&](result<void> received) { answer.set_value(std::move(received)); });
    return answer.get_future().get();
}

std::unique_ptr<claim_ledger> make_ledger(memory_store& store)
{
    static const steady_clock_source clock;
    claim_ledger_options options;
    options.retry_delay = std::chrono::milliseconds(1);
    return std::move(*claim_ledger::create(store, clock, options));
}

} // namespace

TEST_CASE("a key is granted once, and repeats receive its recorded outcome")
{
    memory_store store;
    const auto first = make_ledger(store);
    const auto second = make_ledger(store);
    const claim_request own_request = make_request("k1", "entry-1-1");
    CHECK(claim(*first, own_request)->status == claim_status::granted);
    CHECK(claim(*second, make_request("k1", "entry-2-1"))->status ==
          claim_status::running);
    const std::string body("crate \0 \xff", 9);
    REQUIRE(record(*first, own_request, {201, run_state::ran, "text/plain", body}));
    const auto repeat = claim(*second, make_request("k1", "entry-2-2"));
    REQUIRE(repeat->status == claim_status::recorded);
    CHECK(repeat->outcome.status == 201);
    CHECK(repeat->outcome.run == run_state::ran);
    CHECK(repeat->outcome.body == body);
    CHECK(claim(*second, make_request("k1", "entry-2-3", "two crates"))->status ==
          claim_status::mismatch);
}

TEST_CASE("a claim past its deadline without an outcome is never granted again")
{
    claim_shard shard;
    claim_request request = make_request("k", "entry-1-1");
    request.now = start;
    request.deadline = start + std::chrono::seconds(1);
    request.expiry = start + std::chrono::seconds(10);
    CHECK(shard.claim(request).status == claim_status::granted);
    claim_request repeat = request;
    repeat.owner = "entry-2-1";
    repeat.now = start + std::chrono::seconds(2);
    CHECK(shard.claim(repeat).status == claim_status::outcome_unknown);
    shard.remove_expired(start + std::chrono::seconds(9));
    CHECK(shard.size() == 1);
    shard.remove_expired(start + std::chrono::seconds(10));
    CHECK(shard.size() == 0);
}

TEST_CASE("a claim is granted once although the answer to its write was lost")
{
    for (const store_fault fault : {store_fault::lost_after, store_fault::lost_before})
    {
        memory_store store;
        const auto ledger = make_ledger(store);
        store.queue_faults({fault});
        CHECK(claim(*ledger, make_request("k", "entry-1-1"))->status ==
              claim_status::granted);
        CHECK(claim(*ledger, make_request("k", "entry-1-2"))->status ==
              claim_status::running);
    }
}

TEST_CASE("a claim that the store did not confirm is refused and released later")
{
    memory_store store;
    const auto ledger = make_ledger(store);
    store.queue_faults({store_fault::down_after});
    const auto answer = claim(*ledger, make_request("k", "entry-1-1"));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == error_code::unavailable);
    store.set_down(false);
    claim_status status = claim_status::running;
    for (int attempt = 0; attempt < 2'000 && status != claim_status::granted; ++attempt)
    {
        status = claim(*ledger, make_request("k", "entry-1-2"))->status;
    }
    CHECK(status == claim_status::granted);
}

TEST_CASE("an outcome is recorded once the store is reachable again")
{
    memory_store store;
    const auto ledger = make_ledger(store);
    const claim_request own_request = make_request("k", "entry-1-1");
    REQUIRE(claim(*ledger, own_request)->status == claim_status::granted);
    store.set_down(true);
    CHECK_FALSE(record(*ledger, own_request, {200, run_state::ran, "", "done"}));
    store.set_down(false);
    claim_status status = claim_status::running;
    for (int attempt = 0; attempt < 2'000 && status != claim_status::recorded; ++attempt)
    {
        status = claim(*ledger, make_request("k", "entry-1-2"))->status;
    }
    CHECK(status == claim_status::recorded);
}

TEST_CASE("concurrent claims of one shard are written together")
{
    memory_store store;
    const auto ledger = make_ledger(store);
    const std::size_t shard = claim_shard_index(make_request("0", "").id);
    std::vector<claim_request> requests;
    for (int key = 0; requests.size() < 20; ++key)
    {
        claim_request request = make_request(std::to_string(key), "owner");
        if (claim_shard_index(request.id) == shard)
        {
            requests.push_back(std::move(request));
        }
    }
    std::promise<void> unblock_writes;
    const std::shared_future<void> writes_unblocked = unblock_writes.get_future().share();
    store.set_before_write_hook([writes_unblocked] { writes_unblocked.wait(); });
    std::atomic<int> granted{0};
    std::promise<void> all_answered;
    for (const claim_request& request : requests)
    {
        ledger->claim(request,
                      [&](const result<claim_answer>& answer)
                      {
                          granted += answer->status == claim_status::granted ? 1 : 0;
                          if (granted == 20)
                          {
                              all_answered.set_value();
                          }
                      });
    }
    unblock_writes.set_value();
    all_answered.get_future().wait();
    CHECK(store.writes() <= 2);
}

TEST_CASE("two entries that compete for a key grant it at most once despite store faults")
{
    const bool property_holds = rc::check(
        "at most one request is granted the key",
        []
        {
            memory_store store;
            const auto first = make_ledger(store);
            const auto second = make_ledger(store);
            const auto fault_numbers =
                *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 4));
            std::deque<store_fault> faults;
            for (const int fault : fault_numbers)
            {
                faults.push_back(static_cast<store_fault>(fault));
            }
            store.queue_faults(faults);
            std::atomic<int> granted{0};
            std::vector<std::future<void>> answers;
            for (int index = 0; index < 6; ++index)
            {
                auto done = std::make_shared<std::promise<void>>();
                answers.push_back(done->get_future());
                claim_ledger& ledger = index % 2 == 0 ? *first : *second;
                ledger.claim(make_request("k", "owner-" + std::to_string(index)),
                             [&granted, done](const result<claim_answer>& answer)
                             {
                                 const bool own_request =
                                     answer && answer->status == claim_status::granted;
                                 granted += own_request ? 1 : 0;
                                 done->set_value();
                             });
            }
            for (auto& end : answers)
            {
                end.get();
            }
            RC_ASSERT(granted.load() <= 1);
        });
    CHECK(property_holds);
}

#include <agateseam/claim_ledger.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

/// No claims are added to a larger shard object; the store accepts 1'000'000 bytes.
constexpr std::size_t max_shard_bytes = 800'000;
constexpr int max_write_attempts = 6;
constexpr milliseconds max_idle_wait{1'000};

enum class operation_kind : std::uint8_t
{
    claim,
    record,
    release
};

/// A change that waits for the next write of its shard.
struct operation
{
    operation_kind kind = operation_kind::claim;
    claim_request request;
    call_outcome outcome;
    claim_ledger::claim_callback on_claim;
    claim_ledger::record_callback on_record;
    time_point queued_at;
    time_point due_at;                  ///< Earliest time of the write.
    std::optional<claim_answer> answer; ///< Empty if a full shard took no new claim.
};

using batch = std::vector<operation>;

/// Whether a failed write may have taken effect.
enum class write_effect : std::uint8_t
{
    none,
    possible
};

struct batch_failure
{
    error cause;
    write_effect effect = write_effect::none;
};

/// Applies a batch to a shard. A full shard takes no new claims.
/// \returns whether the shard has to be written.
bool apply(batch& operations, claim_shard& shard, bool is_full)
{
    bool changed = false;
    for (operation& item : operations)
    {
        if (item.kind == operation_kind::release)
        {
            // The shard is written even if the claim is absent. The object's version
            // then changes, so a write of that claim that is still on its way to the
            // store fails.
            shard.release(item.request.id, item.request.owner);
            changed = true;
        }
        else if (item.kind == operation_kind::record)
        {
            changed |= shard.record(item.request.id, item.request.owner, item.outcome);
        }
        else
        {
            item.answer = shard.find(item.request);
            const bool may_claim = !item.answer && !is_full;
            if (may_claim)
            {
                item.answer = shard.claim(item.request);
                changed = true;
            }
        }
    }
    return changed;
}

bool may_have_taken_effect(error_code code) noexcept
{
    return code == error_code::timeout || code == error_code::broken;
}

class stored_claim_ledger final : public claim_ledger
{
  public:
    stored_claim_ledger(object_store& claim_store, const clock_source& time_source,
                        const claim_ledger_options& initial_options)
        : store(&claim_store)
        , clock(&time_source)
        , options(initial_options)
    {
        for (unsigned index = 0; index < initial_options.worker_threads; ++index)
        {
            this->workers.emplace_back([this] { this->run_worker(); });
        }
    }

    ~stored_claim_ledger() override { this->stop(); }
    stored_claim_ledger(const stored_claim_ledger&) = delete;
    stored_claim_ledger& operator=(const stored_claim_ledger&) = delete;

    void claim(claim_request request, claim_callback done) override
    {
        operation item;
        item.request = std::move(request);
        item.on_claim = std::move(done);
        if (!this->enqueue(item, this->options.batch_window))
        {
            item.on_claim(fail(error_code::unavailable, "claim", "",
                               "too many claims wait, or the process is ending"));
        }
    }

    void record(const claim_request& request, call_outcome outcome,
                record_callback done) override
    {
        operation item;
        item.kind = operation_kind::record;
        item.request = request;
        item.outcome = std::move(outcome);
        item.on_record = std::move(done);
        if (!this->enqueue(item, this->options.batch_window))
        {
            item.on_record(fail(error_code::cancelled, "record outcome", "",
                                "the process is ending"));
        }
    }

    void release(const claim_request& request) override
    {
        operation item;
        item.kind = operation_kind::release;
        item.request = request;
        this->enqueue(item, this->options.batch_window);
    }

    void stop() override
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->stopping = true;
        }
        this->queue_changed.notify_all();
        for (std::thread& worker : this->workers)
        {
            if (worker.joinable())
            {
                worker.join();
            }
        }
        this->workers.clear();
        this->cancel_queued();
    }

  private:
    /// Queues an operation; if it is refused, `item` is left unchanged.
    /// \returns whether it was queued.
    bool enqueue(operation& item, milliseconds delay)
    {
        const std::scoped_lock lock(this->mutex);
        const bool is_claim = item.kind == operation_kind::claim;
        if (this->stopping ||
            (is_claim && this->queued_claims >= this->options.max_queued_claims))
        {
            return false;
        }
        this->queued_claims += is_claim ? 1 : 0;
        item.queued_at = this->clock->now();
        item.due_at = item.queued_at + delay;
        this->queued_operations[claim_shard_index(item.request.id)].push_back(
            std::move(item));
        this->queue_changed.notify_one();
        return true;
    }

    void cancel_queued()
    {
        std::map<std::size_t, std::deque<operation>> remaining;
        {
            const std::scoped_lock lock(this->mutex);
            remaining.swap(this->queued_operations);
        }
        const error cause{error_code::cancelled, "claim", "", "the process is ending"};
        for (auto& [shard, operations] : remaining)
        {
            for (operation& item : operations)
            {
                this->report_error(item, cause);
            }
        }
    }

    static void report_error(operation& item, const error& cause)
    {
        if (item.on_claim)
        {
            item.on_claim(tl::unexpected<error>(cause));
        }
        if (item.on_record)
        {
            item.on_record(tl::unexpected<error>(cause));
        }
    }

    void run_worker()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping)
        {
            const std::optional<std::size_t> shard = this->next_due_shard();
            if (!shard)
            {
                this->queue_changed.wait_for(lock, this->time_until_next_due());
                continue;
            }
            batch operations = this->take_queued(*shard);
            this->shards_in_progress.insert(*shard);
            lock.unlock();
            this->process(*shard, std::move(operations));
            lock.lock();
            this->shards_in_progress.erase(*shard);
            this->queue_changed.notify_all();
        }
    }

    /// Returns how long until an operation is due whose shard no thread is writing, at
    /// most `max_idle_wait`.
    [[nodiscard]] duration time_until_next_due() const
    {
        const time_point now = this->clock->now();
        duration shortest_wait = max_idle_wait;
        for (const auto& [shard, operations] : this->queued_operations)
        {
            for (const operation& item : operations)
            {
                shortest_wait = this->shards_in_progress.contains(shard)
                                    ? shortest_wait
                                    : std::min(shortest_wait, item.due_at - now);
            }
        }
        return std::max(shortest_wait, duration{0});
    }

    /// Returns a shard that has a due operation and that no thread is writing.
    [[nodiscard]] std::optional<std::size_t> next_due_shard() const
    {
        const time_point now = this->clock->now();
        for (const auto& [shard, operations] : this->queued_operations)
        {
            const bool due =
                std::any_of(operations.begin(), operations.end(),
                            [now](const operation& item) { return item.due_at <= now; });
            if (due && !this->shards_in_progress.contains(shard))
            {
                return shard;
            }
        }
        return std::nullopt;
    }

    /// Takes all queued operations of the shard, due or not.
    [[nodiscard]] batch take_queued(std::size_t shard)
    {
        const auto found = this->queued_operations.find(shard);
        batch operations(std::make_move_iterator(found->second.begin()),
                         std::make_move_iterator(found->second.end()));
        this->queued_operations.erase(found);
        for (const operation& item : operations)
        {
            this->queued_claims -= item.kind == operation_kind::claim ? 1 : 0;
        }
        return operations;
    }

    void process(std::size_t shard, batch operations)
    {
        this->refuse_stale_claims(operations);
        if (operations.empty())
        {
            return;
        }
        const std::optional<batch_failure> failure =
            this->write_with_retries(shard, operations);
        for (operation& item : operations)
        {
            if (failure)
            {
                this->handle_write_failure(item, *failure);
            }
            else
            {
                this->report_success(item);
            }
        }
    }

    void refuse_stale_claims(batch& operations)
    {
        const time_point oldest_allowed =
            this->clock->now() - this->options.max_queue_time;
        std::erase_if(operations,
                      [oldest_allowed](operation& item)
                      {
                          const bool is_stale = item.kind == operation_kind::claim &&
                                                item.queued_at < oldest_allowed;
                          if (is_stale)
                          {
                              report_error(item, {error_code::unavailable, "claim", "",
                                                  "the store is too slow"});
                          }
                          return is_stale;
                      });
    }

    /// Reads the shard, applies the operations and writes it until the store confirms or
    /// the tries are used up.
    /// \returns nothing on success.
    [[nodiscard]] std::optional<batch_failure> write_with_retries(std::size_t shard,
                                                                  batch& operations)
    {
        batch_failure failure{
            {error_code::unavailable, "claim", "", "others keep changing the claims"}};
        for (int attempt = 0; attempt < max_write_attempts; ++attempt)
        {
            const auto written = this->write_once(shard, operations);
            if (written)
            {
                return std::nullopt;
            }
            failure.cause = written.error();
            if (may_have_taken_effect(failure.cause.code))
            {
                failure.effect = write_effect::possible;
            }
            else if (failure.cause.code != error_code::conflict)
            {
                break;
            }
        }
        return failure;
    }

    [[nodiscard]] result<void> write_once(std::size_t shard, batch& operations)
    {
        const std::string key = claim_shard_key(shard);
        auto current = this->store->get(key);
        if (!current && current.error().code == error_code::not_found)
        {
            current = object_record{key, "{}", 0};
        }
        if (!current)
        {
            // A failed read has no effect, so the error must not look like a write
            // whose effect is unknown.
            return fail(error_code::unavailable, "claim", current.error().peer,
                        current.error().description);
        }
        auto parsed = claim_shard::parse(current->value);
        if (!parsed)
        {
            return tl::unexpected<error>(parsed.error());
        }
        parsed->remove_expired(this->clock->wall_now());
        const bool is_full = current->value.size() > max_shard_bytes;
        if (!apply(operations, *parsed, is_full))
        {
            return {};
        }
        const auto version = this->store->put(key, parsed->to_text(), current->version);
        return version ? result<void>{} : tl::unexpected<error>(version.error());
    }

    static void report_success(operation& item)
    {
        if (item.on_claim && item.answer)
        {
            item.on_claim(std::move(*item.answer));
        }
        else if (item.on_claim)
        {
            item.on_claim(fail(error_code::unavailable, "claim", "",
                               "the store holds too many claims"));
        }
        if (item.on_record)
        {
            item.on_record({});
        }
    }

    void handle_write_failure(operation& item, const batch_failure& failure)
    {
        if (item.kind == operation_kind::claim)
        {
            if (failure.effect == write_effect::possible)
            {
                this->release(item.request);
            }
            report_error(item, {error_code::unavailable, "claim", failure.cause.peer,
                                failure.cause.description});
            return;
        }
        report_error(item, failure.cause);
        item.on_record = nullptr;
        if (this->clock->wall_now() < item.request.expiry)
        {
            this->enqueue(item, this->options.retry_delay);
        }
    }

    object_store* store;
    const clock_source* clock;
    claim_ledger_options options;
    std::mutex mutex;
    std::condition_variable queue_changed;
    bool stopping = false;
    std::size_t queued_claims = 0;
    std::map<std::size_t, std::deque<operation>> queued_operations; ///< By shard.
    std::set<std::size_t> shards_in_progress; ///< Written by some thread now.
    std::vector<std::thread> workers;
};

} // namespace

result<std::unique_ptr<claim_ledger>>
claim_ledger::create(object_store& store, const clock_source& clock,
                     const claim_ledger_options& options)
{
    if (options.worker_threads == 0 || options.max_queued_claims == 0)
    {
        return fail(error_code::invalid, "make claim ledger", "",
                    "threads and queue limit must be above 0");
    }
    return std::make_unique<stored_claim_ledger>(store, clock, options);
}

std::string claim_shard_key(std::size_t shard)
{
    return "claims/" + std::to_string(shard);
}

} // namespace agateseam

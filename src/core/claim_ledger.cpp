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

constexpr std::size_t shard_limit = 800'000; // bytes; the store takes a million
constexpr int write_attempts = 6;
constexpr milliseconds idle_wait{1'000};

enum class operation_kind : std::uint8_t
{
    claim,
    record,
    release
};

/// One change that waits for its shard's next write.
struct operation
{
    operation_kind kind = operation_kind::claim;
    claim_order order;
    call_outcome outcome;
    claim_ledger::claim_callback on_claim;
    claim_ledger::record_callback on_record;
    time_point queued;
    time_point due;
    std::optional<claim_answer> answer; ///< Empty when the shard has no room.
};

using batch = std::vector<operation>;

/// Whether a write that failed may have taken effect.
enum class write_state : std::uint8_t
{
    none,
    possible
};

struct batch_failure
{
    error fault;
    write_state written = write_state::none;
};

/// Applies a batch to a shard.
/// \returns whether the shard has to be written.
bool apply(batch& operations, claim_shard& shard, bool full)
{
    bool changed = false;
    for (operation& item : operations)
    {
        if (item.kind == operation_kind::release)
        {
            // Written even if the claim is absent: a claim that is still on its way to
            // the store then meets another version.
            shard.release(item.order.id, item.order.owner);
            changed = true;
        }
        else if (item.kind == operation_kind::record)
        {
            changed |= shard.record(item.order.id, item.order.owner, item.outcome);
        }
        else
        {
            item.answer = shard.find(item.order);
            const bool fresh = !item.answer && !full;
            if (fresh)
            {
                item.answer = shard.claim(item.order);
                changed = true;
            }
        }
    }
    return changed;
}

bool effect_unknown(error_code code) noexcept
{
    return code == error_code::timeout || code == error_code::broken;
}

class ledger final : public claim_ledger
{
  public:
    ledger(object_store& target, const clock_source& source,
           const claim_ledger_options& chosen)
        : store(&target)
        , clock(&source)
        , options(chosen)
    {
        for (unsigned index = 0; index < chosen.threads; ++index)
        {
            this->workers.emplace_back([this] { this->work(); });
        }
    }

    ~ledger() override { this->stop(); }
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;

    void claim(claim_order order, claim_callback done) override
    {
        operation item;
        item.order = std::move(order);
        item.on_claim = std::move(done);
        if (!this->queue(item, this->options.window))
        {
            item.on_claim(fail(error_code::unavailable, "claim", "",
                               "too many claims wait, or the process is ending"));
        }
    }

    void record(const claim_order& order, call_outcome outcome,
                record_callback done) override
    {
        operation item;
        item.kind = operation_kind::record;
        item.order = order;
        item.outcome = std::move(outcome);
        item.on_record = std::move(done);
        if (!this->queue(item, this->options.window))
        {
            item.on_record(fail(error_code::cancelled, "record outcome", "",
                                "the process is ending"));
        }
    }

    void release(const claim_order& order) override
    {
        operation item;
        item.kind = operation_kind::release;
        item.order = order;
        this->queue(item, this->options.window);
    }

    void stop() override
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        for (std::thread& worker : this->workers)
        {
            if (worker.joinable())
            {
                worker.join();
            }
        }
        this->workers.clear();
        this->cancel_waiting();
    }

  private:
    /// \returns whether the operation was taken; it is left alone otherwise.
    bool queue(operation& item, milliseconds wait)
    {
        const std::scoped_lock hold(this->mutex);
        const bool claims = item.kind == operation_kind::claim;
        if (this->stopping ||
            (claims && this->waiting_claims >= this->options.queue_limit))
        {
            return false;
        }
        this->waiting_claims += claims ? 1 : 0;
        item.queued = this->clock->now();
        item.due = item.queued + wait;
        this->waiting[claim_shard_of(item.order.id)].push_back(std::move(item));
        this->wake.notify_one();
        return true;
    }

    void cancel_waiting()
    {
        std::map<std::size_t, std::deque<operation>> left;
        {
            const std::scoped_lock hold(this->mutex);
            left.swap(this->waiting);
        }
        const error fault{error_code::cancelled, "claim", "", "the process is ending"};
        for (auto& [shard, operations] : left)
        {
            for (operation& item : operations)
            {
                this->refuse(item, fault);
            }
        }
    }

    static void refuse(operation& item, const error& fault)
    {
        if (item.on_claim)
        {
            item.on_claim(tl::unexpected<error>(fault));
        }
        if (item.on_record)
        {
            item.on_record(tl::unexpected<error>(fault));
        }
    }

    void work()
    {
        std::unique_lock hold(this->mutex);
        while (!this->stopping)
        {
            const std::optional<std::size_t> shard = this->next_shard();
            if (!shard)
            {
                this->wake.wait_for(hold, this->time_to_next());
                continue;
            }
            batch operations = this->take(*shard);
            this->busy.insert(*shard);
            hold.unlock();
            this->run(*shard, std::move(operations));
            hold.lock();
            this->busy.erase(*shard);
            this->wake.notify_all();
        }
    }

    /// Returns how long until an operation of a shard that nobody writes is due.
    [[nodiscard]] duration time_to_next() const
    {
        const time_point now = this->clock->now();
        duration least = idle_wait;
        for (const auto& [shard, operations] : this->waiting)
        {
            for (const operation& item : operations)
            {
                least =
                    this->busy.contains(shard) ? least : std::min(least, item.due - now);
            }
        }
        return std::max(least, duration{0});
    }

    /// Finds a shard that no other thread writes and whose operations are due.
    [[nodiscard]] std::optional<std::size_t> next_shard() const
    {
        const time_point now = this->clock->now();
        for (const auto& [shard, operations] : this->waiting)
        {
            const bool due =
                std::any_of(operations.begin(), operations.end(),
                            [now](const operation& item) { return item.due <= now; });
            if (due && !this->busy.contains(shard))
            {
                return shard;
            }
        }
        return std::nullopt;
    }

    /// Takes everything that waits for the shard, due or not.
    [[nodiscard]] batch take(std::size_t shard)
    {
        const auto found = this->waiting.find(shard);
        batch operations(std::make_move_iterator(found->second.begin()),
                         std::make_move_iterator(found->second.end()));
        this->waiting.erase(found);
        for (const operation& item : operations)
        {
            this->waiting_claims -= item.kind == operation_kind::claim ? 1 : 0;
        }
        return operations;
    }

    void run(std::size_t shard, batch operations)
    {
        this->refuse_late(operations);
        if (operations.empty())
        {
            return;
        }
        const std::optional<batch_failure> failure = this->commit(shard, operations);
        for (operation& item : operations)
        {
            if (failure)
            {
                this->handle_failure(item, *failure);
            }
            else
            {
                this->confirm(item);
            }
        }
    }

    void refuse_late(batch& operations)
    {
        const time_point limit = this->clock->now() - this->options.wait_limit;
        std::erase_if(operations,
                      [limit](operation& item)
                      {
                          const bool late =
                              item.kind == operation_kind::claim && item.queued < limit;
                          if (late)
                          {
                              refuse(item, {error_code::unavailable, "claim", "",
                                            "the store is too slow"});
                          }
                          return late;
                      });
    }

    /// Reads, applies and writes until the store confirms; nothing on success.
    [[nodiscard]] std::optional<batch_failure> commit(std::size_t shard,
                                                      batch& operations)
    {
        batch_failure failure{
            {error_code::unavailable, "claim", "", "others keep changing the claims"}};
        for (int attempt = 0; attempt < write_attempts; ++attempt)
        {
            const auto written = this->write_once(shard, operations);
            if (written)
            {
                return std::nullopt;
            }
            failure.fault = written.error();
            if (effect_unknown(failure.fault.code))
            {
                failure.written = write_state::possible;
            }
            else if (failure.fault.code != error_code::conflict)
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
            // A failed read leaves no effect behind.
            return fail(error_code::unavailable, "claim", current.error().peer,
                        current.error().description);
        }
        auto claims = claim_shard::parse(current->value);
        if (!claims)
        {
            return tl::unexpected<error>(claims.error());
        }
        claims->expire(this->clock->wall_now());
        const bool full = current->value.size() > shard_limit;
        if (!apply(operations, *claims, full))
        {
            return {};
        }
        const auto version = this->store->put(key, claims->to_text(), current->version);
        return version ? result<void>{} : tl::unexpected<error>(version.error());
    }

    static void confirm(operation& item)
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

    void handle_failure(operation& item, const batch_failure& failure)
    {
        if (item.kind == operation_kind::claim)
        {
            if (failure.written == write_state::possible)
            {
                this->release(item.order);
            }
            refuse(item, {error_code::unavailable, "claim", failure.fault.peer,
                          failure.fault.description});
            return;
        }
        refuse(item, failure.fault);
        item.on_record = nullptr;
        if (this->clock->wall_now() < item.order.expiry)
        {
            this->queue(item, this->options.retry_wait);
        }
    }

    object_store* store;
    const clock_source* clock;
    claim_ledger_options options;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::size_t waiting_claims = 0;
    std::map<std::size_t, std::deque<operation>> waiting;
    std::set<std::size_t> busy;
    std::vector<std::thread> workers;
};

} // namespace

result<std::unique_ptr<claim_ledger>>
claim_ledger::create(object_store& store, const clock_source& clock,
                     const claim_ledger_options& options)
{
    if (options.threads == 0 || options.queue_limit == 0)
    {
        return fail(error_code::invalid, "make claim ledger", "",
                    "threads and queue limit must be above 0");
    }
    return std::make_unique<ledger>(store, clock, options);
}

std::string claim_shard_key(std::size_t shard)
{
    return "claims/" + std::to_string(shard);
}

} // namespace agateseam

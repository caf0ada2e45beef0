#include <agateseam/store_budget.hpp>

#include <algorithm>
#include <mutex>

#include <pcg_random.hpp>

namespace agateseam
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr std::array<std::string_view, store_call_kind_count> kind_names{"read", "write",
                                                                         "watch"};
constexpr std::string_view error_step = "store budget";

std::size_t index_of(store_call_kind kind) noexcept
{
    return static_cast<std::size_t>(kind);
}

bool is_failure(error_code code) noexcept
{
    return code == error_code::unavailable || code == error_code::timeout ||
           code == error_code::broken || code == error_code::internal;
}

/// Whether a call may be sent, and if not, what prevents it.
enum class permission : std::uint8_t
{
    granted,
    over_budget, ///< The rate limit is reached.
    held_back    ///< The circuit breaker is open.
};

/// The rate limiter and the circuit breaker of one kind of calls.
class call_limiter
{
  public:
    void initialize(const store_rate_limit& rate_limit,
                    const store_budget_options& settings, std::uint64_t random_stream,
                    time_point now)
    {
        this->limit = rate_limit;
        this->options = settings;
        this->random = pcg32(settings.jitter_seed, random_stream);
        this->tokens = rate_limit.burst;
        this->refilled_at = now;
    }

    [[nodiscard]] permission request(time_point now)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->consecutive_failures >= this->options.failures_to_open)
        {
            if (this->trial_in_progress || now < this->open_until)
            {
                return permission::held_back;
            }
            this->trial_in_progress = true;
        }
        const double refill =
            this->limit.per_second * seconds(now - this->refilled_at).count();
        this->tokens = std::min(this->limit.burst, this->tokens + refill);
        this->refilled_at = now;
        if (this->tokens < 1)
        {
            this->trial_in_progress = false;
            return permission::over_budget;
        }
        this->tokens -= 1;
        return permission::granted;
    }

    void record_result(bool failed, time_point now)
    {
        const std::scoped_lock lock(this->mutex);
        this->trial_in_progress = false;
        if (!failed)
        {
            this->consecutive_failures = 0;
            this->backoff = duration{0};
            return;
        }
        ++this->consecutive_failures;
        if (this->consecutive_failures >= this->options.failures_to_open)
        {
            this->backoff = std::clamp(this->backoff * 2, this->options.initial_backoff,
                                       this->options.max_backoff);
            this->open_until = now + this->jittered_backoff();
        }
    }

  private:
    /// Returns a random time between half the backoff and all of it.
    [[nodiscard]] duration jittered_backoff()
    {
        const auto half = this->backoff.count() / 2;
        const double fraction = double{0} + this->random() / double{0x1p32};
        return duration{half + static_cast<duration::rep>(fraction * double(half))};
    }

    std::mutex mutex;
    store_rate_limit limit;
    store_budget_options options;
    pcg32 random;
    double tokens = 0;
    time_point refilled_at;
    unsigned consecutive_failures = 0;
    bool trial_in_progress = false; ///< Whether a call tests if the store works again.
    duration backoff{0};
    time_point open_until; ///< When the open breaker allows a trial call.
};

class budgeted_store_impl final : public budgeted_store
{
  public:
    budgeted_store_impl(object_store& inner_store, const clock_source& time,
                        const store_budget_options& options)
        : inner(&inner_store)
        , clock(&time)
    {
        const time_point now = time.now();
        this->limiters[0].initialize(options.reads, options, 0, now);
        this->limiters[1].initialize(options.writes, options, 1, now);
        this->limiters[2].initialize(options.watches, options, 2, now);
    }

    [[nodiscard]] result<object_record> get(std::string_view key) override
    {
        return this->send_if_permitted(store_call_kind::read,
                                       [&] { return this->inner->get(key); });
    }

    [[nodiscard]] result<std::vector<object_record>>
    list(std::string_view prefix) override
    {
        return this->send_if_permitted(store_call_kind::read,
                                       [&] { return this->inner->list(prefix); });
    }

    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected_version) override
    {
        return this->send_if_permitted(
            store_call_kind::write,
            [&] { return this->inner->put(key, value, expected_version); });
    }

    [[nodiscard]] result<void> remove(std::string_view key,
                                      std::uint64_t expected_version) override
    {
        return this->send_if_permitted(
            store_call_kind::write,
            [&] { return this->inner->remove(key, expected_version); });
    }

    [[nodiscard]] result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) override
    {
        return this->send_if_permitted(
            store_call_kind::watch,
            [&] { return this->inner->watch(key, after_version, wait); });
    }

    [[nodiscard]] result<std::vector<vm_record>> vms() override
    {
        return this->send_if_permitted(store_call_kind::read,
                                       [&] { return this->inner->vms(); });
    }

    [[nodiscard]] const store_call_counts&
    counts(store_call_kind kind) const noexcept override
    {
        return this->counts_by_kind[index_of(kind)];
    }

  private:
    template <typename Call>
    [[nodiscard]] auto send_if_permitted(store_call_kind kind, Call call)
        -> decltype(call())
    {
        call_limiter& limiter = this->limiters[index_of(kind)];
        store_call_counts& counts = this->counts_by_kind[index_of(kind)];
        const permission decision = limiter.request(this->clock->now());
        if (decision == permission::over_budget)
        {
            ++counts.over_budget;
            return fail(error_code::unavailable, error_step, "",
                        "this process has used up its budget of store calls");
        }
        if (decision == permission::held_back)
        {
            ++counts.held_back;
            return fail(error_code::unavailable, error_step, "",
                        "the store failed lately; the next try is not due yet");
        }
        ++counts.sent;
        auto outcome = call();
        const bool failed = !outcome && is_failure(outcome.error().code);
        counts.failed += failed ? 1 : 0;
        limiter.record_result(failed, this->clock->now());
        return outcome;
    }

    object_store* inner;
    const clock_source* clock;
    std::array<call_limiter, store_call_kind_count> limiters;
    std::array<store_call_counts, store_call_kind_count> counts_by_kind;
};

} // namespace

std::string_view to_string(store_call_kind kind) noexcept
{
    return kind_names[index_of(kind)];
}

result<std::unique_ptr<budgeted_store>>
budgeted_store::create(object_store& inner, const clock_source& clock,
                       const store_budget_options& options)
{
    for (const store_rate_limit& rate : {options.reads, options.writes, options.watches})
    {
        if (rate.per_second <= 0 || rate.burst < 1)
        {
            return fail(error_code::invalid, "make store budget", "",
                        "rates must be above 0 and bursts at least 1");
        }
    }
    return std::make_unique<budgeted_store_impl>(inner, clock, options);
}

std::string to_metrics(const budgeted_store& store)
{
    std::string text = "# TYPE agateseam_store_calls_total counter\n";
    for (const store_call_kind kind :
         {store_call_kind::read, store_call_kind::write, store_call_kind::watch})
    {
        const store_call_counts& counts = store.counts(kind);
        const auto add_line = [&](std::string_view outcome, std::uint64_t value)
        {
            text += "agateseam_store_calls_total{kind=\"" + std::string(to_string(kind)) +
                    "\",outcome=\"" + std::string(outcome) + "\"} " +
                    std::to_string(value) + "\n";
        };
        const std::uint64_t failed = counts.failed;
        add_line("answered", counts.sent - failed);
        add_line("failed", failed);
        add_line("over_budget", counts.over_budget);
        add_line("held_back", counts.held_back);
    }
    return text;
}

} // namespace agateseam

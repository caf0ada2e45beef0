#include <agateseam/store_budget.hpp>

#include <algorithm>
#include <mutex>

#include <pcg_random.hpp>

namespace agateseam
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr std::array<std::string_view, store_call_kinds> kind_names{"read", "write",
                                                                    "watch"};
constexpr std::string_view step = "store budget";

std::size_t place_of(store_call kind) noexcept
{
    return static_cast<std::size_t>(kind);
}

bool is_failure(error_code code) noexcept
{
    return code == error_code::unavailable || code == error_code::timeout ||
           code == error_code::broken || code == error_code::internal;
}

/// Whether a call may be sent.
enum class permission : std::uint8_t
{
    given,
    over_budget,
    held_back
};

/// The budget and the breaker of one kind.
class call_gate
{
  public:
    void start(const store_rate& limit, const store_budget_options& chosen,
               std::uint64_t stream, time_point now)
    {
        this->rate = limit;
        this->options = chosen;
        this->random = pcg32(chosen.seed, stream);
        this->tokens = limit.burst;
        this->filled = now;
    }

    [[nodiscard]] permission ask(time_point now)
    {
        const std::scoped_lock hold(this->mutex);
        if (this->failures >= this->options.failures)
        {
            if (this->trial || now < this->open_until)
            {
                return permission::held_back;
            }
            this->trial = true;
        }
        const double refill = this->rate.per_second * seconds(now - this->filled).count();
        this->tokens = std::min(this->rate.burst, this->tokens + refill);
        this->filled = now;
        if (this->tokens < 1)
        {
            this->trial = false;
            return permission::over_budget;
        }
        this->tokens -= 1;
        return permission::given;
    }

    void note(bool failed, time_point now)
    {
        const std::scoped_lock hold(this->mutex);
        this->trial = false;
        if (!failed)
        {
            this->failures = 0;
            this->pause = duration{0};
            return;
        }
        ++this->failures;
        if (this->failures >= this->options.failures)
        {
            this->pause = std::clamp(this->pause * 2, this->options.first_pause,
                                     this->options.longest_pause);
            this->open_until = now + this->jittered();
        }
    }

  private:
    /// Returns from half the pause to the whole of it.
    [[nodiscard]] duration jittered()
    {
        const auto half = this->pause.count() / 2;
        const double share = double{0} + this->random() / double{0x1p32};
        return duration{half + static_cast<duration::rep>(share * double(half))};
    }

    std::mutex mutex;
    store_rate rate;
    store_budget_options options;
    pcg32 random;
    double tokens = 0;
    time_point filled;
    unsigned failures = 0;
    bool trial = false; ///< One call is out to see whether the store is back.
    duration pause{0};
    time_point open_until;
};

class store_impl final : public budgeted_store
{
  public:
    store_impl(object_store& target, const clock_source& source,
               const store_budget_options& options)
        : inner(&target)
        , clock(&source)
    {
        const time_point now = source.now();
        this->gates[0].start(options.reads, options, 0, now);
        this->gates[1].start(options.writes, options, 1, now);
        this->gates[2].start(options.watches, options, 2, now);
    }

    [[nodiscard]] result<object_record> get(std::string_view key) override
    {
        return this->pass(store_call::read, [&] { return this->inner->get(key); });
    }

    [[nodiscard]] result<std::vector<object_record>>
    list(std::string_view prefix) override
    {
        return this->pass(store_call::read, [&] { return this->inner->list(prefix); });
    }

    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected_version) override
    {
        return this->pass(store_call::write,
                          [&] { return this->inner->put(key, value, expected_version); });
    }

    [[nodiscard]] result<void> remove(std::string_view key,
                                      std::uint64_t expected_version) override
    {
        return this->pass(store_call::write,
                          [&] { return this->inner->remove(key, expected_version); });
    }

    [[nodiscard]] result<std::optional<object_record>>
    watch(std::string_view key, std::uint64_t after_version,
          std::chrono::milliseconds wait) override
    {
        return this->pass(store_call::watch,
                          [&] { return this->inner->watch(key, after_version, wait); });
    }

    [[nodiscard]] result<std::vector<vm_record>> vms() override
    {
        return this->pass(store_call::read, [&] { return this->inner->vms(); });
    }

    [[nodiscard]] const store_call_counts& counts(store_call kind) const noexcept override
    {
        return this->counters[place_of(kind)];
    }

  private:
    template <typename Call>
    [[nodiscard]] auto pass(store_call kind, Call call) -> decltype(call())
    {
        call_gate& gate = this->gates[place_of(kind)];
        store_call_counts& counts = this->counters[place_of(kind)];
        const permission answer = gate.ask(this->clock->now());
        if (answer == permission::over_budget)
        {
            ++counts.over_budget;
            return fail(error_code::unavailable, step, "",
                        "this process has used up its budget of store calls");
        }
        if (answer == permission::held_back)
        {
            ++counts.held_back;
            return fail(error_code::unavailable, step, "",
                        "the store failed lately; the next try is not due yet");
        }
        ++counts.sent;
        auto outcome = call();
        const bool failed = !outcome && is_failure(outcome.error().code);
        counts.failed += failed ? 1 : 0;
        gate.note(failed, this->clock->now());
        return outcome;
    }

    object_store* inner;
    const clock_source* clock;
    std::array<call_gate, store_call_kinds> gates;
    std::array<store_call_counts, store_call_kinds> counters;
};

} // namespace

std::string_view to_string(store_call kind) noexcept
{
    return kind_names[place_of(kind)];
}

result<std::unique_ptr<budgeted_store>>
budgeted_store::create(object_store& inner, const clock_source& clock,
                       const store_budget_options& options)
{
    for (const store_rate& rate : {options.reads, options.writes, options.watches})
    {
        if (rate.per_second <= 0 || rate.burst < 1)
        {
            return fail(error_code::invalid, "make store budget", "",
                        "rates must be above 0 and bursts at least 1");
        }
    }
    return std::make_unique<store_impl>(inner, clock, options);
}

std::string to_metrics(const budgeted_store& store)
{
    std::string text = "# TYPE agateseam_store_calls_total counter\n";
    for (const store_call kind : {store_call::read, store_call::write, store_call::watch})
    {
        const store_call_counts& counts = store.counts(kind);
        const auto add = [&](std::string_view outcome, std::uint64_t value)
        {
            text += "agateseam_store_calls_total{kind=\"" + std::string(to_string(kind)) +
                    "\",outcome=\"" + std::string(outcome) + "\"} " +
                    std::to_string(value) + "\n";
        };
        const std::uint64_t failed = counts.failed;
        add("answered", counts.sent - failed);
        add("failed", failed);
        add("over_budget", counts.over_budget);
        add("held_back", counts.held_back);
    }
    return text;
}

} // namespace agateseam

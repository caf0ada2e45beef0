#include <bench/allowance_run.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t entry_count = 24;
/// Deliveries into which one answer's output is divided.
constexpr std::size_t chunk_count = 10;
constexpr seconds run_length{150};
constexpr seconds warm_up{25};
constexpr time_point fault_at{seconds(60)};
constexpr seconds short_fault{30};
constexpr seconds long_fault{60};
constexpr seconds shift_period{10};
constexpr duration sample_interval = milliseconds(100);
/// Share of each workspace's rate that its demand delivers on average.
constexpr double utilization = 0.7;
constexpr double flood_factor = 5;
constexpr double burst_seconds = 10;
/// Tokens per second; above it prompts and outputs are long.
constexpr double large_rate_threshold = 5'000;
constexpr std::size_t shifted_entries = 3;
constexpr std::string_view flooding_workspace = "kessler-masers";
/// Its home entry is killed or paused.
constexpr std::string_view faulted_workspace = "kalahari-drafts";

/// One request of the trace, the same for every policy.
struct traced_call
{
    time_point arrival;
    std::size_t workspace = 0;
    std::size_t entry = 0;
    double prompt = 0;
    double output_limit = 0;
    double output = 0;
    duration first_token{0};
    duration length{0}; ///< From the first token to the last.
};

std::vector<allowance_limits> make_limits()
{
    std::vector<allowance_limits> limits{
        {"kalahari-drafts", 40'000, 0}, {"kalahari-allergens", 25'000, 0},
        {"kalahari-booking", 6'000, 0}, {"kalahari-orders", 2'000, 0},
        {"kalahari-trial", 1'000, 0},   {"kessler-caesium", 30'000, 0},
        {"kessler-masers", 20'000, 0},  {"kessler-registry", 3'000, 0},
        {"kessler-audit", 1'000, 0},    {"kessler-trial", 500, 0},
        {"large-tenant", 400'000, 0}};
    for (allowance_limits& each : limits)
    {
        each.burst = each.rate * burst_seconds;
    }
    return limits;
}

/// Draws uniformly from [min_value, max_value).
double draw_uniform(pcg32& random, double min_value, double max_value)
{
    constexpr double steps = 1 << 20;
    return min_value + (max_value - min_value) * (random(1U << 20) / steps);
}

bool demand_shifts(share_scenario scenario)
{
    return scenario == share_scenario::demand_shift ||
           scenario == share_scenario::store_outage;
}

std::size_t draw_entry(pcg32& random, share_scenario scenario, std::size_t workspace,
                       time_point at)
{
    if (!demand_shifts(scenario))
    {
        return random(entry_count);
    }
    const auto period = static_cast<std::size_t>(at.time_since_epoch() / shift_period);
    const std::size_t first = (workspace * 5 + period * 7) % entry_count;
    return (first + random(shifted_entries)) % entry_count;
}

traced_call draw_call(pcg32& random, double rate)
{
    const bool is_large = rate > large_rate_threshold;
    traced_call call;
    call.prompt = std::floor(is_large ? draw_uniform(random, 500, 6'000)
                                      : draw_uniform(random, 100, 900));
    call.output_limit = is_large ? 600 : 200;
    call.output = std::floor(draw_uniform(random, 0.3, 1.0) * call.output_limit);
    call.first_token = milliseconds(100 + random(500));
    call.length = milliseconds(2'000 + random(6'000));
    return call;
}

/// Returns Poisson arrivals of all workspaces, sorted by arrival time.
std::vector<traced_call> make_trace(const std::vector<allowance_limits>& limits,
                                    share_scenario scenario, std::uint64_t seed)
{
    std::vector<traced_call> trace;
    for (std::size_t index = 0; index < limits.size(); ++index)
    {
        pcg32 random(seed, index);
        const double rate = limits[index].rate;
        const bool is_large = rate > large_rate_threshold;
        const double mean = is_large ? 3'250 + 390 : 500 + 130;
        const bool is_flooding = scenario == share_scenario::tenant_flood &&
                                 limits[index].workspace == flooding_workspace;
        const double per_second =
            rate * utilization / mean * (is_flooding ? flood_factor : 1);
        duration at{0};
        while (true)
        {
            const double gap = -std::log(1 - draw_uniform(random, 0, 1)) / per_second;
            at +=
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
            if (at >= run_length)
            {
                break;
            }
            traced_call call = draw_call(random, rate);
            call.arrival = time_point(at);
            call.workspace = index;
            call.entry = draw_entry(random, scenario, index, call.arrival);
            trace.push_back(call);
        }
    }
    std::stable_sort(trace.begin(), trace.end(),
                     [](const auto& left, const auto& right)
                     { return left.arrival < right.arrival; });
    return trace;
}

/// Schedules `on_delivery` with the tokens of each delivery, then `end` with the
/// reserved tokens that the output did not use.
template <typename Part, typename End>
void schedule(virtual_loop& loop, const traced_call& call, const Part& on_delivery,
              const End& end)
{
    loop.after(call.first_token, [call, on_delivery] { on_delivery(call.prompt); });
    double sent = 0;
    for (std::size_t chunk = 1; chunk <= chunk_count; ++chunk)
    {
        const double cumulative = std::floor(call.output * static_cast<double>(chunk) /
                                             static_cast<double>(chunk_count));
        const double tokens = cumulative - sent;
        sent = cumulative;
        const duration due =
            call.first_token + call.length * static_cast<int>(chunk) / chunk_count;
        loop.after(due, [tokens, on_delivery] { on_delivery(tokens); });
    }
    loop.after(call.first_token + call.length + milliseconds(1),
               [call, end] { end(call.output_limit - call.output); });
}

/// Returns which requests a single bucket admits that sees all requests at once.
std::vector<bool> run_omniscient(const std::vector<allowance_limits>& limits,
                                 const std::vector<traced_call>& trace)
{
    virtual_loop loop;
    const auto bucket = std::move(*token_buckets::create(loop.time));
    bucket->configure(limits);
    std::vector<bool> admitted(trace.size());
    for (std::size_t at = 0; at < trace.size(); ++at)
    {
        loop.at(trace[at].arrival,
                [&, at]
                {
                    const traced_call& call = trace[at];
                    const std::string& name = limits[call.workspace].workspace;
                    admitted[at] =
                        bucket->reserve(name, call.prompt + call.output_limit).admitted;
                    if (admitted[at])
                    {
                        schedule(
                            loop, call,
                            [&bucket, &name](double tokens)
                            { bucket->deliver(name, tokens); },
                            [&bucket, &name](double rest)
                            { bucket->release(name, rest); });
                    }
                });
    }
    loop.run_until(time_point(run_length));
    return admitted;
}

/// Measures by how much the deliveries of one workspace exceed rate * window + burst over
/// all windows, independently of the admission code.
class window_checker
{
  public:
    explicit window_checker(const allowance_limits& workspace_limits)
        : limits(workspace_limits)
    {
    }

    /// Adds a delivery. `excess` is the largest value of delivered tokens minus
    /// rate * window among all windows that end now.
    void add(time_point at, double tokens)
    {
        const std::chrono::duration<double> passed = at - this->last;
        this->last = at;
        this->excess = std::max(0.0, this->excess - passed.count() * this->limits.rate);
        this->excess += tokens;
        this->worst = std::max(this->worst, this->excess - this->limits.burst);
    }

    [[nodiscard]] double overshoot_tokens() const
    {
        constexpr double rounding = 0.01; // Tokens.
        return this->worst > rounding ? this->worst : 0;
    }

  private:
    allowance_limits limits;
    time_point last;
    double excess = 0;
    double worst = 0;
};

/// Runs one scenario under one policy.
class share_run
{
  public:
    share_run(share_scenario run_scenario, share_policy policy, std::uint64_t seed)
        : scenario(run_scenario)
        , limits(make_limits())
        , trace(make_trace(this->limits, run_scenario, seed))
        , fleet(this->loop, policy, entry_count, this->limits, seed)
        , outcomes(this->trace.size(), outcome::lost)
    {
        for (const allowance_limits& each : this->limits)
        {
            this->checkers.emplace_back(each);
        }
    }

    share_figures run()
    {
        for (std::size_t at = 0; at < this->trace.size(); ++at)
        {
            this->loop.at(this->trace[at].arrival, [this, at] { this->arrive(at); });
        }
        this->loop.at(fault_at, [this] { this->inject_fault(); });
        this->sample_unserved();
        this->loop.run_until(time_point(run_length));
        return this->evaluate();
    }

  private:
    enum class outcome : std::uint8_t
    {
        lost,
        admitted,
        refused
    };

    /// Returns the preferred entry, or the next one that answers, as the platform's load
    /// balancer does.
    [[nodiscard]] std::size_t pick_reachable_entry(std::size_t preferred) const
    {
        std::size_t entry = preferred;
        while (!this->fleet.reachable(entry))
        {
            entry = (entry + 1) % entry_count;
        }
        return entry;
    }

    void arrive(std::size_t at)
    {
        const traced_call& call = this->trace[at];
        const std::size_t entry = this->pick_reachable_entry(call.entry);
        this->fleet.reserve(entry, this->limits[call.workspace].workspace,
                            call.prompt + call.output_limit,
                            [this, at, entry](const admission_decision& decision)
                            { this->handle_decision(at, entry, decision.admitted); });
    }

    void handle_decision(std::size_t at, std::size_t entry, bool admitted)
    {
        this->outcomes[at] = admitted ? outcome::admitted : outcome::refused;
        if (!admitted)
        {
            return;
        }
        const std::size_t workspace = this->trace[at].workspace;
        schedule(
            this->loop, this->trace[at],
            [this, entry, workspace](double tokens)
            { this->deliver(entry, workspace, tokens); },
            [this, entry, workspace](double rest)
            { this->release(entry, workspace, rest); });
    }

    void deliver(std::size_t entry, std::size_t workspace, double tokens)
    {
        if (!this->fleet.alive(entry))
        {
            return;
        }
        if (!this->fleet.reachable(entry)) // A paused entry delivers when it resumes.
        {
            this->loop.at(this->fleet.paused_until(entry),
                          [this, entry, workspace, tokens]
                          { this->deliver(entry, workspace, tokens); });
            return;
        }
        if (this->fleet.deliver(entry, this->limits[workspace].workspace, tokens))
        {
            this->checkers[workspace].add(this->loop.time.now(), tokens);
        }
    }

    void release(std::size_t entry, std::size_t workspace, double rest)
    {
        if (!this->fleet.alive(entry))
        {
            return;
        }
        if (!this->fleet.reachable(entry))
        {
            this->loop.at(this->fleet.paused_until(entry), [this, entry, workspace, rest]
                          { this->release(entry, workspace, rest); });
            return;
        }
        this->fleet.release(entry, this->limits[workspace].workspace, rest);
    }

    void inject_fault()
    {
        const std::size_t home = this->fleet.home_of(std::string(faulted_workspace));
        switch (this->scenario)
        {
        case share_scenario::lost_answers:
            this->fleet.set_lose_write_answers(true);
            this->fleet.kill(home);
            break;
        case share_scenario::entry_lost:
            this->fleet.kill(home);
            break;
        case share_scenario::entry_paused:
            this->fleet.pause(home, short_fault);
            break;
        case share_scenario::partition:
            this->fleet.set_partition(entry_count / 3, true);
            this->loop.after(short_fault,
                             [this] { this->fleet.set_partition(0, false); });
            break;
        case share_scenario::store_outage:
            this->fleet.set_store_down(true);
            this->loop.after(long_fault, [this] { this->fleet.set_store_down(false); });
            break;
        default:
            break;
        }
    }

    /// Periodically adds up the share-seconds for which no home grants a workspace's
    /// allowance; with a fixed split, those of the parts of entries that do not run.
    void sample_unserved()
    {
        const double step = std::chrono::duration<double>(sample_interval).count();
        if (this->loop.time.now() >= time_point(warm_up))
        {
            for (const allowance_limits& each : this->limits)
            {
                this->stranded_share_seconds +=
                    step * this->fleet.unserved_share(each.workspace);
            }
        }
        this->loop.after(sample_interval, [this] { this->sample_unserved(); });
    }

    [[nodiscard]] share_figures evaluate() const
    {
        const std::vector<bool> omniscient = run_omniscient(this->limits, this->trace);
        share_figures figures;
        for (std::size_t at = 0; at < this->trace.size(); ++at)
        {
            if (this->trace[at].arrival < time_point(warm_up))
            {
                continue;
            }
            ++figures.requests;
            const bool refused = this->outcomes[at] == outcome::refused;
            figures.refused += refused ? 1 : 0;
            figures.refused_by_omniscient += omniscient[at] ? 0 : 1;
            figures.wrongful += refused && omniscient[at] ? 1 : 0;
            figures.lost += this->outcomes[at] == outcome::lost ? 1 : 0;
        }
        for (const window_checker& each : this->checkers)
        {
            figures.overshoot_tokens =
                std::max(figures.overshoot_tokens, each.overshoot_tokens());
        }
        const auto run_seconds = static_cast<double>(run_length.count());
        figures.stranded_share_seconds = this->stranded_share_seconds;
        figures.messages_per_entry_second =
            static_cast<double>(this->fleet.counts.messages) / run_seconds / entry_count;
        figures.store_calls_per_second =
            static_cast<double>(this->fleet.counts.store_calls) / run_seconds;
        return figures;
    }

    share_scenario scenario;
    std::vector<allowance_limits> limits;
    std::vector<traced_call> trace;
    virtual_loop loop;
    fleet_model fleet;
    std::vector<outcome> outcomes;
    std::vector<window_checker> checkers;
    double stranded_share_seconds = 0;
};

} // namespace

std::string_view to_string(share_scenario scenario) noexcept
{
    constexpr std::array<std::string_view, 8> names{
        "steady",       "demand_shift", "tenant_flood", "entry_lost",
        "entry_paused", "partition",    "store_outage", "lost_answers"};
    return names[static_cast<std::size_t>(scenario)];
}

double share_figures::wrongful_share() const noexcept
{
    return this->requests == 0 ? 0
                               : static_cast<double>(this->wrongful) /
                                     static_cast<double>(this->requests);
}

share_figures run_share_scenario(share_scenario scenario, share_policy policy,
                                 std::uint64_t seed)
{
    return share_run(scenario, policy, seed).run();
}

} // namespace agateseam::bench

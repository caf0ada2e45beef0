/// Measures the time of one admission with 1, 2 and 4 threads, and the memory per
/// workspace, at 31,000 workspaces, a tenth of that and three times that.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include <malloc.h>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <agateseam/share_holder.hpp>
#include <agateseam/token_buckets.hpp>

namespace
{

using namespace agateseam;

constexpr std::uint32_t planned_workspaces = 31'000; ///< Planned number of workspaces.
constexpr std::uint64_t seed = 20261203;
constexpr int rounds = 5; ///< The median of their times is reported.
constexpr std::uint32_t calls_per_thread = 200'000; ///< Admissions per thread and round.
/// Longest time of one admission that passes --check.
constexpr double max_admission_ns = 2'000;
constexpr double tokens_per_call = 10;

/// Returns the bytes of heap memory that are allocated now.
double allocated_bytes()
{
    const struct mallinfo2 state = mallinfo2();
    return static_cast<double>(state.uordblks) + static_cast<double>(state.hblkhd);
}

std::vector<allowance_limits> make_limits(std::uint32_t count)
{
    std::vector<allowance_limits> limits;
    limits.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        limits.push_back({"workspace-" + std::to_string(index), 1e6, 1e9, true});
    }
    return limits;
}

/// Reserves tokens of randomly drawn workspaces, delivers half of each reservation and
/// releases the rest.
void admit(admission& target, const std::vector<allowance_limits>& limits,
           std::uint64_t random_stream)
{
    pcg32 random(seed, random_stream);
    for (std::uint32_t call = 0; call < calls_per_thread; ++call)
    {
        const auto size = static_cast<std::uint32_t>(limits.size());
        const std::string& name = limits[random(size)].workspace;
        if (target.reserve(name, tokens_per_call).admitted)
        {
            target.deliver(name, tokens_per_call / 2);
            target.release(name, tokens_per_call / 2);
        }
    }
}

/// Returns the wall-clock nanoseconds per admission while `threads` threads admit at the
/// same time.
double measure_round(admission& target, const std::vector<allowance_limits>& limits,
                     unsigned threads)
{
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < threads; ++index)
    {
        workers.emplace_back([&, index] { admit(target, limits, index); });
    }
    for (std::thread& worker : workers)
    {
        worker.join();
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / calls_per_thread;
}

double median_time(admission& target, const std::vector<allowance_limits>& limits,
                   unsigned threads)
{
    std::vector<double> times;
    times.reserve(rounds);
    for (int round = 0; round < rounds; ++round)
    {
        times.push_back(measure_round(target, limits, threads));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Prints one line for each number of threads.
/// \returns whether each time is within the limit, which holds up to the planned size.
bool report(std::string_view side, admission& target,
            const std::vector<allowance_limits>& limits, double bytes)
{
    bool within_limit = true;
    for (const unsigned threads : {1U, 2U, 4U})
    {
        const double time = median_time(target, limits, threads);
        const nlohmann::ordered_json line{
            {"bench", "admission_micro"},
            {"side", side},
            {"workspaces", limits.size()},
            {"threads", threads},
            {"ns_per_admission", std::round(time)},
            {"bytes_per_workspace",
             std::round(bytes / static_cast<double>(limits.size()))}};
        std::cout << line.dump() << std::endl;
        within_limit = within_limit &&
                       (limits.size() > planned_workspaces || time < max_admission_ns);
    }
    return within_limit;
}

bool run(std::uint32_t count)
{
    const steady_clock_source clock;
    const auto limits = make_limits(count);
    const double bytes_at_start = allocated_bytes();
    const auto target = std::move(*token_buckets::create(clock));
    target->configure(limits);
    const double bytes_with_buckets = allocated_bytes();
    const auto holder =
        std::move(*share_holder::create(clock, "entry-1", 1, share_holder_options{}));
    holder->configure(limits);
    const double bytes_with_holder = allocated_bytes();
    for (const allowance_limits& each : limits)
    {
        // The holder then has tokens to grant without asking a home.
        holder->release(each.workspace, each.burst);
    }
    const bool home =
        report("home", *target, limits, bytes_with_buckets - bytes_at_start);
    const bool entry =
        report("entry", *holder, limits, bytes_with_holder - bytes_with_buckets);
    return home && entry;
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("admission_micro_bench", "Measures one admission");
    options.add_options()("json", "print JSON lines (always on)")(
        "check", "fail when an admission takes too long at the planned size or below");
    const auto parsed = options.parse(count, arguments);
    bool within_limit = true;
    for (const std::uint32_t size :
         {planned_workspaces / 10, planned_workspaces, planned_workspaces * 3})
    {
        within_limit = run(size) && within_limit;
    }
    return within_limit || parsed.count("check") == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

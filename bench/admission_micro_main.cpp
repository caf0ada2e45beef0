/// Measures one admission at 31,000 workspaces, a tenth and three times that: time by
/// threads, and memory.
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

constexpr std::uint32_t full_size = 31'000; ///< Workspaces.
constexpr std::uint64_t seed = 20261203;
constexpr int rounds = 5;                ///< The median counts.
constexpr std::uint32_t calls = 200'000; ///< Of one thread and round.
constexpr double limit_ns = 2'000;       ///< For one admission.
constexpr double tokens = 10;

/// Bytes that are allocated now.
double allocated_bytes()
{
    const struct mallinfo2 state = mallinfo2();
    return static_cast<double>(state.uordblks) + static_cast<double>(state.hblkhd);
}

std::vector<allowance_limits> make_terms(std::uint32_t count)
{
    std::vector<allowance_limits> terms;
    terms.reserve(count);
    for (std::uint32_t each = 0; each < count; ++each)
    {
        terms.push_back({"workspace-" + std::to_string(each), 1e6, 1e9, true});
    }
    return terms;
}

/// Reserves, delivers a part and releases the rest, at workspaces drawn at random.
void admit(admission& bucket, const std::vector<allowance_limits>& terms,
           std::uint64_t stream)
{
    pcg32 random(seed, stream);
    for (std::uint32_t call = 0; call < calls; ++call)
    {
        const auto size = static_cast<std::uint32_t>(terms.size());
        const std::string& name = terms[random(size)].workspace;
        if (bucket.reserve(name, tokens).admitted)
        {
            bucket.deliver(name, tokens / 2);
            bucket.release(name, tokens / 2);
        }
    }
}

/// Returns the time of one admission by the clock on the wall, of each thread.
double time_round(admission& bucket, const std::vector<allowance_limits>& terms,
                  unsigned threads)
{
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> runners;
    for (unsigned each = 0; each < threads; ++each)
    {
        runners.emplace_back([&, each] { admit(bucket, terms, each); });
    }
    for (std::thread& runner : runners)
    {
        runner.join();
    }
    const std::chrono::duration<double, std::nano> passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count() / calls;
}

double median_time(admission& bucket, const std::vector<allowance_limits>& terms,
                   unsigned threads)
{
    std::vector<double> times;
    times.reserve(rounds);
    for (int round = 0; round < rounds; ++round)
    {
        times.push_back(time_round(bucket, terms, threads));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Prints one line for each number of threads.
/// \returns whether each time is within the limit.
bool report(std::string_view side, admission& bucket,
            const std::vector<allowance_limits>& terms, double bytes)
{
    bool good = true;
    for (const unsigned threads : {1U, 2U, 4U})
    {
        const double time = median_time(bucket, terms, threads);
        const nlohmann::ordered_json line{
            {"bench", "admission_micro"},
            {"side", side},
            {"workspaces", terms.size()},
            {"threads", threads},
            {"ns_per_admission", std::round(time)},
            {"bytes_per_workspace",
             std::round(bytes / static_cast<double>(terms.size()))}};
        std::cout << line.dump() << std::endl;
        good = good && (terms.size() > full_size || time < limit_ns);
    }
    return good;
}

bool run(std::uint32_t count)
{
    const steady_clock_source time;
    const auto terms = make_terms(count);
    const double before = allocated_bytes();
    const auto bucket = std::move(*token_buckets::create(time));
    bucket->configure(terms);
    const double between = allocated_bytes();
    const auto holder =
        std::move(*share_holder::create(time, "entry-1", 1, share_holder_options{}));
    holder->configure(terms);
    const double after = allocated_bytes();
    for (const allowance_limits& each : terms)
    {
        holder->release(each.workspace, each.burst); // credit to spend
    }
    const bool home = report("home", *bucket, terms, between - before);
    const bool entry = report("entry", *holder, terms, after - between);
    return home && entry;
}

} // namespace

int main(int count, char** words)
{
    cxxopts::Options options("admission_micro_bench", "Measures one admission");
    options.add_options()("json", "print JSON lines; always so")(
        "check", "fail when an admission at the full size takes too long");
    const auto chosen = options.parse(count, words);
    bool good = true;
    for (const std::uint32_t size : {full_size / 10, full_size, full_size * 3})
    {
        good = run(size) && good;
    }
    return good || chosen.count("check") == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

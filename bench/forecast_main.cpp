/// Back-tests the forecast on generated histories against simple baselines.
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>

#include <cxxopts.hpp>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <bench/forecast_histories.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
using namespace agateseam::bench;
using json = nlohmann::json;

constexpr double least_coverage = 0.75;
constexpr double largest_coverage = 0.85;
constexpr std::uint64_t past_days = 30;

/// What one kind's histories came to.
struct kind_outcome
{
    std::uint32_t count = 0;
    std::uint32_t covered = 0;
    std::uint32_t refused = 0;
    double error = 0;      ///< Mean relative error, summed.
    double last_month = 0; ///< The same of "last month again".
    double mean_day = 0;   ///< The same of the mean of all days so far.
    double this_month = 0; ///< The same of the mean of this month's days so far.
};

double sum_between(const generated_history& history, std::uint64_t from, std::uint64_t to)
{
    double sum = 0;
    for (const hourly_amount& item : history.hours)
    {
        const std::uint64_t day = item.hour / hours_per_day;
        sum += day >= from && day < to ? item.amount : 0;
    }
    return sum;
}

/// The last whole month; the last thirty days when the history is younger.
double last_month_again(const generated_history& history, std::uint64_t first,
                        std::uint64_t today)
{
    const std::uint64_t current = calendar_month::of_day(today).first_day();
    const std::uint64_t before = calendar_month::of_day(current - 1).first_day();
    if (first <= before)
    {
        return sum_between(history, before, current);
    }
    return sum_between(history, today - past_days, today);
}

double mean_times_days(const generated_history& history, std::uint64_t from,
                       std::uint64_t today)
{
    return sum_between(history, from, today) / static_cast<double>(today - from) *
           static_cast<double>(history.target.days());
}

void judge(const generated_history& history, kind_outcome& outcome)
{
    const auto made = forecast_month(history.hours, {history.target, history.now, 0});
    if (!made)
    {
        ++outcome.refused;
        return;
    }
    const std::uint64_t first = history.hours.front().hour / hours_per_day;
    const std::uint64_t today = history.now / hours_per_day;
    const std::uint64_t current = calendar_month::of_day(today).first_day();
    const auto relative = [&](double amount)
    { return std::abs(amount - history.truth) / history.truth; };
    ++outcome.count;
    outcome.covered += history.truth >= made->low && history.truth <= made->high ? 1 : 0;
    outcome.error += relative(made->amount);
    outcome.last_month += relative(last_month_again(history, first, today));
    outcome.mean_day += relative(mean_times_days(history, first, today));
    const bool begun = current < today;
    outcome.this_month += relative(
        mean_times_days(history, begun ? std::max(first, current) : first, today));
}

json to_report(const kind_outcome& outcome)
{
    const double count = outcome.count;
    return {{"histories", outcome.count},
            {"refused", outcome.refused},
            {"mean_error", outcome.error / count},
            {"last_month_again", outcome.last_month / count},
            {"mean_of_days_so_far", outcome.mean_day / count},
            {"mean_of_this_month_so_far", outcome.this_month / count},
            {"interval_coverage", outcome.covered / count}};
}

bool meets_bars(const json& row)
{
    const double error = row["mean_error"];
    const double coverage = row["interval_coverage"];
    return error <= row["last_month_again"] && error <= row["mean_of_days_so_far"] &&
           coverage >= least_coverage && coverage <= largest_coverage;
}

void print(const json& report)
{
    std::printf("%-10s%10s%12s%12s%12s%10s%6s\n", "kind", "error", "last month",
                "mean day", "this month", "coverage", "bars");
    for (const auto& [kind, row] : report["kinds"].items())
    {
        std::printf("%-10s%9.2f%%%11.2f%%%11.2f%%%11.2f%%%9.1f%%%6s\n", kind.c_str(),
                    100 * row["mean_error"].get<double>(),
                    100 * row["last_month_again"].get<double>(),
                    100 * row["mean_of_days_so_far"].get<double>(),
                    100 * row["mean_of_this_month_so_far"].get<double>(),
                    100 * row["interval_coverage"].get<double>(),
                    row["meets_bars"].get<bool>() ? "yes" : "no");
    }
}

/// Writes one history of each kind as `agateseam forecast --history` reads it.
void write_history(const std::string& name, std::uint64_t seed)
{
    constexpr double output_price = 2e-6; // of a token, as in the demo
    constexpr std::array<const char*, history_kinds.size()> workspaces{
        "oshana", "swakop", "dune", "kalahari", "crumb"};
    json hours = json::object();
    usage_hour_number now = 0;
    for (std::size_t kind = 0; kind < history_kinds.size(); ++kind)
    {
        const auto made = generate_history(history_kinds[kind], seed);
        const usage_hour_number shift = now == 0 ? 0 : now - made.now;
        now = now == 0 ? made.now : now;
        for (const hourly_amount& item : made.hours)
        {
            if (item.hour < made.now)
            {
                json row = json::array({workspaces[kind], "drafting", 1, 0, 0});
                row.push_back(static_cast<std::uint64_t>(item.amount / output_price));
                row.insert(row.end(), {0, 0, 0, 0, 0, 0});
                hours[std::to_string(item.hour + shift)].push_back(std::move(row));
            }
        }
    }
    std::ofstream(name) << json{{"now", now}, {"hours", hours}};
}

int run(int argc, char** argv)
{
    cxxopts::Options options("forecast_bench",
                             "Back-tests the forecast on generated histories");
    options.add_options()("json", "print JSON")("check", "exit 1 when a bar is missed")(
        "seeds", "histories of each kind",
        cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "write-history", "write a generated history to this file",
        cxxopts::value<std::string>())(
        "first-seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                                               "");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("write-history") > 0)
    {
        write_history(arguments["write-history"].as<std::string>(),
                      arguments["first-seed"].as<std::uint64_t>());
        return 0;
    }
    const auto seeds = arguments["seeds"].as<std::uint64_t>();
    const auto first = arguments["first-seed"].as<std::uint64_t>();
    json kinds = json::object();
    bool all = true;
    for (const std::string_view kind : history_kinds)
    {
        kind_outcome outcome;
        for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        {
            judge(generate_history(kind, seed), outcome);
        }
        json row = to_report(outcome);
        row["meets_bars"] = meets_bars(row);
        all = all && row["meets_bars"].get<bool>();
        kinds[std::string(kind)] = row;
    }
    const json report{{"first_seed", first}, {"kinds", kinds}, {"meets_bars", all}};
    if (arguments.count("json") > 0)
    {
        std::cout << report.dump(2) << '\n';
    }
    else
    {
        print(report);
    }
    return arguments.count("check") > 0 && !all ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}

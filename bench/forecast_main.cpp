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

constexpr double min_coverage = 0.75;
constexpr double max_coverage = 0.85;
constexpr std::uint64_t fallback_days = 30;

/// Sums over the back-tested histories of one kind.
struct kind_totals
{
    std::uint32_t count = 0;
    std::uint32_t covered = 0;
    std::uint32_t refused = 0;
    double error = 0;      ///< Sum of the relative errors of the forecast.
    double last_month = 0; ///< The same for repeating the last month.
    double mean_day = 0;   ///< The same for the mean of all days so far.
    double this_month = 0; ///< The same for the mean of this month's days.
};

double sum_days(const generated_history& history, std::uint64_t from, std::uint64_t to)
{
    double sum = 0;
    for (const hourly_amount& item : history.hours)
    {
        const std::uint64_t day = item.hour / hours_per_day;
        sum += day >= from && day < to ? item.amount : 0;
    }
    return sum;
}

/// Predicts the amount of the last whole month, or of the last thirty days when the
/// history does not cover a whole month.
double predict_last_month(const generated_history& history, std::uint64_t first,
                          std::uint64_t today)
{
    const std::uint64_t current = calendar_month::of_day(today).first_day();
    const std::uint64_t before = calendar_month::of_day(current - 1).first_day();
    if (first <= before)
    {
        return sum_days(history, before, current);
    }
    return sum_days(history, today - fallback_days, today);
}

double predict_from_daily_mean(const generated_history& history, std::uint64_t from,
                               std::uint64_t today)
{
    return sum_days(history, from, today) / static_cast<double>(today - from) *
           static_cast<double>(history.target.days());
}

void back_test(const generated_history& history, kind_totals& totals)
{
    const auto forecast = forecast_month(history.hours, {history.target, history.now, 0});
    if (!forecast)
    {
        ++totals.refused;
        return;
    }
    const std::uint64_t first = history.hours.front().hour / hours_per_day;
    const std::uint64_t today = history.now / hours_per_day;
    const std::uint64_t current = calendar_month::of_day(today).first_day();
    const auto relative_error = [&](double amount)
    { return std::abs(amount - history.true_amount) / history.true_amount; };
    ++totals.count;
    totals.covered +=
        history.true_amount >= forecast->low && history.true_amount <= forecast->high ? 1
                                                                                      : 0;
    totals.error += relative_error(forecast->amount);
    totals.last_month += relative_error(predict_last_month(history, first, today));
    totals.mean_day += relative_error(predict_from_daily_mean(history, first, today));
    const bool month_has_begun = current < today;
    totals.this_month += relative_error(predict_from_daily_mean(
        history, month_has_begun ? std::max(first, current) : first, today));
}

json to_report(const kind_totals& totals)
{
    const double count = totals.count;
    return {{"histories", totals.count},
            {"refused", totals.refused},
            {"mean_error", totals.error / count},
            {"last_month_again", totals.last_month / count},
            {"mean_of_days_so_far", totals.mean_day / count},
            {"mean_of_this_month_so_far", totals.this_month / count},
            {"interval_coverage", totals.covered / count}};
}

bool meets_bounds(const json& row)
{
    const double error = row["mean_error"];
    const double coverage = row["interval_coverage"];
    return error <= row["last_month_again"] && error <= row["mean_of_days_so_far"] &&
           coverage >= min_coverage && coverage <= max_coverage;
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

/// Writes one history of each kind to a file that `agateseam forecast --history` reads.
void write_history(const std::string& name, std::uint64_t seed)
{
    constexpr double output_price = 2e-6; // Per token, as in the demo.
    constexpr std::array<const char*, history_kinds.size()> workspaces{
        "oshana", "swakop", "dune", "kalahari", "crumb"};
    json hours = json::object();
    usage_hour_number now = 0;
    for (std::size_t kind = 0; kind < history_kinds.size(); ++kind)
    {
        const auto generated = generate_history(history_kinds[kind], seed);
        const usage_hour_number shift = now == 0 ? 0 : now - generated.now;
        now = now == 0 ? generated.now : now;
        for (const hourly_amount& item : generated.hours)
        {
            if (item.hour < generated.now)
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
    options.add_options()("json", "print JSON")(
        "check", "exit with 1 when a bound on the errors or the coverage is missed")(
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
    bool all_within_bounds = true;
    for (const std::string_view kind : history_kinds)
    {
        kind_totals totals;
        for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        {
            back_test(generate_history(kind, seed), totals);
        }
        json row = to_report(totals);
        row["meets_bars"] = meets_bounds(row);
        all_within_bounds = all_within_bounds && row["meets_bars"].get<bool>();
        kinds[std::string(kind)] = row;
    }
    const json report{
        {"first_seed", first}, {"kinds", kinds}, {"meets_bars", all_within_bounds}};
    if (arguments.count("json") > 0)
    {
        std::cout << report.dump(2) << '\n';
    }
    else
    {
        print(report);
    }
    return arguments.count("check") > 0 && !all_within_bounds ? 1 : 0;
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

#include <bench/forecast_histories.hpp>

#include <cmath>
#include <random>

#include <pcg_random.hpp>

namespace agateseam::bench
{

namespace
{

constexpr std::uint64_t reference_day = 20'500; // 2026-02-16
constexpr double pi = 3.14159265358979;

/// Parameters of the daily amounts of one history, drawn once from its seed.
struct shape_parameters
{
    std::uint64_t first_day = 0;
    std::uint64_t today = 0;
    double level = 1;
    double weekend_factor = 1;
    double growth = 0; ///< Relative growth per day.
    bool compound = false;
    std::uint64_t step_day = 0;
    double step = 1;
    double ramp_days = 0;
    double noise = 0.2;
    double correlation = 0.3; ///< Correlation of the noise of neighbouring days.
};

class random_source
{
  public:
    explicit random_source(std::uint64_t seed)
        : random(seed)
    {
    }

    [[nodiscard]] double draw_uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(this->random);
    }

    [[nodiscard]] std::uint64_t days(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(this->random);
    }

    [[nodiscard]] double draw_normal()
    {
        return std::normal_distribution<double>(0, 1)(this->random);
    }

  private:
    pcg64 random;
};

shape_parameters draw_parameters(std::string_view kind, random_source& source)
{
    shape_parameters result;
    result.today = reference_day + source.days(0, 300);
    result.first_day = result.today - source.days(75, 120);
    result.level = std::exp(source.draw_uniform(0, 6));
    result.noise = source.draw_uniform(0.1, 0.3);
    if (kind == "weekly")
    {
        result.weekend_factor = source.draw_uniform(0.1, 0.6);
    }
    else if (kind == "growing")
    {
        result.growth = source.draw_uniform(0.003, 0.012);
        result.compound = source.draw_uniform(0, 1) < 0.5;
    }
    else if (kind == "step")
    {
        result.step_day = result.today - source.days(10, 45);
        result.step = source.draw_uniform(0, 1) < 0.5 ? source.draw_uniform(0.3, 0.7)
                                                      : source.draw_uniform(1.4, 3.0);
    }
    else if (kind == "new")
    {
        result.first_day = result.today - source.days(9, 28);
        result.ramp_days = source.draw_uniform(0, 5);
        result.weekend_factor = source.draw_uniform(0.5, 1);
    }
    return result;
}

double expected_amount(const shape_parameters& shape, std::uint64_t day)
{
    const auto age = static_cast<double>(day - shape.first_day);
    double value = shape.level;
    value *= shape.compound ? std::exp(shape.growth * age) : 1 + shape.growth * age;
    value *= shape.step_day > 0 && day >= shape.step_day ? shape.step : 1;
    value *= shape.ramp_days > 0 ? std::min(1.0, (age + 1) / shape.ramp_days) : 1;
    value *= day % 7 < 2 ? shape.weekend_factor : 1;
    return value;
}

void append_day(generated_history& result, std::uint64_t day, double amount)
{
    double weight_sum = 0;
    std::array<double, hours_per_day> profile{};
    for (std::size_t hour = 0; hour < profile.size(); ++hour)
    {
        profile[hour] = 1.2 - std::cos(2 * pi * static_cast<double>(hour) / 24);
        weight_sum += profile[hour];
    }
    for (std::size_t hour = 0; hour < profile.size(); ++hour)
    {
        result.hours.push_back(
            {day * hours_per_day + hour, amount * profile[hour] / weight_sum});
    }
}

} // namespace

generated_history generate_history(std::string_view kind, std::uint64_t seed)
{
    random_source source(seed);
    const shape_parameters shape = draw_parameters(kind, source);
    generated_history result;
    result.now = shape.today * hours_per_day;
    result.target = calendar_month::of_day(shape.today).next();
    const std::uint64_t begin = result.target.first_day();
    const std::uint64_t end = result.target.next().first_day();
    double noise = source.draw_normal();
    for (std::uint64_t day = shape.first_day; day < end; ++day)
    {
        const double innovation =
            source.draw_normal() * std::sqrt(1 - shape.correlation * shape.correlation);
        noise = shape.correlation * noise + innovation;
        const double amount = expected_amount(shape, day) * std::exp(shape.noise * noise);
        result.true_amount += day >= begin ? amount : 0;
        append_day(result, day, amount);
    }
    return result;
}

} // namespace agateseam::bench

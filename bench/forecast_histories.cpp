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

/// What a kind's days follow, drawn once per history.
struct shape_parameters
{
    std::uint64_t first_day = 0;
    std::uint64_t today = 0;
    double level = 1;
    double weekend = 1;
    double growth = 0; ///< A day.
    bool compound = false;
    std::uint64_t step_day = 0;
    double step = 1;
    double ramp_days = 0;
    double noise = 0.2;
    double correlation = 0.3; ///< Between the noise of neighbouring days.
};

class drawing
{
  public:
    explicit drawing(std::uint64_t seed)
        : random(seed)
    {
    }

    [[nodiscard]] double between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(this->random);
    }

    [[nodiscard]] std::uint64_t days(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(this->random);
    }

    [[nodiscard]] double normal()
    {
        return std::normal_distribution<double>(0, 1)(this->random);
    }

  private:
    pcg64 random;
};

shape_parameters draw_parameters(std::string_view kind, drawing& draw)
{
    shape_parameters made;
    made.today = reference_day + draw.days(0, 300);
    made.first_day = made.today - draw.days(75, 120);
    made.level = std::exp(draw.between(0, 6));
    made.noise = draw.between(0.1, 0.3);
    if (kind == "weekly")
    {
        made.weekend = draw.between(0.1, 0.6);
    }
    else if (kind == "growing")
    {
        made.growth = draw.between(0.003, 0.012);
        made.compound = draw.between(0, 1) < 0.5;
    }
    else if (kind == "step")
    {
        made.step_day = made.today - draw.days(10, 45);
        made.step =
            draw.between(0, 1) < 0.5 ? draw.between(0.3, 0.7) : draw.between(1.4, 3.0);
    }
    else if (kind == "new")
    {
        made.first_day = made.today - draw.days(9, 28);
        made.ramp_days = draw.between(0, 5);
        made.weekend = draw.between(0.5, 1);
    }
    return made;
}

double expected(const shape_parameters& shape, std::uint64_t day)
{
    const auto age = static_cast<double>(day - shape.first_day);
    double value = shape.level;
    value *= shape.compound ? std::exp(shape.growth * age) : 1 + shape.growth * age;
    value *= shape.step_day > 0 && day >= shape.step_day ? shape.step : 1;
    value *= shape.ramp_days > 0 ? std::min(1.0, (age + 1) / shape.ramp_days) : 1;
    value *= day % 7 < 2 ? shape.weekend : 1;
    return value;
}

void add_day(generated_history& made, std::uint64_t day, double amount)
{
    double weights = 0;
    std::array<double, hours_per_day> profile{};
    for (std::size_t hour = 0; hour < profile.size(); ++hour)
    {
        profile[hour] = 1.2 - std::cos(2 * pi * static_cast<double>(hour) / 24);
        weights += profile[hour];
    }
    for (std::size_t hour = 0; hour < profile.size(); ++hour)
    {
        made.hours.push_back(
            {day * hours_per_day + hour, amount * profile[hour] / weights});
    }
}

} // namespace

generated_history generate_history(std::string_view kind, std::uint64_t seed)
{
    drawing draw(seed);
    const shape_parameters shape = draw_parameters(kind, draw);
    generated_history made;
    made.now = shape.today * hours_per_day;
    made.target = calendar_month::of_day(shape.today).next();
    const std::uint64_t begin = made.target.first_day();
    const std::uint64_t end = made.target.next().first_day();
    double noise = draw.normal();
    for (std::uint64_t day = shape.first_day; day < end; ++day)
    {
        const double fresh =
            draw.normal() * std::sqrt(1 - shape.correlation * shape.correlation);
        noise = shape.correlation * noise + fresh;
        const double amount = expected(shape, day) * std::exp(shape.noise * noise);
        made.truth += day >= begin ? amount : 0;
        add_day(made, day, amount);
    }
    return made;
}

} // namespace agateseam::bench

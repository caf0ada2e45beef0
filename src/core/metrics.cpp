#include <agateseam/metrics.hpp>

#include <cstdio>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace agateseam
{

namespace
{

namespace accumulators = boost::accumulators;

using quantile_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::extended_p_square>>;

} // namespace

struct metric_quantiles::estimator
{
    quantile_accumulator accumulator{accumulators::extended_p_square_probabilities =
                                         probabilities};
};

metric_quantiles::metric_quantiles()
    : quantile_estimator(std::make_unique<estimator>())
{
}

metric_quantiles::~metric_quantiles() = default;

void metric_quantiles::add(double value) noexcept
{
    this->value_count.fetch_add(1, std::memory_order_relaxed);
    this->value_sum.fetch_add(value, std::memory_order_relaxed);
    const std::unique_lock lock(this->mutex, std::try_to_lock);
    if (lock.owns_lock())
    {
        this->quantile_estimator->accumulator(value);
    }
}

std::array<double, metric_quantiles::probabilities.size()>
metric_quantiles::values() const
{
    std::array<double, probabilities.size()> quantiles{};
    const std::scoped_lock lock(this->mutex);
    if (accumulators::count(this->quantile_estimator->accumulator) > 0)
    {
        const auto estimates =
            accumulators::extended_p_square(this->quantile_estimator->accumulator);
        for (std::size_t index = 0; index < quantiles.size(); ++index)
        {
            quantiles[index] = estimates[static_cast<std::ptrdiff_t>(index)];
        }
    }
    return quantiles;
}

std::uint64_t metric_quantiles::count() const noexcept
{
    return this->value_count.load(std::memory_order_relaxed);
}

double metric_quantiles::sum() const noexcept
{
    return this->value_sum.load(std::memory_order_relaxed);
}

void service_level_monitor::rotate_windows(time_point now)
{
    if (now - this->window_start < window)
    {
        return;
    }
    const bool previous_expired = now - this->window_start >= 2 * window;
    this->previous = previous_expired ? workspace_counts{} : std::move(this->current);
    this->current.clear();
    this->window_start = now;
}

void service_level_monitor::add(std::string_view workspace, bool good, time_point now)
{
    const std::scoped_lock lock(this->mutex);
    this->rotate_windows(now);
    auto found = this->current.find(workspace);
    if (found == this->current.end())
    {
        found = this->current.try_emplace(std::string(workspace)).first;
    }
    ++found->second.first;
    found->second.second += good ? 1 : 0;
}

workspace_service_level service_level_monitor::worst(time_point now) const
{
    const std::scoped_lock lock(this->mutex);
    workspace_counts totals = this->current;
    if (now - this->window_start < 2 * window)
    {
        for (const auto& [name, count] : this->previous)
        {
            totals[name].first += count.first;
            totals[name].second += count.second;
        }
    }
    workspace_service_level worst_level;
    for (const auto& [name, count] : totals)
    {
        const workspace_service_level candidate{name, count.first, count.second};
        if (count.first >= min_requests &&
            (worst_level.workspace.empty() ||
             candidate.served_ratio() < worst_level.served_ratio()))
        {
            worst_level = candidate;
        }
    }
    return worst_level;
}

void metric_writer::write_header(std::string_view name, std::string_view help,
                                 std::string_view type)
{
    if (this->last_name == name)
    {
        return;
    }
    this->last_name = name;
    this->output.append("# HELP ").append(name).append(" ").append(help);
    this->output.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void metric_writer::write_sample(std::string_view name, std::string_view labels,
                                 double value)
{
    std::array<char, 32> number{};
    (void)std::snprintf(number.data(), number.size(), "%.15g", value);
    this->output.append(name);
    if (!labels.empty())
    {
        this->output.append("{").append(labels).append("}");
    }
    this->output.append(" ").append(number.data()).append("\n");
}

void metric_writer::counter(std::string_view name, std::string_view help,
                            std::uint64_t value, std::string_view labels)
{
    this->write_header(name, help, "counter");
    this->write_sample(name, labels, static_cast<double>(value));
}

void metric_writer::gauge(std::string_view name, std::string_view help, double value,
                          std::string_view labels)
{
    this->write_header(name, help, "gauge");
    this->write_sample(name, labels, value);
}

void metric_writer::summary(std::string_view name, std::string_view help,
                            const metric_quantiles& source)
{
    this->write_header(name, help, "summary");
    const auto values = source.values();
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        std::array<char, 32> label{};
        (void)std::snprintf(label.data(), label.size(), "quantile=\"%g\"",
                            metric_quantiles::probabilities[index]);
        this->write_sample(name, label.data(), values[index]);
    }
    this->write_sample(std::string(name) + "_sum", {}, source.sum());
    this->write_sample(std::string(name) + "_count", {},
                       static_cast<double>(source.count()));
}

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char character : value)
    {
        if (character == '\n')
        {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

} // namespace agateseam

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

using quantile_set = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::extended_p_square>>;

} // namespace

struct metric_quantiles::estimator
{
    quantile_set set{accumulators::extended_p_square_probabilities = shares};
};

metric_quantiles::metric_quantiles()
    : state(std::make_unique<estimator>())
{
}

metric_quantiles::~metric_quantiles() = default;

void metric_quantiles::add(double value) noexcept
{
    this->taken.fetch_add(1, std::memory_order_relaxed);
    this->total.fetch_add(value, std::memory_order_relaxed);
    const std::unique_lock hold(this->mutex, std::try_to_lock);
    if (hold.owns_lock())
    {
        this->state->set(value);
    }
}

std::array<double, metric_quantiles::shares.size()> metric_quantiles::values() const
{
    std::array<double, shares.size()> found{};
    const std::scoped_lock hold(this->mutex);
    if (accumulators::count(this->state->set) > 0)
    {
        const auto estimates = accumulators::extended_p_square(this->state->set);
        for (std::size_t index = 0; index < found.size(); ++index)
        {
            found[index] = estimates[static_cast<std::ptrdiff_t>(index)];
        }
    }
    return found;
}

std::uint64_t metric_quantiles::count() const noexcept
{
    return this->taken.load(std::memory_order_relaxed);
}

double metric_quantiles::sum() const noexcept
{
    return this->total.load(std::memory_order_relaxed);
}

void service_watch::turn(time_point now)
{
    if (now - this->begun < window)
    {
        return;
    }
    const bool stale = now - this->begun >= 2 * window;
    this->previous = stale ? counts{} : std::move(this->current);
    this->current.clear();
    this->begun = now;
}

void service_watch::add(std::string_view workspace, bool good, time_point now)
{
    const std::scoped_lock hold(this->mutex);
    this->turn(now);
    auto found = this->current.find(workspace);
    if (found == this->current.end())
    {
        found = this->current.try_emplace(std::string(workspace)).first;
    }
    ++found->second.first;
    found->second.second += good ? 1 : 0;
}

workspace_service service_watch::worst(time_point now) const
{
    const std::scoped_lock hold(this->mutex);
    counts both = this->current;
    if (now - this->begun < 2 * window)
    {
        for (const auto& [name, count] : this->previous)
        {
            both[name].first += count.first;
            both[name].second += count.second;
        }
    }
    workspace_service lowest;
    for (const auto& [name, count] : both)
    {
        const workspace_service candidate{name, count.first, count.second};
        if (count.first >= least_asked &&
            (lowest.workspace.empty() || candidate.share() < lowest.share()))
        {
            lowest = candidate;
        }
    }
    return lowest;
}

void metric_writer::head(std::string_view name, std::string_view help,
                         std::string_view type)
{
    if (this->last_name == name)
    {
        return;
    }
    this->last_name = name;
    this->written.append("# HELP ").append(name).append(" ").append(help);
    this->written.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void metric_writer::line(std::string_view name, std::string_view labels, double value)
{
    std::array<char, 32> number{};
    (void)std::snprintf(number.data(), number.size(), "%.15g", value);
    this->written.append(name);
    if (!labels.empty())
    {
        this->written.append("{").append(labels).append("}");
    }
    this->written.append(" ").append(number.data()).append("\n");
}

void metric_writer::counter(std::string_view name, std::string_view help,
                            std::uint64_t value, std::string_view labels)
{
    this->head(name, help, "counter");
    this->line(name, labels, static_cast<double>(value));
}

void metric_writer::gauge(std::string_view name, std::string_view help, double value,
                          std::string_view labels)
{
    this->head(name, help, "gauge");
    this->line(name, labels, value);
}

void metric_writer::summary(std::string_view name, std::string_view help,
                            const metric_quantiles& source)
{
    this->head(name, help, "summary");
    const auto values = source.values();
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        std::array<char, 32> label{};
        (void)std::snprintf(label.data(), label.size(), "quantile=\"%g\"",
                            metric_quantiles::shares[index]);
        this->line(name, label.data(), values[index]);
    }
    this->line(std::string(name) + "_sum", {}, source.sum());
    this->line(std::string(name) + "_count", {}, static_cast<double>(source.count()));
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

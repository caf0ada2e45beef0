#include <gateway/entry_counters.hpp>

namespace agateseam
{

namespace
{

std::string format_decimal(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
    {
        text.pop_back();
    }
    return text;
}

} // namespace

void duration_histogram::add(duration elapsed) noexcept
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(elapsed).count();
    std::size_t index = 0;
    while (index < bounds.size() && milliseconds > bounds[index])
    {
        ++index;
    }
    ++this->counts[index];
    this->sum_ms += milliseconds;
}

void duration_histogram::write(std::string& text, std::string_view name,
                               std::string_view labels) const
{
    std::uint64_t cumulative_count = 0;
    const std::string base(name);
    for (std::size_t index = 0; index < this->counts.size(); ++index)
    {
        cumulative_count += this->counts[index];
        const std::string bound =
            index < bounds.size() ? format_decimal(bounds[index]) : "+Inf";
        text += base + "_bucket{" + std::string(labels) + "le=\"" + bound + "\"} " +
                std::to_string(cumulative_count) + "\n";
    }
    text += base + "_sum " + format_decimal(this->sum_ms) + "\n";
    text += base + "_count " + std::to_string(cumulative_count) + "\n";
}

void entry_counters::add(std::string_view name, double amount)
{
    const auto found = this->counts.find(name);
    if (found == this->counts.end())
    {
        this->counts.emplace(name, amount);
        return;
    }
    found->second += amount;
}

void entry_counters::set(std::string_view name, double value)
{
    this->counts.insert_or_assign(std::string(name), value);
}

void entry_counters::observe(std::string_view name, duration elapsed)
{
    const auto found = this->histograms.find(name);
    if (found == this->histograms.end())
    {
        this->histograms.emplace(name, duration_histogram{}).first->second.add(elapsed);
        return;
    }
    found->second.add(elapsed);
}

std::string entry_counters::text() const
{
    std::string text;
    for (const auto& [name, count] : this->counts)
    {
        text += name + " " + format_decimal(count) + "\n";
    }
    for (const auto& [name, histogram] : this->histograms)
    {
        histogram.write(text, name, "");
    }
    return text;
}

} // namespace agateseam

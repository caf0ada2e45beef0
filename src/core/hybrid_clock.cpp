#include <agateseam/hybrid_clock.hpp>

#include <algorithm>
#include <charconv>

namespace agateseam
{

std::string to_text(hybrid_time timestamp)
{
    return std::to_string(timestamp.packed);
}

result<hybrid_time> parse_hybrid_time(std::string_view text)
{
    hybrid_time timestamp;
    const char* end = text.data() + text.size();
    const auto [parsed_end, status] = std::from_chars(text.data(), end, timestamp.packed);
    if (status != std::errc() || parsed_end != end)
    {
        return fail(error_code::invalid, "read stamp", "", "not a decimal number");
    }
    return timestamp;
}

std::uint64_t hybrid_clock::packed_wall_time() const noexcept
{
    const auto milliseconds = this->source->wall_now().time_since_epoch().count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0))
           << hybrid_time::counter_bits;
}

hybrid_time hybrid_clock::tick() noexcept
{
    const std::uint64_t now = this->packed_wall_time();
    std::uint64_t previous = this->latest.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do
    {
        next = std::max(now, previous + 1);
    } while (
        !this->latest.compare_exchange_weak(previous, next, std::memory_order_acq_rel));
    return {next};
}

bool hybrid_clock::merge(hybrid_time remote) noexcept
{
    const std::uint64_t packed_lead = static_cast<std::uint64_t>(max_lead.count())
                                      << hybrid_time::counter_bits;
    if (remote.packed > this->packed_wall_time() + packed_lead)
    {
        return false;
    }
    std::uint64_t previous = this->latest.load(std::memory_order_relaxed);
    while (previous < remote.packed &&
           !this->latest.compare_exchange_weak(previous, remote.packed,
                                               std::memory_order_acq_rel))
    {
    }
    return true;
}

} // namespace agateseam

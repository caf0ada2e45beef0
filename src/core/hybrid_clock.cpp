#include <agateseam/hybrid_clock.hpp>

#include <algorithm>
#include <charconv>

namespace agateseam
{

std::string to_text(hybrid_time stamp)
{
    return std::to_string(stamp.packed);
}

result<hybrid_time> parse_hybrid_time(std::string_view text)
{
    hybrid_time stamp;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, stamp.packed);
    if (fault != std::errc() || stop != end)
    {
        return fail(error_code::invalid, "read stamp", "", "not a decimal number");
    }
    return stamp;
}

std::uint64_t hybrid_clock::calendar() const noexcept
{
    const auto since = this->source->wall_now().time_since_epoch().count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(since, 0))
           << hybrid_time::counter_bits;
}

hybrid_time hybrid_clock::tick() noexcept
{
    const std::uint64_t now = this->calendar();
    std::uint64_t known = this->last.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do
    {
        next = std::max(now, known + 1);
    } while (!this->last.compare_exchange_weak(known, next, std::memory_order_acq_rel));
    return {next};
}

bool hybrid_clock::merge(hybrid_time remote) noexcept
{
    const std::uint64_t lead = static_cast<std::uint64_t>(largest_lead.count())
                               << hybrid_time::counter_bits;
    if (remote.packed > this->calendar() + lead)
    {
        return false;
    }
    std::uint64_t known = this->last.load(std::memory_order_relaxed);
    while (known < remote.packed && !this->last.compare_exchange_weak(
                                        known, remote.packed, std::memory_order_acq_rel))
    {
    }
    return true;
}

} // namespace agateseam

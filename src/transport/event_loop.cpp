#include <transport/event_loop.hpp>

#include <array>

#include <net/log.hpp>

namespace agateseam
{

namespace
{

constexpr std::size_t read_buffer_size = 65'536; // bytes that a TCP window may hold

} // namespace

std::span<char> shared_read_buffer() noexcept
{
    thread_local std::array<char, read_buffer_size> bytes;
    return bytes;
}

void log_exception(const std::exception_ptr& thrown)
{
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (const std::exception& fault)
    {
        log_line(log_level::error, "coroutine failed", {{"reason", fault.what()}});
    }
}

} // namespace agateseam

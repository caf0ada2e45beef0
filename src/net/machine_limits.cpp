#include <net/machine_limits.hpp>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace agateseam
{

namespace
{

/// Used if the system doesn't tell, which Linux always does.
constexpr std::size_t fallback_memory = std::size_t{256} << 20; // bytes
constexpr std::size_t fallback_descriptors = 1'024;
constexpr int large_buffer_size = 128 << 10; // bytes

} // namespace

std::size_t machine_memory_bytes() noexcept
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_size = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && page_size > 0
               ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_size)
               : fallback_memory;
}

std::size_t descriptor_limit() noexcept
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY
               ? static_cast<std::size_t>(limit.rlim_cur)
               : fallback_descriptors;
}

void return_large_buffers() noexcept
{
    ::mallopt(M_MMAP_THRESHOLD, large_buffer_size);
}

} // namespace agateseam

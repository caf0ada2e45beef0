/// What the operating system allows this process.
#pragma once

#include <cstddef>

namespace agateseam
{

/// \brief Returns the physical memory of the machine.
[[nodiscard]] std::size_t machine_memory_bytes() noexcept;

/// \brief Returns how many file descriptors the process may have open.
[[nodiscard]] std::size_t descriptor_limit() noexcept;

/// \brief Makes the allocator return large buffers to the system when they are freed. By
/// default it keeps them once some were freed, in a heap with gaps.
void return_large_buffers() noexcept;

} // namespace agateseam

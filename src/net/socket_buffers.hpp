/// Limits on what the kernel keeps for a socket, which is memory of the machine as well.
#pragma once

#include <cstddef>
#include <cstdint>

namespace agateseam
{

/// \brief The size of a socket's receive buffer.
enum class receive_buffer : std::uint8_t
{
    small, ///< For heads and small bodies.
    large  ///< While a body is received that is larger than a small buffer.
};

/// Bytes that may arrive in a small buffer before they are read.
inline constexpr std::size_t small_receive_bytes = 4 << 10;

/// Answers of up to this size may be unread without being counted.
inline constexpr std::size_t min_counted_unsent = 4 << 10;

/// What the kernel may keep of what the process hasn't read; twice the buffer's size.
[[nodiscard]] constexpr std::size_t kernel_memory(receive_buffer size) noexcept
{
    constexpr std::size_t large_receive_bytes = 64 << 10;
    return 2 *
           (size == receive_buffer::small ? small_receive_bytes : large_receive_bytes);
}

/// What the kernel may keep for a connection before any of it is counted.
inline constexpr std::size_t socket_overhead =
    kernel_memory(receive_buffer::small) + min_counted_unsent;

/// \brief Bounds what the kernel keeps of what the process or its peer doesn't read.
/// \param descriptor of a socket that isn't connected; those that a listening one accepts
/// inherit the limits.
void limit_socket_buffers(int descriptor, receive_buffer size) noexcept;

/// \brief Sets the size of a connected socket's receive buffer.
void set_receive_buffer(int descriptor, receive_buffer size) noexcept;

/// \brief Returns the bytes that were sent and that the peer hasn't received yet.
[[nodiscard]] std::size_t unsent_bytes(int descriptor) noexcept;

} // namespace agateseam

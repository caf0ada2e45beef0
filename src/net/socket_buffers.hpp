/// Limits on what the kernel keeps for a socket.
#pragma once

namespace agateseam
{

/// The receive buffer of a socket, in bytes. It bounds what the kernel keeps of what the
/// process doesn't read.
inline constexpr int receive_buffer_size = 65'536;

/// \brief Bounds what the kernel keeps of what the process or its peer doesn't read.
/// \param descriptor of a socket that isn't connected; those that a listening one accepts
/// inherit the limits.
void limit_socket_buffers(int descriptor) noexcept;

} // namespace agateseam

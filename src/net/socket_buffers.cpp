#include <net/socket_buffers.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace agateseam
{

namespace
{

constexpr int max_unsent_bytes = 65'536; // in the kernel, for each connection

} // namespace

void limit_socket_buffers(int descriptor, receive_buffer size) noexcept
{
    set_receive_buffer(descriptor, size);
    // Unlike a fixed send buffer, it doesn't slow down a peer that is far away.
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
               sizeof max_unsent_bytes);
}

void set_receive_buffer(int descriptor, receive_buffer size) noexcept
{
    // The kernel doubles the size of the buffer, for its own structures.
    const int bytes = static_cast<int>(kernel_memory(size) / 2);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    if (size == receive_buffer::large)
    {
        // The window was limited to the size that the buffer had at first.
        setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
    }
}

std::size_t unsent_bytes(int descriptor) noexcept
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0
               ? static_cast<std::size_t>(bytes)
               : 0;
}

} // namespace agateseam

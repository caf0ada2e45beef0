#include <net/socket_buffers.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace agateseam
{

namespace
{

constexpr int max_unsent_bytes = 65'536; // in the kernel, for each connection

} // namespace

void limit_socket_buffers(int descriptor) noexcept
{
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
               sizeof receive_buffer_size);
    // Unlike a fixed send buffer, it doesn't slow down a peer that is far away.
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
               sizeof max_unsent_bytes);
}

} // namespace agateseam

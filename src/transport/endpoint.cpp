#include <transport/endpoint.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/status.hpp>

namespace agateseam
{

namespace
{

constexpr int max_unsent_bytes = 65'536; // in the kernel, for each connection

} // namespace

result<tcp_endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    io_error fault;
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), fault);
    unsigned port = 0;
    if (colon != std::string_view::npos)
    {
        for (const char digit : address.substr(colon + 1))
        {
            port = digit >= '0' && digit <= '9' ? port * 10 + (digit - '0') : 65'536;
            if (port > 65'535)
            {
                break;
            }
        }
    }
    if (fault || colon == std::string_view::npos || port > 65'535)
    {
        return fail(error_code::invalid, "parse address", address,
                    "an address is IP:port");
    }
    return tcp_endpoint(ip, static_cast<std::uint16_t>(port));
}

void limit_unsent_bytes(tcp_socket& socket) noexcept
{
    // Unlike a fixed send buffer, it doesn't slow down a peer that is far away.
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
               sizeof max_unsent_bytes);
}

std::string_view reason_phrase(int status) noexcept
{
    const auto phrase = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace agateseam

#include <transport/endpoint.hpp>

#include <boost/beast/http/status.hpp>

#include <net/http_syntax.hpp>

namespace agateseam
{

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
    // The address is also sent in a header field.
    if (fault || colon == std::string_view::npos || port > 65'535 ||
        !is_field_value(address))
    {
        return fail(error_code::invalid, "parse address", address,
                    "an address is IP:port");
    }
    return tcp_endpoint(ip, static_cast<std::uint16_t>(port));
}

std::string_view reason_phrase(int status) noexcept
{
    const auto phrase = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace agateseam

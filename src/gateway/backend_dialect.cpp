#include <gateway/backend_dialect.hpp>

#include <algorithm>
#include <array>

namespace agateseam
{

std::function<response_match(const message_head&)>
make_reply_filter(const backend_dialect& dialect, const upstream_connection& link,
                  std::string request_id)
{
    return [&dialect, &link, id = std::move(request_id)](const message_head& head)
    {
        const std::string answered_id = dialect.read_reply(head).request_id;
        if (answered_id == id)
        {
            return response_match::current;
        }
        if (!answered_id.empty())
        {
            return response_match::other;
        }
        return link.is_first_response() ? response_match::current
                                        : response_match::unknown;
    };
}

bool is_hop_by_hop_header(std::string_view name, std::string_view connection) noexcept
{
    static constexpr std::array<std::string_view, 10> always_hop_by_hop{
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect"};
    const bool listed = std::any_of(always_hop_by_hop.begin(), always_hop_by_hop.end(),
                                    [name](std::string_view known)
                                    { return equals_ignoring_case(known, name); });
    return listed || list_contains_token(connection, name);
}

} // namespace agateseam

#include <gateway/backend_dialect.hpp>

#include <algorithm>
#include <array>

namespace agateseam
{

std::function<bool(const message_head&)> answers_to(const backend_dialect& dialect,
                                                    std::string request_id)
{
    return [&dialect, id = std::move(request_id)](const message_head& head)
    {
        const std::string answered = dialect.read_reply(head).request_id;
        return answered.empty() || answered == id;
    };
}

bool only_for_connection(std::string_view name, std::string_view connection) noexcept
{
    static constexpr std::array<std::string_view, 10> always{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Expect"};
    const bool listed = std::any_of(always.begin(), always.end(),
                                    [name](std::string_view known)
                                    { return equals_ignoring_case(known, name); });
    return listed || list_contains_token(connection, name);
}

} // namespace agateseam

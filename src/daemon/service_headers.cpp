#include <daemon/service_headers.hpp>

namespace agateseam
{

std::vector<http_header> service_headers(const http_request& request)
{
    std::vector<http_header> found;
    for (const std::string_view name :
         {std::string_view("Content-Type"), last_event_header})
    {
        const std::string_view value = request.header(name);
        if (!value.empty())
        {
            found.emplace_back(name, value);
        }
    }
    return found;
}

} // namespace agateseam

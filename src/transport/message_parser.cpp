#include <transport/message_parser.hpp>

#include <algorithm>
#include <cctype>

namespace agateseam
{

namespace
{

bool equal_letters(unsigned char left, unsigned char right) noexcept
{
    return std::tolower(left) == std::tolower(right);
}

std::string_view trim(std::string_view text) noexcept
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      equal_letters);
}

std::string_view find_header(const std::vector<header_field>& fields,
                             std::string_view name) noexcept
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [name](const header_field& field)
                                    { return equals_ignoring_case(field.name, name); });
    return found == fields.end() ? std::string_view{} : std::string_view(found->value);
}

bool list_contains_token(std::string_view list, std::string_view token) noexcept
{
    while (!list.empty())
    {
        const std::size_t comma = list.find(',');
        if (equals_ignoring_case(trim(list.substr(0, comma)), token))
        {
            return true;
        }
        list =
            comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace agateseam

#include <net/http_syntax.hpp>

#include <algorithm>

namespace agateseam
{

namespace
{

constexpr bool is_token_character(char character) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           marks.find(character) != std::string_view::npos;
}

constexpr bool is_value_character(char character) noexcept
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return character == '\t' || (code >= first_printable && code != delete_character);
}

} // namespace

bool is_field_name(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), is_value_character);
}

} // namespace agateseam

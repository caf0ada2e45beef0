#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <net/uri_component.hpp>
#include <platform/store_session.hpp>

using namespace agateseam;

namespace
{

/// Decodes a component as the servers of the web do.
std::string decode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] == '%')
        {
            decoded += static_cast<char>(
                std::stoi(std::string(text.substr(index + 1, 2)), nullptr, hexadecimal));
            index += 2;
        }
        else
        {
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

} // namespace

TEST_CASE("any text becomes one component of a path or a query")
{
    CHECK(encode_uri_component("") == "");
    CHECK(encode_uri_component("aZ09-._~") == "aZ09-._~");
    CHECK(encode_uri_component("a b&c+d#e%f/g?h=i") ==
          "a%20b%26c%2Bd%23e%25f%2Fg%3Fh%3Di");
    CHECK(encode_uri_component(std::string_view("a\0\r\n\x7f\xc3\xa9", 7)) ==
          "a%00%0D%0A%7F%C3%A9");
    CHECK(object_path("servers", "a/b?c") == "/v1/objects/servers/a%2Fb%3Fc");
    CHECK(object_path("servers") == "/v1/objects/servers");
    rc::check("decoding gives the text back", [](const std::string& text)
              { RC_ASSERT(decode(encode_uri_component(text)) == text); });
}

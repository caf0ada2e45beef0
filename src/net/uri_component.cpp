#include <net/uri_component.hpp>

#include <cstdlib>
#include <memory>
#include <new>

#include <event2/http.h>

namespace agateseam
{

namespace
{

struct malloc_deleter
{
    void operator()(char* text) const noexcept { std::free(text); }
};

} // namespace

std::string encode_uri_component(std::string_view text)
{
    constexpr int no_plus_for_blanks = 0;
    // libevent takes a length of zero for an empty text, but needs a pointer.
    const std::string_view source = text.empty() ? std::string_view("") : text;
    const std::unique_ptr<char, malloc_deleter> encoded(evhttp_uriencode(
        source.data(), static_cast<ev_ssize_t>(source.size()), no_plus_for_blanks));
    if (!encoded)
    {
        throw std::bad_alloc();
    }
    return encoded.get();
}

} // namespace agateseam

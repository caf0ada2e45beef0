#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <transport/endpoint.hpp>
#include <transport/message_parser.hpp>

using namespace agateseam;

namespace
{

bool feed(request_parser& parser, std::string bytes)
{
    boost::beast::error_code fault;
    return parse_some(parser, bytes, fault);
}

} // namespace

TEST_CASE("a request parses the same however it is cut")
{
    const std::string whole = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nGET";
    CHECK(rc::check(
        [&whole](const std::vector<std::uint8_t>& cuts)
        {
            request_parser parser;
            parser.eager(true);
            std::string inbox;
            std::string_view left = whole;
            boost::beast::error_code fault;
            for (const std::uint8_t cut : cuts)
            {
                const std::size_t size = std::min<std::size_t>(cut % 23, left.size());
                inbox += left.substr(0, size);
                left.remove_prefix(size);
                RC_ASSERT(parse_some(parser, inbox, fault));
            }
            inbox += left;
            RC_ASSERT(parse_some(parser, inbox, fault));
            RC_ASSERT(parser.is_done());
            RC_ASSERT(parser.body == "hello world");
            RC_ASSERT(parser.head.target == "/a/b?c=d");
            RC_ASSERT(inbox == "GET");
        }));
}

TEST_CASE("two ways of framing in one request are refused")
{
    request_parser parser;
    parser.eager(true);
    CHECK(!feed(parser, "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"));
    request_parser other;
    other.eager(true);
    CHECK(!feed(other,
                "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"));
    request_parser spaced;
    spaced.eager(true);
    CHECK(!feed(spaced, "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n"));
}

TEST_CASE("header names compare without case, lists by their words")
{
    const std::vector<header_field> fields{{"Keep-Alive", "timeout=3"}, {"X", "1"}};
    CHECK(find_header(fields, "keep-alive") == "timeout=3");
    CHECK(find_header(fields, "keep").empty());
    CHECK(list_contains_token("close, TE", "te"));
    CHECK(list_contains_token(" Close ", "close"));
    CHECK(!list_contains_token("closed", "close"));
    CHECK(!list_contains_token("", "close"));
}

TEST_CASE("addresses are an IP and a port")
{
    CHECK(parse_endpoint("10.1.0.3:8360")->port() == 8360);
    CHECK(!parse_endpoint("10.1.0.3"));
    CHECK(!parse_endpoint("host.example:80"));
    CHECK(!parse_endpoint("10.1.0.3:70000"));
    CHECK(!parse_endpoint("10.1.0.3:8x"));
    CHECK(!parse_endpoint(""));
}

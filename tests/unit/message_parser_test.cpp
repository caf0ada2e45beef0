#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <transport/endpoint.hpp>
#include <transport/message_parser.hpp>

using namespace agateseam;

namespace
{

bool parse(request_parser& parser, std::string bytes)
{
    boost::beast::error_code fault;
    return parse_some(parser, bytes, fault);
}

} // namespace

TEST_CASE("a request parses the same however its bytes are split")
{
    const std::string request_bytes =
        "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nGET";
    CHECK(rc::check(
        [&request_bytes](const std::vector<std::uint8_t>& part_sizes)
        {
            request_parser parser;
            parser.eager(true);
            std::string input;
            std::string_view remaining = request_bytes;
            boost::beast::error_code fault;
            for (const std::uint8_t part_size : part_sizes)
            {
                const std::size_t size =
                    std::min<std::size_t>(part_size % 23, remaining.size());
                input += remaining.substr(0, size);
                remaining.remove_prefix(size);
                RC_ASSERT(parse_some(parser, input, fault));
            }
            input += remaining;
            RC_ASSERT(parse_some(parser, input, fault));
            RC_ASSERT(parser.is_done());
            RC_ASSERT(parser.body == "hello world");
            RC_ASSERT(parser.head.target == "/a/b?c=d");
            RC_ASSERT(input == "GET");
        }));
}

TEST_CASE("a request with ambiguous framing is refused")
{
    request_parser length_and_chunked;
    length_and_chunked.eager(true);
    CHECK(!parse(length_and_chunked, "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"));
    request_parser two_lengths;
    two_lengths.eager(true);
    CHECK(!parse(two_lengths,
                 "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"));
    request_parser space_before_colon;
    space_before_colon.eager(true);
    CHECK(!parse(space_before_colon, "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n"));
}

TEST_CASE("header names and list tokens compare regardless of case")
{
    const std::vector<header_field> fields{{"Keep-Alive", "timeout=3"}, {"X", "1"}};
    CHECK(find_header(fields, "keep-alive") == "timeout=3");
    CHECK(find_header(fields, "keep").empty());
    CHECK(list_contains_token("close, TE", "te"));
    CHECK(list_contains_token(" Close ", "close"));
    CHECK(!list_contains_token("closed", "close"));
    CHECK(!list_contains_token("", "close"));
}

TEST_CASE("an address is an IP and a port")
{
    CHECK(parse_endpoint("10.1.0.3:8360")->port() == 8360);
    CHECK(!parse_endpoint("10.1.0.3"));
    CHECK(!parse_endpoint("host.example:80"));
    CHECK(!parse_endpoint("10.1.0.3:70000"));
    CHECK(!parse_endpoint("10.1.0.3:8x"));
    CHECK(!parse_endpoint(""));
}

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

/// Parses `bytes` in three parts, and again whenever none has arrived since, as a reader
/// does that lost track of what was refused.
template <bool is_request>
void check_split(std::string_view bytes, std::size_t first, std::size_t second,
                 std::string_view expected_body)
{
    message_parser<is_request> parser;
    parser.eager(true);
    std::string input;
    for (const std::string_view part :
         {bytes.substr(0, first), bytes.substr(first, second - first), std::string_view(),
          bytes.substr(second)})
    {
        input += part;
        boost::beast::error_code fault;
        REQUIRE_MESSAGE(parse_some(parser, input, fault), bytes, first, ' ', second);
    }
    CHECK_MESSAGE(parser.is_done(), bytes, first, ' ', second);
    CHECK(parser.body == expected_body);
    CHECK(input.empty());
}

template <bool is_request>
void check_all_splits(const std::string& bytes, std::string_view expected_body)
{
    for (std::size_t first = 0; first <= bytes.size(); ++first)
    {
        for (std::size_t second = first; second <= bytes.size(); ++second)
        {
            check_split<is_request>(bytes, first, second, expected_body);
        }
    }
}

} // namespace

// Guards against a failed assertion of the parser, which ends the process, when the last
// chunk is the first one and arrives in pieces.
TEST_CASE("a message in chunks parses the same wherever its bytes are split")
{
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* empty :
         {"0\r\n\r\n", "00\r\n\r\n", "0;a=b\r\n\r\n", "0\r\nA: b\r\n\r\n"})
    {
        check_all_splits<false>(response + empty, "");
        check_all_splits<true>(request + empty, "");
    }
    check_all_splits<false>(response + "02\r\nab\r\n0\r\n\r\n", "ab");
    check_all_splits<true>(request + "1\r\na\r\n00\r\n\r\n", "a");
}

// Guards against a chunk's bytes that are held back until more than them arrives.
TEST_CASE("the bytes of a chunk are parsed as they arrive")
{
    response_parser parser;
    parser.eager(true);
    boost::beast::error_code fault;
    std::string input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na";
    REQUIRE(parse_some(parser, input, fault));
    CHECK(parser.body == "a");
}

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

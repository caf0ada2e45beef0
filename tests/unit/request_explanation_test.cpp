#include <doctest/doctest.h>

#include <agateseam/request_explanation.hpp>

using namespace agateseam;

namespace
{

std::string log_line_text(std::int64_t time_us, std::string_view process,
                          std::string_view event, std::string_view more_fields = "")
{
    return "{\"time_us\":" + std::to_string(time_us) + ",\"process\":\"" +
           std::string(process) + "\",\"event\":\"" + std::string(event) + "\"" +
           std::string(more_fields) + "}";
}

std::vector<std::string> events_of(const request_explanation& explanation)
{
    std::vector<std::string> events;
    for (const request_log_line& line : explanation.lines)
    {
        events.push_back(line.fields["event"].get<std::string>());
    }
    return events;
}

constexpr std::string_view answer_lost_fields =
    R"(,"request":"q1","outcome":"answer_lost","server":"i-1","took_ms":40)";

} // namespace

TEST_CASE("an explanation holds the request's lines and context lines of its process")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(500'000, "e1", "configuration in force"));
    explainer.add_line(
        log_line_text(9'000'000, "e1", "backend server gone", R"(,"server":"i-1")"));
    explainer.add_line(
        log_line_text(9'000'100, "e1", "backend server gone", R"(,"server":"i-2")"));
    explainer.add_line(
        log_line_text(9'100'000, "e1", "attempt failed",
                      R"(,"request":"q1","server":"i-1","reason":"lost")"));
    explainer.add_line(log_line_text(9'100'500, "e1", "request", R"(,"request":"q2")"));
    explainer.add_line(log_line_text(9'101'000, "e1", "request", answer_lost_fields));
    explainer.add_line(log_line_text(9'102'000, "e1", "draining"));
    explainer.add_line("not a log line");
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(explanation->outcome == "answer_lost");
    // Lines long before or after the request and lines about other servers or requests
    // are not included.
    CHECK(events_of(*explanation) ==
          std::vector<std::string>{"backend server gone", "attempt failed", "request"});
    CHECK(explanation->cause.find("attempt failed at server i-1 (lost)") !=
          std::string::npos);
    CHECK(explanation->cause.find("backend server gone") != std::string::npos);
}

TEST_CASE("an explanation names the attempts that an evacuation withheld")
{
    // Without them, a request that waited twice looks as if its entry had been slow.
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(9'000'000, "e1", "failure domain evacuated",
                                     R"(,"domain":"zone-b","source":"store")"));
    explainer.add_line(log_line_text(
        9'000'100, "e1", "place withheld",
        R"(,"request":"q1","server":"i-1","reason":"failure domain evacuated")"));
    explainer.add_line(log_line_text(
        9'000'200, "e1", "decode withheld",
        R"(,"request":"q1","server":"i-2","reason":"failure domain evacuated")"));
    explainer.add_line(
        log_line_text(9'000'300, "e1", "decode withheld",
                      R"(,"request":"q1","server":"i-3","reason":"accepts no work")"));
    explainer.add_line(log_line_text(
        9'101'000, "e1", "request",
        R"(,"request":"q1","outcome":"answered","server":"i-4","took_ms":40)"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(events_of(*explanation).front() == "failure domain evacuated");
    CHECK(
        explanation->cause ==
        "answered by server i-4 in 40 ms, after 0 ms of waiting; withheld because of an "
        "evacuation: 2 (i-1, i-2)");
}

TEST_CASE("lines of a process keep their order when its wall clock steps back")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(5'000'000, "e1", "decode place reserved",
                                     R"(,"request":"q1","server":"i-1")"));
    explainer.add_line(
        log_line_text(3'000'000, "e1", "stream broke",
                      R"(,"request":"q1","server":"i-1","reason":"upstream")"));
    explainer.add_line(
        log_line_text(3'000'100, "e1", "request",
                      R"(,"request":"q1","outcome":"stream_cut","server":"i-1")"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(events_of(*explanation) ==
          std::vector<std::string>{"decode place reserved", "stream broke", "request"});
    CHECK(explanation->cause ==
          "its stream ended early: stream broke at server i-1 (upstream)");
}

TEST_CASE("lines of two processes with the same request id are merged by time")
{
    request_explainer explainer("q1");
    explainer.add_line(
        log_line_text(2'000, "e2", "request", R"(,"request":"q1","outcome":"answered")"));
    explainer.add_line(
        log_line_text(1'000, "e1", "request", R"(,"request":"q1","outcome":"stopping")"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    REQUIRE(explanation->lines.size() == 2);
    CHECK(explanation->lines[0].process == "e1");
    CHECK(explanation->outcome == "answered");
}

TEST_CASE("a request that a stop cut is explained by its line about the stop")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(1'000'000, "e1", "request cut by the stop",
                                     R"(,"request":"q1","step":"first event")"
                                     R"(,"took_ms":1890,"since_stop_ms":5640)"));
    explainer.add_line(log_line_text(1'001'000, "e1", "stopped"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(explanation->cause.find("waited for its first event, 1890 ms") !=
          std::string::npos);
    CHECK(explanation->cause.find("5640 ms into the stop") != std::string::npos);
}

TEST_CASE("an unknown request and missing lines are reported")
{
    request_explainer explainer("q1");
    CHECK(!explainer.explain());
    explainer.add_line(
        log_line_text(1'000, "e1", "over allowance",
                      R"(,"request":"q1","workspace":"dune","tokens":900,"left":20,)"
                      R"("wait_ms":880,"heard":2,"entries":3)"));
    explainer.add_line(
        log_line_text(1'100, "e1", "request", R"(,"request":"q7","left_out":12)"));
    explainer.add_line(log_line_text(1'200, "e1", "request",
                                     R"(,"request":"q1","outcome":"over_allowance")"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(explanation->lines_missing == 12);
    CHECK(explanation->lines.size() == 2);
    CHECK(explanation->cause ==
          "workspace dune had spent its allowance: 900 tokens asked for, "
          "20 left, enough in 880 ms; 2 of 3 entries heard each other");
    request_explainer incomplete("q9");
    incomplete.add_line(
        log_line_text(1, "e1", "decode place reserved", R"(,"request":"q9")"));
    CHECK(incomplete.explain()->outcome.empty());
    CHECK(incomplete.explain()->cause.starts_with("its last line is missing"));
}

TEST_CASE("what a server said of itself is in the story of the requests sent to it")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(1'000, "e1", "server says it leaves",
                                     R"(,"server":"i-1","service":"plain")"));
    explainer.add_line(
        log_line_text(1'100, "e1", "server rests", R"(,"server":"i-2","rest_ms":2000)"));
    explainer.add_line(
        log_line_text(1'200, "e1", "server rests", R"(,"server":"i-3","rest_ms":100)"));
    explainer.add_line(log_line_text(1'300, "e1", "attempt withheld",
                                     R"(,"request":"q1","server":"i-1")"));
    explainer.add_line(log_line_text(1'400, "e1", "attempt failed",
                                     R"(,"request":"q1","server":"i-2")"));
    explainer.add_line(
        log_line_text(1'500, "e1", "request", R"(,"request":"q1","outcome":"answered")"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(events_of(*explanation) ==
          std::vector<std::string>{"server says it leaves", "server rests",
                                   "attempt withheld", "attempt failed", "request"});
}

TEST_CASE("a request that was refused while all servers rested is explained")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(1'000, "e1", "all servers rest",
                                     R"(,"request":"q1","rest_ms":1460)"));
    explainer.add_line(log_line_text(1'100, "e1", "request",
                                     R"(,"request":"q1","outcome":"servers_rest")"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(explanation->cause == "all servers of its service had asked for a rest; the "
                                "first one ended 1460 ms later");
}

TEST_CASE("a restored store is context of the requests in its time")
{
    request_explainer explainer("q1");
    explainer.add_line(log_line_text(9'000'000, "e1", "store era changed"));
    explainer.add_line(log_line_text(9'000'100, "e1", "configuration behind in store"));
    explainer.add_line(log_line_text(9'500'000, "e1", "request", answer_lost_fields));
    explainer.add_line(log_line_text(9'500'100, "e2", "store era changed"));
    const auto explanation = explainer.explain();
    REQUIRE(explanation);
    CHECK(events_of(*explanation) ==
          std::vector<std::string>{"store era changed", "configuration behind in store",
                                   "request"});
}

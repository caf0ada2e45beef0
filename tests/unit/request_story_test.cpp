#include <doctest/doctest.h>

#include <agateseam/request_story.hpp>

using namespace agateseam;

namespace
{

std::string line_of(std::int64_t time_us, std::string_view process,
                    std::string_view event, std::string_view rest = "")
{
    return "{\"time_us\":" + std::to_string(time_us) + ",\"process\":\"" +
           std::string(process) + "\",\"event\":\"" + std::string(event) + "\"" +
           std::string(rest) + "}";
}

std::vector<std::string> events_of(const request_story& story)
{
    std::vector<std::string> events;
    for (const story_line& line : story.lines)
    {
        events.push_back(line.fields["event"].get<std::string>());
    }
    return events;
}

constexpr std::string_view end_answer_lost =
    R"(,"request":"q1","outcome":"answer_lost","server":"i-1","took_ms":40)";

} // namespace

TEST_CASE("a story holds the request's lines and what its process saw meanwhile")
{
    story_reader reader("q1");
    reader.take(line_of(500'000, "e1", "configuration in force"));
    reader.take(line_of(9'000'000, "e1", "backend server gone", R"(,"server":"i-1")"));
    reader.take(line_of(9'000'100, "e1", "backend server gone", R"(,"server":"i-2")"));
    reader.take(line_of(9'100'000, "e1", "attempt failed",
                        R"(,"request":"q1","server":"i-1","reason":"lost")"));
    reader.take(line_of(9'100'500, "e1", "request", R"(,"request":"q2")"));
    reader.take(line_of(9'101'000, "e1", "request", end_answer_lost));
    reader.take(line_of(9'102'000, "e1", "draining"));
    reader.take("not a log line");
    const auto story = reader.tell();
    REQUIRE(story);
    CHECK(story->outcome == "answer_lost");
    // Neither what was long before nor what came after, nor other servers or requests.
    CHECK(events_of(*story) ==
          std::vector<std::string>{"backend server gone", "attempt failed", "request"});
    CHECK(story->cause.find("attempt failed at server i-1 (lost)") != std::string::npos);
    CHECK(story->cause.find("backend server gone") != std::string::npos);
}

TEST_CASE("a process's own order stands where its time of day stepped back")
{
    story_reader reader("q1");
    reader.take(line_of(5'000'000, "e1", "decode place reserved",
                        R"(,"request":"q1","server":"i-1")"));
    reader.take(line_of(3'000'000, "e1", "stream broke",
                        R"(,"request":"q1","server":"i-1","reason":"upstream")"));
    reader.take(line_of(3'000'100, "e1", "request",
                        R"(,"request":"q1","outcome":"stream_cut","server":"i-1")"));
    const auto story = reader.tell();
    REQUIRE(story);
    CHECK(events_of(*story) ==
          std::vector<std::string>{"decode place reserved", "stream broke", "request"});
    CHECK(story->cause ==
          "its stream ended early: stream broke at server i-1 (upstream)");
}

TEST_CASE("two processes that handled the same id are merged by time")
{
    story_reader reader("q1");
    reader.take(
        line_of(2'000, "e2", "request", R"(,"request":"q1","outcome":"answered")"));
    reader.take(
        line_of(1'000, "e1", "request", R"(,"request":"q1","outcome":"stopping")"));
    const auto story = reader.tell();
    REQUIRE(story);
    REQUIRE(story->lines.size() == 2);
    CHECK(story->lines[0].process == "e1");
    CHECK(story->outcome == "answered");
}

TEST_CASE("what is missing is said")
{
    story_reader reader("q1");
    CHECK(!reader.tell());
    reader.take(line_of(1'000, "e1", "over allowance",
                        R"(,"request":"q1","workspace":"dune","tokens":900,"left":20,)"
                        R"("wait_ms":880,"heard":2,"entries":3)"));
    reader.take(line_of(1'100, "e1", "request", R"(,"request":"q7","left_out":12)"));
    reader.take(
        line_of(1'200, "e1", "request", R"(,"request":"q1","outcome":"over_allowance")"));
    const auto story = reader.tell();
    REQUIRE(story);
    CHECK(story->lines_missing == 12);
    CHECK(story->lines.size() == 2);
    CHECK(story->cause == "workspace dune had spent its allowance: 900 tokens asked for, "
                          "20 left, enough in 880 ms; 2 of 3 entries heard each other");
    story_reader killed("q9");
    killed.take(line_of(1, "e1", "decode place reserved", R"(,"request":"q9")"));
    CHECK(killed.tell()->outcome.empty());
    CHECK(killed.tell()->cause.starts_with("its last line is missing"));
}

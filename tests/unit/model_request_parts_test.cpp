#include <doctest/doctest.h>

#include <daemon/model_request_parts.hpp>

using namespace agateseam;

namespace
{

result<model_request_parts> read(std::string_view path, std::string_view body)
{
    http_request request;
    request.path = path;
    request.body = body;
    return read_model_request(request, {});
}

result<model_request_parts> read_text(std::string_view body)
{
    return read("/v1/completions", body);
}

result<model_request_parts> read_chat(std::string_view body)
{
    return read("/v1/chat/completions", body);
}

} // namespace

TEST_CASE("a text completion is parsed into its parts")
{
    const auto parts =
        read_text(R"({"model":"m","prompt":"12345678","max_tokens":7,"stream":true,)"
                  R"("stream_options":{"include_usage":true},"other":[{"model":5}]})");
    REQUIRE(parts);
    CHECK(parts->model == "m");
    CHECK(parts->stream);
    CHECK(parts->include_usage);
    CHECK(parts->output_tokens == 7);
    CHECK(parts->prompt_tokens == 3); // 8 / 4 + 1, estimated at 4 bytes per token
}

TEST_CASE("the prompt of a chat is the text and the roles of its messages")
{
    const auto parts =
        read_chat(R"({"model":"m","messages":[{"role":"user","content":"1234567890"}]})");
    REQUIRE(parts);
    CHECK(parts->chat);
    // 10 bytes of content, 4 of the role and 2 for the message: 16 / 4 + 1
    CHECK(parts->prompt_tokens == 5);
}

TEST_CASE(
    "a body is refused if a member is malformed, missing, repeated, reserved or of a "
    "wrong type")
{
    for (const std::string_view body :
         {"",
          "{",
          "[]",
          "7",
          "null",
          R"({"model":"m","prompt":"x"} trailing)",
          R"({"prompt":"x"})",
          R"({"model":"m"})",
          R"({"model":5,"prompt":"x"})",
          R"({"model":"m","prompt":["x"]})",
          R"({"model":{"a":1},"prompt":"x"})",
          R"({"model":"m","prompt":"x","stream":"yes"})",
          R"({"model":"m","prompt":"x","stream":{}})",
          R"({"model":"m","prompt":"x","stream_options":[]})",
          R"({"model":"m","prompt":"x","max_tokens":0})",
          R"({"model":"m","prompt":"x","max_tokens":-1})",
          R"({"model":"m","prompt":"x","max_tokens":1.5})",
          R"({"model":"m","prompt":"x","max_tokens":"5"})",
          R"({"model":"m","prompt":"x","n":2})",
          R"({"model":"m","prompt":"x","prompt":"y"})",
          R"({"model":"m","prompt":"x","resume_from":3})",
          R"({"model":"m","prompt":"x","kv_transfer_params":{"remote_host":"a"}})"})
    {
        CAPTURE(body);
        const auto parts = read_text(body);
        REQUIRE(!parts);
        CHECK(parts.error().code == error_code::invalid);
    }
    for (const std::string_view body :
         {R"({"model":"m","messages":{}})", R"({"model":"m","messages":"x"})",
          R"({"model":"m","messages":[1]})", R"({"model":"m","messages":[[]]})",
          R"({"model":"m","messages":[{}]})", R"({"model":"m","messages":[{"role":1}]})",
          R"({"model":"m","messages":[{"role":"user","content":5}]})",
          R"({"model":"m","messages":[{"role":"user","content":["x"]}]})",
          R"({"model":"m","prompt":"x"})"})
    {
        CAPTURE(body);
        CHECK(!read_chat(body));
    }
}

TEST_CASE("deep nesting is refused before it can overflow the stack")
{
    const std::string deep(1'000'000, '[');
    const auto parts = read_text(R"({"model":"m","prompt":"x","a":)" + deep);
    REQUIRE(!parts);
    CHECK(parts.error().description == "the body nests too deep");
}

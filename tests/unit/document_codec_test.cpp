#include <doctest/doctest.h>

#include <agateseam/change_history.hpp>
#include <agateseam/document_codec.hpp>
#include <gateway/document_transfer.hpp>

using namespace agateseam;

namespace
{

constexpr std::size_t max_bytes = 8 << 20;

/// A document of routes with names that don't repeat.
std::string make_document(std::size_t routes, std::uint64_t version)
{
    std::string text = "{\"routes\":[";
    for (std::size_t number = 0; number < routes; ++number)
    {
        const std::uint64_t name = document_hash(std::to_string(number));
        text += R"({"host":"a.example","path_prefix":"/)" + std::to_string(name) +
                R"(/","route_type":"safe","service":"plain","timeout_ms":3000},)";
    }
    return text + "],\"version\":" + std::to_string(version) + "}";
}

message_head head_of(const transferred_document& document)
{
    message_head head;
    if (document.is_compressed)
    {
        head.fields = {{"Content-Encoding", "zstd"},
                       {"x-agateseam-base", std::to_string(document.base_hash)}};
    }
    return head;
}

} // namespace

TEST_CASE("a document expands to what was compressed, with and without a base")
{
    const std::string before = make_document(4'200, 7);
    const std::string after = make_document(4'300, 8);
    for (const std::string& base : {std::string(), before})
    {
        const auto bytes = compress_document(after, base);
        REQUIRE(bytes);
        CHECK(bytes->size() < after.size() / 4);
        const auto text = expand_document(*bytes, max_bytes, base);
        REQUIRE(text);
        CHECK(*text == after);
    }
}

TEST_CASE("a changed line of a large document costs a thousandth of it")
{
    const std::string before = make_document(12'000, 7);
    std::string after = make_document(12'000, 8);
    after.insert(after.size() / 2, "changed in the middle");
    const auto bytes = compress_document(after, before);
    REQUIRE(bytes);
    CHECK(bytes->size() < after.size() / 1'000);
    CHECK(expand_document(*bytes, max_bytes, before) == after);
}

TEST_CASE("a document is refused if its base, its size or its bytes are wrong")
{
    const std::string before = make_document(2'000, 7);
    const std::string after = make_document(2'000, 8);
    const auto bytes = compress_document(after, before);
    REQUIRE(bytes);
    CHECK_FALSE(
        expand_document(*bytes, max_bytes, std::string(before.rbegin(), before.rend())));
    CHECK_FALSE(expand_document(*bytes, max_bytes, {}));
    CHECK_FALSE(expand_document(*bytes, after.size() - 1, before));
    CHECK_FALSE(expand_document(bytes->substr(0, bytes->size() - 3), max_bytes, before));
    CHECK_FALSE(expand_document("no frame", max_bytes, before));
    CHECK_FALSE(expand_document("", max_bytes, before));
}

TEST_CASE(
    "a receiver gets a document against the base that it named, or compressed alone")
{
    const std::string before = make_document(500, 7);
    const std::string after = make_document(500, 8);
    CHECK(read_transfer_parameter("kind=a&" + transfer_parameter(before)) ==
          document_hash(before));
    CHECK(read_transfer_parameter("kind=a&" + transfer_parameter({})) == 0U);
    CHECK_FALSE(read_transfer_parameter("kind=a&after=7"));

    const auto difference = encode_transfer(after, before);
    CHECK(decode_transfer(head_of(difference), difference.bytes, before, max_bytes) ==
          after);
    CHECK_FALSE(decode_transfer(head_of(difference), difference.bytes, after, max_bytes));
    const auto whole = encode_transfer(after, {});
    CHECK(decode_transfer(head_of(whole), whole.bytes, before, max_bytes) == after);
    const auto small = encode_transfer("{}", {});
    CHECK_FALSE(small.is_compressed);
    CHECK(decode_transfer(head_of(small), small.bytes, {}, max_bytes) == "{}");
}

TEST_CASE("the changes of a large document are kept within a limit of bytes")
{
    constexpr std::uint64_t era = 1;
    constexpr std::size_t changes = 100;
    change_history history;
    history.replace({{"main", make_document(10, 1)}}, {era, 1});
    std::size_t kept = 0;
    for (std::uint64_t version = 2; version <= changes; ++version)
    {
        REQUIRE(history.record({{0, "main", make_document(4'000, version), false, false}},
                               {era, version}));
        kept = 0;
        for (std::uint64_t earlier = 1; earlier <= version; ++earlier)
        {
            const std::string document = make_document(4'000, earlier);
            kept += history.document_with_hash(document_hash(document)) != nullptr
                        ? document.size()
                        : 0;
        }
        if (version > 20)
        {
            break; // The limit was reached long before.
        }
    }
    CHECK(kept <= change_history::max_change_bytes);
    CHECK(kept >= change_history::max_change_bytes / 2);
    REQUIRE(history.only_document() != nullptr);
    CHECK(history.changes_since({era, history.position().revision - 1})->size() == 1);
    CHECK_FALSE(history.changes_since({era, 2}));
}

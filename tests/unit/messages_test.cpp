#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <daemon/attempt_table.hpp>
#include <daemon/messages.hpp>
#include <daemon/open_attempts.hpp>

using namespace agateseam;

namespace
{

class counting_owner final : public attempt_owner
{
  public:
    void on_attempt_lost() override { ++this->lost; }
    int lost = 0;
};

} // namespace

TEST_CASE("an attempt id is written as the request id and the attempt number")
{
    const auto id = parse_attempt_id("entry-1-17-4.3");
    REQUIRE(id);
    CHECK(id->request == "entry-1-17-4");
    CHECK(id->attempt == 3);
    CHECK(to_text(*id) == "entry-1-17-4.3");
    for (const std::string_view text : {"", ".", "a", "a.", ".1", "a.0", "a.b", "a.1x"})
    {
        CAPTURE(text);
        CHECK(!parse_attempt_id(text));
    }
}

TEST_CASE("lease orders survive serialization, and malformed ones are refused")
{
    const lease_order order{{{"a", 1}, {"b.c", 2}}, {{"d", 3}}};
    const auto read = parse_lease_order(to_text(order));
    REQUIRE(read);
    CHECK(read->renew == order.renew);
    CHECK(read->end == order.end);
    const auto reply = parse_lease_reply(lease_reply_text(order.renew));
    REQUIRE(reply);
    CHECK(*reply == order.renew);
    for (const std::string_view text :
         {"", "{}", "[]", R"({"renew":[1],"end":[]})", R"({"renew":["a"],"end":[]})"})
    {
        CAPTURE(text);
        CHECK(!parse_lease_order(text));
    }
}

TEST_CASE("attempt orders with any path survive serialization")
{
    CHECK(rc::check(
        [](const std::string& path, std::uint32_t resume)
        {
            attempt_order order;
            order.id = {"r", 2};
            order.path.clear();
            for (const char letter : path)
            {
                order.path.push_back(static_cast<char>(letter & 0x7f));
            }
            order.resume_from = resume;
            order.deadline = std::chrono::milliseconds(5);
            const auto read = parse_attempt_order(to_text(order));
            RC_ASSERT(read.has_value());
            RC_ASSERT(read->path == order.path);
            RC_ASSERT(read->resume_from == resume);
            RC_ASSERT(read->id == order.id);
        }));
}

TEST_CASE("an attempt begins only once, and its first outcome is kept")
{
    attempt_table table;
    const time_point now{};
    CHECK(table.begin({"r", 1}, now));
    CHECK(!table.begin({"r", 1}, now));
    CHECK(table.renew({"r", 1}, now));
    table.end({"r", 1}, run_state::ran, now);
    table.end({"r", 1}, run_state::not_run, now);
    CHECK(!table.renew({"r", 1}, now));
    CHECK(!table.renew({"r", 2}, now));
    const auto record = table.find({"r", 1});
    REQUIRE(record);
    CHECK(record->run == run_state::ran);
    CHECK(!table.find({"r", 2}));
}

TEST_CASE("an attempt is lost when its agent reports it unknown twice in a row")
{
    open_attempts open;
    const attempt_id id{"r", 1};
    const auto owner = std::make_shared<counting_owner>();
    open.add("127.0.0.1:1", id, owner);
    open.apply_renewal_reply({id}, {id});
    open.apply_renewal_reply({id}, {});
    open.apply_renewal_reply({id}, {id});
    CHECK(owner->lost == 0);
    open.apply_renewal_reply({id}, {id});
    CHECK(owner->lost == 1);
    open.remove(id);
    open.apply_renewal_reply({id}, {id});
    CHECK(owner->lost == 1);
    CHECK(open.ids_by_address().empty());
}

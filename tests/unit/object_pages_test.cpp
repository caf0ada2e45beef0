#include <algorithm>
#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <net/uri_component.hpp>
#include <platform/object_pages.hpp>

using namespace agateseam;
using json = nlohmann::json;

namespace
{

constexpr store_position position{1, 7};

json object(const std::string& name)
{
    return {{"metadata", {{"name", name}}}, {"spec", nullptr}};
}

json page(std::vector<json> items, bool has_more)
{
    return {{"items", std::move(items)}, {"has_more", has_more}};
}

/// The objects of one kind, which are listed in pages in an order of their own.
class paged_store
{
  public:
    explicit paged_store(std::vector<std::string> stored_names)
        : names(std::move(stored_names))
    {
    }

    [[nodiscard]] json serve(std::string_view target, std::size_t page_size) const
    {
        constexpr std::string_view parameter = "?after=";
        const std::size_t query = target.find(parameter);
        std::size_t first = 0;
        if (query != std::string_view::npos)
        {
            const std::string_view after = target.substr(query + parameter.size());
            const auto found =
                std::find_if(this->names.begin(), this->names.end(),
                             [after](const std::string& name)
                             { return encode_uri_component(name) == after; });
            RC_ASSERT(found != this->names.end());
            first = static_cast<std::size_t>(found - this->names.begin()) + 1;
        }
        const std::size_t end = std::min(first + page_size, this->names.size());
        std::vector<json> items;
        for (std::size_t index = first; index < end; ++index)
        {
            items.push_back(object(this->names[index]));
        }
        return page(std::move(items), end < this->names.size());
    }

  private:
    std::vector<std::string> names;
};

object_pages make_pages(std::size_t max_bytes = object_pages::unlimited)
{
    return {"servers", false, max_bytes};
}

std::size_t keep_nothing(const json&)
{
    return 0;
}

} // namespace

TEST_CASE("a list in pages passes on each object once, whatever the names")
{
    rc::check("each object once",
              []
              {
                  const auto names = *rc::gen::unique<std::vector<std::string>>(
                      rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                     rc::gen::container<std::string>(rc::gen::elementOf(
                                         std::string(" &+#%/?=;ab")))));
                  const std::size_t page_size = *rc::gen::inRange<std::size_t>(1, 5);
                  const paged_store store(names);
                  std::map<std::string, int> counts;
                  object_pages pages = make_pages();
                  for (std::size_t call = 0; !pages.is_complete(); ++call)
                  {
                      RC_ASSERT(call <= names.size());
                      const auto added =
                          pages.add(store.serve(pages.next_target(), page_size), position,
                                    [&counts](const json& item)
                                    {
                                        ++counts[object_name(item)];
                                        return std::size_t{0};
                                    });
                      RC_ASSERT(added.has_value());
                  }
                  RC_ASSERT(counts.size() == names.size());
                  for (const auto& [name, count] : counts)
                  {
                      RC_ASSERT(count == 1);
                  }
              });
}

TEST_CASE("a list that does not advance fails")
{
    for (const json& second :
         {page({object("a"), object("b")}, true), page({object("a")}, true),
          page({}, true), page({json::object(), nullptr, object("b")}, true)})
    {
        object_pages pages = make_pages();
        REQUIRE(
            pages.add(page({object("a"), object("b")}, true), position, keep_nothing));
        CHECK(pages.next_target() == "/v1/objects/servers?after=b");
        const auto added = pages.add(second, position, keep_nothing);
        REQUIRE(!added);
        CHECK(added.error().code == error_code::invalid);
        CHECK(!pages.is_complete());
    }
    object_pages empty = make_pages();
    CHECK(!empty.add(page({}, true), position, keep_nothing));
}

TEST_CASE("objects without a readable name do not end a list")
{
    for (const json& odd :
         {json(), json::array(), json::object(), json("text"),
          json{{"metadata", nullptr}}, json{{"metadata", {1}}},
          json{{"metadata", {{"name", 5}}}}, json{{"metadata", {{"name", nullptr}}}}})
    {
        CAPTURE(odd.dump());
        object_pages pages = make_pages();
        REQUIRE(pages.add(page({odd, object("a"), odd}, true), position, keep_nothing));
        CHECK(!pages.is_complete());
        CHECK(pages.next_target() == "/v1/objects/servers?after=a");
        REQUIRE(pages.add(page({odd, object("b")}, false), position, keep_nothing));
        CHECK(pages.is_complete());
    }
}

TEST_CASE("a list goes on behind a short name where it can")
{
    const std::string long_name(3'000, 'x');
    object_pages pages = make_pages();
    REQUIRE(pages.add(page({object("a"), object(""), object(long_name)}, true), position,
                      keep_nothing));
    CHECK(pages.next_target() == "/v1/objects/servers?after=a");
    REQUIRE(
        pages.add(page({object(""), object(long_name), object(long_name + "y")}, true),
                  position, keep_nothing));
    CHECK(pages.next_target() == "/v1/objects/servers?after=" + long_name + "y");
}

TEST_CASE("a list has a limit, one era and an array of items")
{
    object_pages pages = make_pages(1'000);
    const auto take = [](const json&) { return std::size_t{200}; };
    REQUIRE(pages.add(page({object("a"), object("b")}, true), position, take));
    const auto third = pages.add(page({object("c")}, true), position, take);
    REQUIRE(!third);
    CHECK(third.error().code == error_code::exhausted);

    object_pages restored = make_pages();
    REQUIRE(restored.add(page({object("a")}, true), position, keep_nothing));
    const auto newer =
        restored.add(page({object("b")}, false), store_position{2, 9}, keep_nothing);
    REQUIRE(!newer);
    CHECK(newer.error().code == error_code::broken);

    for (const json& odd : {json(), json::array(), json::object(), json{{"items", 1}}})
    {
        CHECK(!make_pages().add(odd, position, keep_nothing));
    }
    object_pages stale("servers", true, object_pages::unlimited);
    CHECK(stale.next_target() == "/v1/objects/servers?serializable=1");
    REQUIRE(stale.add(page({object("a&b")}, true), position, keep_nothing));
    CHECK(stale.next_target() == "/v1/objects/servers?serializable=1&after=a%26b");
}

#include <doctest/doctest.h>

#include <agateseam/evacuations.hpp>
#include <gateway/digest_codec.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

/// Returns changes as text, such as "+a -b".
std::string to_text(const evacuation_changes& changes)
{
    std::string text;
    for (const evacuation_change& change : changes)
    {
        text += text.empty() ? "" : " ";
        text += (change.evacuated ? "+" : "-") + change.name;
    }
    return text;
}

/// An entry that knows an empty list of the first era at revision 10.
evacuations make_known()
{
    evacuations known;
    (void)known.replace({}, {1, 10}, start);
    return known;
}

} // namespace

TEST_CASE("nothing is known before a list, from the store or from another entry")
{
    // An entry that took a missing list for an empty one would send to emptied domains.
    evacuations started;
    CHECK(!started.is_known());
    CHECK(started.make_reports().empty());
    CHECK(started.apply({}, start).empty());
    CHECK(!started.is_known());

    evacuations other = make_known();
    (void)other.record("a", true, {1, 12}, start);
    CHECK(started.apply(other.make_reports(), start).size() == 1);
    CHECK(started.is_known());
    CHECK(started.contains("a"));
    CHECK(!started.contains("b"));
}

TEST_CASE("the higher position wins, whatever its source")
{
    evacuations known = make_known();
    CHECK(to_text(known.record("a", true, {1, 12}, start)) == "+a");
    CHECK(known.contains("a"));
    // A watch's change that is older than what a digest brought must not undo it.
    evacuations other = make_known();
    (void)other.record("a", true, {1, 12}, start);
    (void)other.record("a", false, {1, 14}, start);
    CHECK(to_text(known.apply(other.make_reports(), start + 1s)) == "-a");
    CHECK(known.record("a", true, {1, 13}, start + 2s).empty());
    CHECK(!known.contains("a"));
    CHECK(known.taken_back_at("a") == start + 1s);
    CHECK(to_text(known.record("a", true, {1, 15}, start + 3s)) == "+a");
    CHECK(!known.taken_back_at("a"));
    CHECK(!known.taken_back_at("never evacuated"));
    // A later era wins over any revision of the one before.
    CHECK(to_text(known.record("a", false, {2, 1}, start + 4s)) == "-a");
}

TEST_CASE("repeated and late messages change nothing")
{
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    CHECK(known.record("a", true, {1, 12}, start).empty());
    CHECK(known.replace({"a"}, {1, 20}, start).empty());
    CHECK(known.replace({"a"}, {1, 20}, start).empty());
    // A late list: neither the domain that it lacks nor the one that it names counts.
    CHECK(known.replace({"b"}, {1, 11}, start).empty());
    CHECK(known.contains("a"));
    CHECK(!known.contains("b"));
    CHECK(to_text(known.replace({}, {1, 30}, start)) == "-a");
    CHECK(known.record("a", true, {1, 25}, start).empty());
    CHECK(known.record("c", true, {1, 29}, start).empty());
    CHECK(known.replace({"a"}, {1, 20}, start).empty());
}

TEST_CASE(
    "a domain that was taken back is not evacuated by an earlier message that comes "
    "after a list")
{
    // The removal's own position is lower than that of the late message, but the list's
    // is higher than both.
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    (void)known.record("a", false, {1, 14}, start);
    (void)known.replace({}, {1, 30}, start);
    CHECK(known.record("a", true, {1, 20}, start).empty());
    evacuation_reports late;
    late.domains[name_key("a")] = {true, {1, 21}};
    CHECK(known.apply(late, start).empty());
    CHECK(!known.contains("a"));
}

TEST_CASE(
    "of two changes in one answer the later one holds, and a list at their position")
{
    evacuations known = make_known();
    CHECK(to_text(known.record("a", true, {1, 12}, start)) == "+a");
    CHECK(to_text(known.record("a", false, {1, 12}, start)) == "-a");
    CHECK(to_text(known.record("a", true, {1, 12}, start)) == "+a");
    // A watch that broke may have missed a removal that its position covers.
    CHECK(to_text(known.replace({}, {1, 12}, start)) == "-a");
}

TEST_CASE("a restored store that lacks a domain takes it back only after the grace")
{
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    (void)known.record("b", true, {1, 13}, start);
    const time_point restored = start + 10s;
    CHECK(known.replace({}, {2, 5}, restored).empty());
    CHECK(known.replace({}, {2, 6}, restored + 1s).empty());
    // The operators have written b again.
    CHECK(known.record("b", true, {2, 7}, restored + 1s).empty());
    CHECK(known.expire(restored + 1'799ms).empty());
    CHECK(known.contains("a"));
    CHECK(to_text(known.expire(restored + 1'800ms)) == "-a");
    CHECK(known.taken_back_at("a") == restored + 1'800ms);
    CHECK(known.contains("b"));
    CHECK(known.expire(restored + 10s).empty());
    // It stays taken back when an entry that has not seen the new era names it.
    evacuation_reports old;
    old.listed = store_position{1, 13};
    old.domains[name_key("a")] = {true, {1, 12}};
    CHECK(known.apply(old, restored + 11s).empty());
}

TEST_CASE("a list that comes after the grace takes a missing domain back at once")
{
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    (void)known.replace({}, {2, 5}, start + 10s);
    CHECK(to_text(known.replace({}, {2, 6}, start + 11'800ms)) == "-a");
}

TEST_CASE("within the grace, a domain is taken back at once when its object is removed")
{
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    (void)known.replace({}, {2, 5}, start + 10s);
    CHECK(to_text(known.record("a", false, {2, 8}, start + 11s)) == "-a");
    CHECK(known.expire(start + 12s).empty());
}

TEST_CASE("a restored store that names a domain that was taken back evacuates it")
{
    // The copy is older than the removal; until the operators remove the object again,
    // the store says that the domain is evacuated.
    evacuations known = make_known();
    (void)known.record("a", true, {1, 12}, start);
    (void)known.record("a", false, {1, 14}, start);
    CHECK(to_text(known.replace({"a"}, {2, 13}, start + 10s)) == "+a");
    CHECK(!known.taken_back_at("a"));
    CHECK(known.expire(start + 20s).empty());
    CHECK(to_text(known.record("a", false, {2, 14}, start + 21s)) == "-a");
}

TEST_CASE("a relay of an earlier era or an earlier revision changes nothing")
{
    evacuations known = make_known();
    (void)known.replace({"a"}, {2, 5}, start);
    const time_point later = start + 2s;
    CHECK(known.replace({}, {1, 90}, later).empty());
    CHECK(known.replace({"b"}, {1, 91}, later).empty());
    CHECK(known.record("a", false, {1, 92}, later).empty());
    CHECK(known.replace({"b"}, {2, 4}, later).empty());
    CHECK(known.contains("a"));
    CHECK(!known.contains("b"));
}

TEST_CASE("an entry that has started since the restoration keeps a lost evacuation, too")
{
    evacuations started;
    (void)started.replace({}, {2, 5}, start);
    evacuations other = make_known();
    (void)other.record("a", true, {1, 12}, start);
    (void)other.replace({}, {2, 5}, start);
    CHECK(started.apply(other.make_reports(), start + 100ms).size() == 1);
    CHECK(started.contains("a"));
    CHECK(started.expire(start + 1'800ms).size() == 1);
    CHECK(!started.contains("a"));
}

TEST_CASE("digests of entries that know less change nothing, of those that know more all")
{
    evacuations rejected = make_known(); // By the store, so it hears only entries.
    (void)rejected.record("a", true, {1, 12}, start);
    (void)rejected.record("b", true, {1, 13}, start);

    evacuations behind = make_known();
    CHECK(rejected.apply(behind.make_reports(), start).empty());
    CHECK(rejected.contains("a"));

    // This one saw neither the evacuations nor the removal of a, as it started after
    // them.
    evacuations ahead;
    (void)ahead.replace({"b", "c"}, {1, 20}, start);
    CHECK(ahead.make_reports().domains.size() == 2);
    const evacuation_changes changes = rejected.apply(ahead.make_reports(), start + 1s);
    CHECK(changes.size() == 2);
    CHECK(!rejected.contains("a"));
    CHECK(rejected.taken_back_at("a") == start + 1s);
    CHECK(rejected.contains("b"));
    CHECK(rejected.contains("c"));
    CHECK(rejected.make_reports() == ahead.make_reports());
    CHECK(rejected.apply(ahead.make_reports(), start + 2s).empty());
}

TEST_CASE(
    "two entries that disagree at one position do not exchange their states forever")
{
    evacuations one = make_known();
    evacuations two = make_known();
    (void)one.record("a", true, {1, 12}, start);
    (void)two.record("a", false, {1, 12}, start);
    CHECK(one.apply(two.make_reports(), start).empty());
    CHECK(two.apply(one.make_reports(), start).empty());
    // A later list settles it.
    (void)two.replace({}, {1, 13}, start);
    CHECK(one.apply(two.make_reports(), start).size() == 1);
    CHECK(!one.contains("a"));
}

TEST_CASE("domains of unknown names are kept, and empty names ignored")
{
    evacuations known = make_known();
    CHECK(known.record("", true, {1, 12}, start).empty());
    CHECK(known.replace({""}, {1, 13}, start).empty());
    CHECK(known.evacuated().empty());
    CHECK(!known.contains(""));
    CHECK(to_text(known.replace({"", "no such domain"}, {1, 14}, start)) ==
          "+no such domain");
    CHECK(known.contains("no such domain"));
    CHECK(to_text(known.evacuated()) == "+no such domain");
}

TEST_CASE("digests hold evacuations, and not a byte for them where none are followed")
{
    entry_digest digest;
    digest.entry = "entry-1";
    const std::string without = encode_digest(digest);
    const auto decoded_without = decode_digest(without);
    REQUIRE(decoded_without);
    CHECK(decoded_without->evacuations.empty());

    evacuations known = make_known();
    (void)known.record("a", true, {7, 1'000'000}, start);
    (void)known.record("b", true, {7, 1'000'001}, start);
    (void)known.record("b", false, {7, 1'000'002}, start);
    digest.evacuations = known.make_reports();
    REQUIRE(digest.evacuations.domains.size() == 2);
    const std::string bytes = encode_digest(digest);
    const auto decoded = decode_digest(bytes);
    REQUIRE(decoded);
    CHECK(decoded->evacuations == digest.evacuations);
    CHECK(bytes.size() - without.size() <= 2 * 24);
    CHECK(!decode_digest(bytes.substr(0, bytes.size() - 1)));
}

#include <doctest/doctest.h>

#include <deque>
#include <string>

#include <agateseam/share_coordinator.hpp>
#include <daemon/share_codec.hpp>
#include <net/jsonrpc_facade.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

/// A store with one record. Reports get no answer; every census is answered with no
/// accounts.
class single_entry_transport final : public share_transport
{
  public:
    void send_report(const std::string&, const share_report&,
                     answer_callback done) override
    {
        done(std::nullopt);
    }

    void send_census(const std::string& vm, const share_census& census,
                     census_callback done) override
    {
        this->census_targets.push_back(vm);
        done(share_census_answer{vm, 1, census.shard, census.epoch, {}});
    }

    void read_record(std::uint32_t, read_callback done) override { done(this->stored); }

    void write_record(std::uint32_t, const shard_home_record& record,
                      std::uint64_t expected_version, write_callback done) override
    {
        if (expected_version != this->stored.version)
        {
            done(fail(error_code::conflict, "write", "store", "another version"));
            return;
        }
        this->stored = {record, expected_version + 1};
        if (this->loses_write_answer)
        {
            done(fail(error_code::timeout, "write", "store", "the answer is lost"));
            return;
        }
        done(this->stored.version);
    }

    stored_shard_home_record stored;
    bool loses_write_answer = false;
    std::deque<std::string> census_targets;
};

const std::vector<allowance_limits> one_workspace{{"labs", 100, 500}};
const std::vector<std::string> single_entry{"entry-1"};

/// Advances the time and polls, `rounds` times; with `with_list`, a list is read each
/// time.
void poll_repeatedly(share_coordinator& coordinator, manual_clock& time, int rounds,
                     bool with_list)
{
    for (int round = 0; round < rounds; ++round)
    {
        time.advance(150ms);
        if (with_list)
        {
            coordinator.set_entries(single_entry);
        }
        coordinator.poll();
    }
}

std::unique_ptr<share_coordinator> make_coordinator(const clock_source& time,
                                                    share_transport& transport)
{
    auto coordinator =
        share_coordinator::create(time, "entry-1", 7, share_holder_options{}, transport);
    (*coordinator)->configure(one_workspace);
    (*coordinator)->set_entries(single_entry);
    return std::move(*coordinator);
}

} // namespace

TEST_CASE(
    "an entry becomes the first home and admits, also when the write's answer is lost")
{
    for (const bool answer_lost : {false, true})
    {
        manual_clock time;
        single_entry_transport transport;
        transport.loses_write_answer = answer_lost;
        const auto coordinator = make_coordinator(time, transport);
        bool admitted = false;
        coordinator->reserve_async(
            "labs", 500, [&](const auto& decision) { admitted = decision.admitted; });
        poll_repeatedly(*coordinator, time, 4, false);
        CHECK(transport.stored.record == shard_home_record{"entry-1", 7, 1});
        if (!admitted) // The reservation may be refused while the write's answer is lost.
        {
            coordinator->reserve_async(
                "labs", 500, [&](const auto& decision) { admitted = decision.admitted; });
            poll_repeatedly(*coordinator, time, 4, false);
        }
        CHECK(admitted);
    }
}

TEST_CASE("a home that is missing only from an older list is not replaced")
{
    manual_clock time;
    single_entry_transport transport;
    transport.stored = {{"entry-new", 3, 1}, 1};
    const auto coordinator = make_coordinator(time, transport);
    for (int round = 0; round < 5; ++round)
    {
        coordinator->reserve_async("labs", 10, [](const auto&) {});
        poll_repeatedly(*coordinator, time, 2, false);
    }
    CHECK(transport.stored.record.home == "entry-new");
    for (int round = 0; round < 5; ++round)
    {
        coordinator->reserve_async("labs", 10, [](const auto&) {});
        poll_repeatedly(*coordinator, time, 2, true);
    }
    CHECK(transport.stored.record == shard_home_record{"entry-1", 7, 2});
}

TEST_CASE(
    "a reservation that no home answers is refused with an unknown level, within its "
    "wait limit")
{
    manual_clock time;
    single_entry_transport transport;
    transport.stored = {{"entry-2", 3, 1}, 1};
    const auto coordinator = make_coordinator(time, transport);
    coordinator->set_entries(std::vector<std::string>{"entry-1", "entry-2"});
    admission_decision decision;
    decision.admitted = true;
    coordinator->reserve_async("labs", 10,
                               [&](const auto& decided) { decision = decided; });
    poll_repeatedly(*coordinator, time, 3, false);
    CHECK_FALSE(decision.admitted);
    CHECK_FALSE(decision.level_known);
    CHECK(decision.retry_after > duration{0});
}

TEST_CASE("an account that delivered more than it was granted holds nothing")
{
    CHECK(share_account{"labs", 10, 8, 5}.held() == 0);
    CHECK(share_account{"labs", 10, 4, 5}.held() == 1);
}

TEST_CASE("share messages keep their values through JSON-RPC")
{
    const auto server = jsonrpc_server::create(
        {{"share.report", [](const std::string& text)
          {
              const auto report = parse_share_report(text);
              share_answer answer;
              answer.standing = share_standing::home;
              answer.shard = report->shard;
              answer.epoch = report->epoch;
              answer.sequence = report->sequence;
              answer.home = report->holder;
              answer.grants.push_back(
                  {report->lines.at(0).account.workspace, 40, true, 500, 1.5, 30ms});
              return to_text(answer);
          }}});
    const auto client = jsonrpc_client::create(
        [&](const std::string& request, std::string& answer)
        {
            answer = server->handle(request);
            return true;
        });
    share_report report{"entry-1", 7, 12, 3, 9, {}};
    report.lines.push_back({{"labs", 1, 2, 3}, {4, 5}, 6});
    std::string text;
    REQUIRE(client->call("share.report", to_text(report), text));
    const auto answer = parse_share_answer(text);
    REQUIRE(answer);
    CHECK(answer->standing == share_standing::home);
    CHECK(answer->sequence == 9);
    CHECK(answer->home == "entry-1");
    CHECK(answer->grants.at(0).workspace == "labs");
    CHECK(answer->grants.at(0).granted == 40);
    CHECK(answer->grants.at(0).scarce);
    CHECK(answer->grants.at(0).retry_after == 30ms);
    CHECK_FALSE(client->call("share.unknown", "{}", text));
    CHECK_FALSE(parse_share_report("{\"holder\":3}"));
    CHECK(server->handle("no JSON at all").find("error") != std::string::npos);
}

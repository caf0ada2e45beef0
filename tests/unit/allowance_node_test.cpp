#include <doctest/doctest.h>

#include <deque>
#include <string>

#include <agateseam/share_node.hpp>
#include <daemon/share_codec.hpp>
#include <net/jsonrpc_facade.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

/// A store with one record, and no way to any other entry.
class lone_transport final : public share_transport
{
  public:
    void send(const std::string&, const share_report&, answer_callback done) override
    {
        done(std::nullopt);
    }

    void send(const std::string& vm, const share_census& census,
              census_callback done) override
    {
        this->asked.push_back(vm);
        done(share_census_answer{vm, 1, census.shard, census.epoch, {}});
    }

    void read(std::uint32_t, read_callback done) override { done(this->stored); }

    void write(std::uint32_t, const share_record& record, std::uint64_t expected,
               write_callback done) override
    {
        if (expected != this->stored.version)
        {
            done(fail(error_code::conflict, "write", "store", "another version"));
            return;
        }
        this->stored = {record, expected + 1};
        if (this->loses_answer)
        {
            done(fail(error_code::timeout, "write", "store", "the answer is lost"));
            return;
        }
        done(this->stored.version);
    }

    stored_share_record stored;
    bool loses_answer = false;
    std::deque<std::string> asked;
};

const std::vector<allowance_terms> one_term{{"labs", 100, 500}};
const std::vector<std::string> alone{"entry-1"};

/// Polls for a while, with a list read every time or not at all.
void run(share_node& node, manual_clock& time, int rounds, bool lists)
{
    for (int round = 0; round < rounds; ++round)
    {
        time.advance(150ms);
        if (lists)
        {
            node.set_entries(alone);
        }
        node.poll();
    }
}

std::unique_ptr<share_node> make_node(const clock_source& time,
                                      share_transport& transport)
{
    auto node = share_node::create(time, "entry-1", 7, share_options{}, transport);
    (*node)->configure(one_term);
    (*node)->set_entries(alone);
    return std::move(*node);
}

} // namespace

TEST_CASE(
    "a node becomes the first home and admits, also when the write's answer is lost")
{
    for (const bool lost : {false, true})
    {
        manual_clock time;
        lone_transport transport;
        transport.loses_answer = lost;
        const auto node = make_node(time, transport);
        bool admitted = false;
        node->ask("labs", 500,
                  [&](const auto& decision) { admitted = decision.admitted; });
        run(*node, time, 4, false);
        CHECK(transport.stored.record == share_record{"entry-1", 7, 1});
        if (!admitted) // what waited for the lost answer was refused
        {
            node->ask("labs", 500,
                      [&](const auto& decision) { admitted = decision.admitted; });
            run(*node, time, 4, false);
        }
        CHECK(admitted);
    }
}

TEST_CASE("a home that only an older list misses is not replaced")
{
    manual_clock time;
    lone_transport transport;
    transport.stored = {{"entry-new", 3, 1}, 1};
    const auto node = make_node(time, transport);
    for (int round = 0; round < 5; ++round)
    {
        node->ask("labs", 10, [](const auto&) {});
        run(*node, time, 2, false);
    }
    CHECK(transport.stored.record.home == "entry-new");
    for (int round = 0; round < 5; ++round)
    {
        node->ask("labs", 10, [](const auto&) {});
        run(*node, time, 2, true);
    }
    CHECK(transport.stored.record == share_record{"entry-1", 7, 2});
}

TEST_CASE("a reservation that no home answers is refused as unknown, within its patience")
{
    manual_clock time;
    lone_transport transport;
    transport.stored = {{"entry-2", 3, 1}, 1};
    const auto node = make_node(time, transport);
    node->set_entries(std::vector<std::string>{"entry-1", "entry-2"});
    admission_decision seen;
    seen.admitted = true;
    node->ask("labs", 10, [&](const auto& decision) { seen = decision; });
    run(*node, time, 3, false);
    CHECK_FALSE(seen.admitted);
    CHECK_FALSE(seen.known);
    CHECK(seen.retry_after > duration{0});
}

TEST_CASE("an account that delivered more than it was granted holds nothing")
{
    CHECK(share_account{"labs", 10, 8, 5}.held() == 0);
    CHECK(share_account{"labs", 10, 4, 5}.held() == 1);
}

TEST_CASE("sharing messages pass through JSON-RPC and come back as they were")
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

#include <agateseam/memory_budget.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t byte_limit = 1'000'000;
constexpr std::size_t connection_limit = 50;
constexpr time_point start{10s};

/// Releases all that it holds, like a request that is refused.
class fake_holder final : public memory_holder
{
  public:
    fake_holder(memory_budget& shared_budget, std::vector<std::string>& release_log,
                std::string holder_name)
        : budget(&shared_budget)
        , log(&release_log)
        , name(std::move(holder_name))
    {
    }

    ~fake_holder() override { this->budget->remove(*this); }

    void hold(std::size_t bytes, hold_kind kind, time_point since, time_point now)
    {
        this->resources = {bytes, kind, 1, since};
        this->budget->update(*this, this->resources, now);
    }

    void release(resource_shortage) override
    {
        this->log->push_back(this->name);
        if (this->other)
        {
            this->other.reset();
        }
        if (this->releases_at_once)
        {
            this->resources.bytes = 0;
            this->resources.connections = 0;
            this->budget->update(*this, this->resources, start);
        }
    }

    void recount() override
    {
        if (this->bytes_left)
        {
            this->budget->recount(*this, *this->bytes_left);
        }
    }

    held_resources resources;
    std::optional<std::size_t> bytes_left; ///< If it has become less by itself.
    bool releases_at_once = true;
    std::unique_ptr<fake_holder> other; ///< Destroyed by a release.

  private:
    memory_budget* budget;
    std::vector<std::string>* log;
    std::string name;
};

struct crowd
{
    crowd() { this->budget.set_limits(byte_limit, connection_limit); }

    fake_holder& add(std::string name)
    {
        this->holders.push_back(
            std::make_unique<fake_holder>(this->budget, this->released, std::move(name)));
        return *this->holders.back();
    }

    [[nodiscard]] bool was_released(std::string_view name) const
    {
        return std::find(this->released.begin(), this->released.end(), name) !=
               this->released.end();
    }

    memory_budget budget;
    std::vector<std::string> released;
    std::vector<std::unique_ptr<fake_holder>> holders;
};

} // namespace

TEST_CASE("stalled requests are released before one that is being sent")
{
    crowd callers;
    // Ten callers stopped before the end of 100,000 bytes; one sends 400,000 bytes.
    for (int number = 0; number < 10; ++number)
    {
        callers.add("stalled").hold(100'000, hold_kind::awaits_peer, start, start);
    }
    CHECK(callers.released.empty());
    fake_holder& sending = callers.add("sending");
    for (int part = 1; part <= 40; ++part)
    {
        const time_point now = start + 2s + part * 1ms;
        sending.hold(part * 10'000, hold_kind::awaits_peer, start + 2s, now);
    }
    CHECK(callers.was_released("stalled"));
    CHECK(!callers.was_released("sending"));
    CHECK(callers.budget.bytes() <= byte_limit);
}

TEST_CASE("what has been read meanwhile is counted again before anything is released")
{
    crowd callers;
    fake_holder& read = callers.add("read");
    read.hold(600'000, hold_kind::awaits_peer, start, start);
    read.bytes_left = 1'000;
    callers.add("new").hold(600'000, hold_kind::awaits_peer, start + 1s, start + 1s);
    CHECK(callers.released.empty());
    CHECK(callers.budget.bytes() == 601'000);
    fake_holder& unread = callers.add("unread");
    unread.hold(500'000, hold_kind::awaits_peer, start, start + 2s);
    CHECK(callers.was_released("unread"));
    CHECK(!callers.was_released("read"));
}

TEST_CASE("small requests that are stalled for long are released before larger new ones")
{
    crowd callers;
    for (int number = 0; number < 40; ++number)
    {
        callers.add("stalled").hold(24'000, hold_kind::awaits_peer, start, start);
    }
    callers.add("new").hold(100'000, hold_kind::awaits_peer, start + 10s, start + 10s);
    CHECK(callers.was_released("stalled"));
    CHECK(!callers.was_released("new"));
}

TEST_CASE("requests in progress outlive stalled ones, and the largest goes first of them")
{
    crowd callers;
    callers.add("long stream").hold(20'000, hold_kind::in_progress, start, start);
    callers.add("endless answer").hold(500'000, hold_kind::in_progress, start, start);
    callers.add("waiting").hold(100'000, hold_kind::awaits_server, start, start);
    callers.add("idle").hold(1'000, hold_kind::awaits_peer, start, start);
    fake_holder& growing = callers.add("answer");
    growing.hold(400'000, hold_kind::in_progress, start + 60s, start + 60s);
    CHECK(callers.released == std::vector<std::string>{"waiting"});
    growing.hold(490'000, hold_kind::in_progress, start + 60s, start + 60s);
    CHECK(callers.released ==
          std::vector<std::string>{"waiting", "idle", "endless answer"});
}

TEST_CASE("idle connections are released before a large request in progress")
{
    crowd callers;
    for (int number = 0; number < 40; ++number)
    {
        callers.add("idle").hold(16'000, hold_kind::awaits_peer, start, start);
    }
    callers.add("large").hold(400'000, hold_kind::in_progress, start + 4s, start + 4s);
    CHECK(callers.was_released("idle"));
    CHECK(!callers.was_released("large"));
}

TEST_CASE("an endless answer is released before new connections and requests")
{
    crowd callers;
    for (int number = 0; number < 20; ++number)
    {
        callers.add("new").hold(16'000, hold_kind::awaits_peer, start, start);
    }
    callers.add("endless answer").hold(byte_limit, hold_kind::in_progress, start, start);
    CHECK(callers.released == std::vector<std::string>{"endless answer"});
}

TEST_CASE("over the limit of connections, the longest idle of them is closed")
{
    crowd callers;
    for (std::size_t number = 0; number < connection_limit; ++number)
    {
        callers.add(std::to_string(number))
            .hold(4'000, hold_kind::awaits_peer, start + 1s * number, start + 60s);
    }
    CHECK(callers.released.empty());
    callers.add("new").hold(4'000, hold_kind::awaits_peer, start + 60s, start + 60s);
    CHECK(callers.released == std::vector<std::string>{"0"});
    CHECK(callers.budget.connections() == connection_limit);
}

TEST_CASE("a holder that can't release at once isn't released again until it is renewed")
{
    crowd callers;
    fake_holder& slow = callers.add("slow");
    slow.releases_at_once = false;
    slow.hold(2 * byte_limit, hold_kind::in_progress, start, start);
    slow.hold(3 * byte_limit, hold_kind::in_progress, start, start);
    CHECK(callers.released == std::vector<std::string>{"slow"});
    callers.budget.renew(slow);
    slow.hold(2 * byte_limit, hold_kind::in_progress, start, start);
    CHECK(callers.released == std::vector<std::string>{"slow", "slow"});
    CHECK(callers.budget.releases() == 2);
}

TEST_CASE("a release may destroy another holder that would be next")
{
    crowd callers;
    fake_holder& first = callers.add("first");
    first.other =
        std::make_unique<fake_holder>(callers.budget, callers.released, "second");
    first.other->hold(400'000, hold_kind::awaits_peer, start, start);
    first.hold(500'000, hold_kind::awaits_peer, start, start);
    callers.add("third").hold(200'000, hold_kind::in_progress, start, start);
    // The second one is gone with the first, and what is left is under the limit.
    CHECK(callers.released == std::vector<std::string>{"first"});
    CHECK(callers.budget.bytes() == 200'000);
}

TEST_CASE("what is held stays within the limits after any sequence of changes")
{
    pcg32 random(20261206);
    crowd callers;
    constexpr std::uint32_t size = 80;
    for (std::uint32_t number = 0; number < size; ++number)
    {
        callers.add("caller");
    }
    time_point now = start;
    for (int step = 0; step < 20'000; ++step)
    {
        now += random(100) * 1ms;
        fake_holder& changed = *callers.holders[random(size)];
        callers.budget.renew(changed);
        changed.hold(random(200'000), static_cast<hold_kind>(random(3)), now, now);
        REQUIRE(callers.budget.bytes() <= byte_limit);
        REQUIRE(callers.budget.connections() <= connection_limit);
    }
}

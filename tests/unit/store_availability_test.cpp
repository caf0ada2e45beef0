#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <agateseam/store_availability.hpp>

using namespace agateseam;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

/// What may happen between an entry, the relay that it follows, and the store.
enum class site_event
{
    relay_lost,
    store_lost,
    relay_answers, ///< The relay can be reached again.
    entry_cut,     ///< The store turns away this entry only.
    store_returns  ///< The store serves everybody again, this entry too.
};

constexpr std::array event_names{"relay lost", "store lost", "relay answers", "entry cut",
                                 "store returns"};

/// Who calls the store, and what the relay knows when it answers again.
struct site_variant
{
    bool calls_store_always = false; ///< Otherwise only while no relay answers.
    bool relay_restarts = false;     ///< Otherwise only its link was lost.
};

/// An entry that follows the store through a relay. Both call every 100 ms.
class followed_store
{
  public:
    explicit followed_store(site_variant played)
        : variant(played)
    {
    }

    void happen(site_event event)
    {
        switch (event)
        {
        case site_event::relay_lost:
            this->relay_reachable = false;
            break;
        case site_event::relay_answers:
            if (!this->relay_reachable && this->variant.relay_restarts)
            {
                this->relay = {};
            }
            this->relay_reachable = true;
            break;
        case site_event::store_lost:
            this->store_serves = false;
            break;
        case site_event::entry_cut:
            this->entry_is_cut = true;
            break;
        case site_event::store_returns:
            this->store_serves = true;
            this->entry_is_cut = false;
            break;
        }
    }

    void pass_a_second()
    {
        for (int call = 0; call < 10; ++call)
        {
            this->now += 100ms;
            this->call_once();
        }
    }

    [[nodiscard]] bool had_outage() const { return this->outage_seen; }
    [[nodiscard]] bool was_lost() const { return this->lost; }
    [[nodiscard]] bool was_turned_away() const { return this->turned_away; }
    /// Whether the store served the entry again before a relay could tell that it had
    /// served others all the while.
    [[nodiscard]] bool was_left_in_doubt() const { return this->left_in_doubt; }

  private:
    void call_once()
    {
        this->lost |= !this->store_serves;
        const bool relay_follows = this->call_by(this->relay, this->store_serves);
        const bool relay_answers = this->relay_reachable && relay_follows;
        if (relay_answers)
        {
            const auto report = this->relay.report(this->now);
            this->note(this->entry.record_report(*report, this->now));
            this->left_in_doubt |= this->is_in_doubt && this->variant.relay_restarts;
            this->is_in_doubt = false;
        }
        if (relay_answers && !this->variant.calls_store_always)
        {
            return;
        }
        const bool served = this->store_serves && !this->entry_is_cut;
        this->turned_away |= !served;
        this->left_in_doubt |= served && this->is_in_doubt;
        this->is_in_doubt = !served && (this->is_in_doubt || !relay_answers);
        this->call_by(this->entry, served);
    }

    bool call_by(store_availability& caller, bool served)
    {
        if (served)
        {
            const auto ended = caller.record_response(this->now);
            if (&caller == &this->entry)
            {
                this->note(ended);
            }
            return true;
        }
        caller.record_failure(this->now);
        return false;
    }

    void note(const std::optional<store_silence>& ended)
    {
        this->outage_seen |= ended && ended->is_outage;
    }

    site_variant variant;
    store_availability entry;
    store_availability relay;
    time_point now = start;
    bool relay_reachable = true;
    bool store_serves = true;
    bool entry_is_cut = false;
    bool outage_seen = false;
    bool lost = false;
    bool turned_away = false;
    bool is_in_doubt = false; ///< Turned away since no relay answered.
    bool left_in_doubt = false;
};

/// Plays events, each followed by a second, and lets all return in the end.
followed_store play(std::span<const site_event> events, site_variant variant)
{
    followed_store site(variant);
    site.pass_a_second();
    for (const site_event event : events)
    {
        site.happen(event);
        site.pass_a_second();
    }
    site.happen(site_event::store_returns);
    site.happen(site_event::relay_answers);
    site.pass_a_second();
    return site;
}

/// Calls `check` with each order of each selection of the events, in each variant.
template <typename Check>
void for_each_order(Check check)
{
    constexpr unsigned selections = 1U << event_names.size();
    for (unsigned selection = 0; selection < selections; ++selection)
    {
        std::vector<site_event> events;
        for (unsigned event = 0; event < event_names.size(); ++event)
        {
            if ((selection >> event & 1U) != 0)
            {
                events.push_back(static_cast<site_event>(event));
            }
        }
        do
        {
            std::string order;
            for (const site_event event : events)
            {
                order += event_names[static_cast<std::size_t>(event)];
                order += "; ";
            }
            for (const bool calls_always : {false, true})
            {
                for (const bool restarts : {false, true})
                {
                    const site_variant variant{calls_always, restarts};
                    CAPTURE(order);
                    CAPTURE(calls_always);
                    CAPTURE(restarts);
                    check(play(events, variant));
                }
            }
        } while (std::next_permutation(events.begin(), events.end()));
    }
}

} // namespace

TEST_CASE("no order of lost relays is an outage while the store serves this entry")
{
    int orders = 0;
    for_each_order(
        [&orders](const followed_store& site)
        {
            if (!site.was_turned_away())
            {
                CHECK(!site.had_outage());
                ++orders;
            }
        });
    CHECK(orders > 0);
}

TEST_CASE("a lost store is an outage in every order")
{
    int orders = 0;
    for_each_order(
        [&orders](const followed_store& site)
        {
            if (site.was_lost())
            {
                CHECK(site.had_outage());
                ++orders;
            }
        });
    CHECK(orders > 0);
}

TEST_CASE("a store that turns away this entry only has no outage if a relay says so")
{
    int orders = 0;
    for_each_order(
        [&orders](const followed_store& site)
        {
            if (!site.was_lost() && !site.was_left_in_doubt())
            {
                CHECK(!site.had_outage());
                ++orders;
            }
        });
    CHECK(orders > 0);
}

TEST_CASE("lists may lack objects for the settle time after an outage")
{
    store_availability store;
    store.record_failure(start);
    store.record_failure(start + 1s);
    CHECK(store.record_response(start + 1s)->is_outage);
    CHECK(store.after_outage(start + 1s + store_availability::settle_time - 1ms));
    CHECK(!store.after_outage(start + 1s + store_availability::settle_time));
}

TEST_CASE("no object lapses in a short outage")
{
    store_availability store;
    store.record_failure(start);
    const auto ended =
        store.record_response(start + store_availability::min_outage_time - 1ms);
    CHECK(!ended->is_outage);
    CHECK(!store.after_outage(start + store_availability::min_outage_time));
    CHECK(!store.record_response(start + 5s));
    CHECK(!store.after_outage(start + 5s));
}

TEST_CASE("a relay that still waits for the silent store ends no silence")
{
    store_availability store;
    store.record_failure(start);
    CHECK(!store.record_report({1500ms, 60s}, start + 1s));
    CHECK(store.record_response(start + 3s)->is_outage);
}

TEST_CASE("an outage that a relay reports ended when the store responded there")
{
    store_availability store;
    store.record_failure(start);
    CHECK(store.record_report({0ms, 1s}, start + 4s)->length == 3s);
    CHECK(store.after_outage(start + 3s + store_availability::settle_time - 1ms));
    CHECK(!store.after_outage(start + 3s + store_availability::settle_time));
}

TEST_CASE("a report covers the time since the first response after a failed call")
{
    store_availability store;
    CHECK(!store.report(start));
    store.record_response(start);
    store.record_failure(start + 1s);
    store.record_response(start + 2s);
    store.record_response(start + 5s);
    const auto report = store.report(start + 6s);
    CHECK(report->since_response == 1s);
    CHECK(report->responding_for == 4s);
}

TEST_CASE("objects may be missing after the store came back from a copy")
{
    store_availability store;
    store.record_restoration(start);
    CHECK(store.after_outage(start));
    CHECK(!store.after_outage(start + store_availability::settle_time));
}

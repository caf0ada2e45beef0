"""Tests entries while servers start, are cold or recover under load from all entries."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from change_test import all_registered  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Entry, Site, configuration, wait_for  # noqa: E402
from site_callers import Callers  # noqa: E402

COLD_S = 4.0
COLD_PER_S = 32  # of the one deployment that has cold servers
BOUND = COLD_PER_S * 1.5 + 5
DOMAIN, OTHER = "zone-a", "zone-b"  # Entries prefer servers in zone-a, their own domain.
PLAIN = [("/safe/a", None), ("/once/a", None)]
SAFE = [("/safe/a", None)]
MODEL = [("/draft/a", "500,40"), ("/resume/a", "500,40")]
LATENCY_S = 0.02


def start_site(build, directory, stages=(), plain=0, pace=True, is_ever_cold=True, entries=4):
    """Starts entries, and in each of two domains the given servers."""
    site = Site(build, directory, entries=entries,
                settings={"evacuation_ms": 5000, "pace_servers": pace,
                          "regions": {DOMAIN: "north", OTHER: "north"}})
    for zone in (DOMAIN, OTHER):
        for stage in (None,) * plain + tuple(stages):
            replica = site.add_replica("model" if stage else "plain", stage=stage, zone=zone)
            replica.latency_s = LATENCY_S
            if is_ever_cold:
                replica.cold_per_s, replica.cold_start_s = COLD_PER_S, COLD_S
    services = configuration(1)["services"]
    if is_ever_cold:
        services = [dict(item, cold_start_s=COLD_S, cold_per_s=COLD_PER_S) for item in services]
    routes = [dict(item, timeout_ms=14_000) for item in configuration(1)["routes"]]
    site.configure(1, services=services, routes=routes)
    site.start()
    wait_for(lambda: all_registered(site), "all entries to be registered")
    return site


def evacuate(site):
    """Evacuates the domain and waits until nothing reaches it."""
    evacuated = site.evacuate(DOMAIN)
    wait_for(lambda: time.monotonic() > evacuated + 1 and
             not site.requests_in(DOMAIN, time.monotonic() - 1), "the evacuation", 5)


def check_cold_bound(replicas):
    seen = {f"{replica.id} {replica.stage}": replica.busiest_second(cold_only=True)
            for replica in replicas}
    crashes = sum(len(replica.crash_times) for replica in replicas)
    print("  busiest seconds of cold servers:", seen, "crashes:", crashes, flush=True)
    check(max(seen.values()) <= BOUND, seen, "allowed", BOUND)
    return crashes


def check_answered(outcomes):
    others = [outcome for outcome in outcomes
              if outcome.status != 200 or not outcome.complete]
    check(outcomes and not others, len(others), len(outcomes), others[:5])


def rate(replica, begin, end):
    return len(replica.counted_requests(begin, end)) / (end - begin)


def mean_rate(replicas, begin, end):
    return sum(rate(replica, begin, end) for replica in replicas) / len(replicas)


def events(site, name):
    return [line for entry in site.entries for line in entry.log_lines(name)]


def check_domain_returns_cold(site, kinds, callers):
    """Takes the domain back cold, under a burst of callers that would crash its servers."""
    evacuate(site)
    steady = Callers(site, 8, kinds, pause_s=0.1).start()
    time.sleep(1)
    burst = Callers(site, callers, kinds, pause_s=0.04, seed=2).start()
    taken_back = site.take_back(DOMAIN, cold_s=COLD_S)
    time.sleep(COLD_S + 2)
    outcomes = steady.stop() + burst.stop()
    crashes = check_cold_bound(site.replicas_in(DOMAIN))
    check(crashes == 0, crashes, "crashes")
    check_answered(outcomes)
    for replica in site.replicas_in(DOMAIN):
        used = rate(replica, taken_back + 1, taken_back + COLD_S)
        check(used >= 0.25 * COLD_PER_S, replica.stage, "requests a second", used)
    check(events(site, "server returns"))


def test_a_domain_of_plain_servers_returns_cold(build, directory):
    """Guards against entries that all see the servers return and flood them."""
    with start_site(build, directory, plain=2) as site:
        check_domain_returns_cold(site, PLAIN, callers=40)


def test_a_domain_of_model_servers_returns_cold(build, directory):
    """Guards against reservations and prefills that are not counted."""
    with start_site(build, directory, stages=("prefill", "decode")) as site:
        for replica in site.replicas:
            replica.event_count = 2
        check_domain_returns_cold(site, MODEL, callers=40)


def check_cold_in_load(site, kinds, callers):
    """Servers become cold under load and say so in their listings only."""
    load = Callers(site, callers, kinds, pause_s=0.04).start()
    time.sleep(2)
    cold = site.replicas_in(DOMAIN)
    before = mean_rate(cold, time.monotonic() - 1, time.monotonic())
    check(before > BOUND, "the load is too low for this test", before)

    def become_cold():
        for replica in cold:
            replica.answers_cold = False
            replica.become_cold(COLD_S)
    site.run_on_loop(become_cold)
    time.sleep(COLD_S + 0.5)
    outcomes = load.stop()
    crashes = check_cold_bound(cold)
    check(crashes == 0, crashes, "crashes")
    check_answered(outcomes)


def test_a_plain_server_that_becomes_cold_says_so_in_its_listing_only(build, directory):
    with start_site(build, directory, plain=1) as site:
        check_cold_in_load(site, PLAIN, callers=24)


def test_model_servers_that_become_cold_say_so_in_their_listings_only(build, directory):
    with start_site(build, directory, stages=("prefill", "decode")) as site:
        for replica in site.replicas:
            replica.event_count = 2
        check_cold_in_load(site, MODEL, callers=24)


def test_an_entry_that_the_store_rejects_learns_that_a_server_is_cold(build, directory):
    """Guards against an entry that goes on by its last list until the server says it is cold."""
    with start_site(build, directory, plain=1, entries=3) as site:
        address = site.add_store_address()
        site.entries.append(Entry(site, 3, store=address.address))
        wait_for(lambda: all_registered(site), "all entries to be registered")
        site.run_on_loop(address.reject)
        check_cold_in_load(site, PLAIN, callers=24)


def test_an_entry_that_restarts_while_servers_are_cold(build, directory):
    with start_site(build, directory, plain=1) as site:
        load = Callers(site, 40, PLAIN, pause_s=0.04).start()
        time.sleep(1)
        cold = site.replicas_in(DOMAIN)
        site.run_on_loop(cold[0].become_cold, COLD_S)
        for number in (0, 1):
            time.sleep(0.7)
            entry = site.entries[number]
            entry.end()
            entry.process.wait()
            entry.start()
        time.sleep(COLD_S)
        load.stop()
        check(check_cold_bound(cold) == 0, "crashed while it was cold")


def check_restarts(site, crashing, kinds, callers):
    """A server crashes and comes back, cold, three times."""
    load = Callers(site, callers, kinds, pause_s=0.04).start()
    time.sleep(1)
    for _ in range(3):
        crashes = len(crashing.crash_times)
        site.run_coroutine(crashing.crash(site, 1.0))
        time.sleep(2.5)
        check(len(crashing.crash_times) == crashes + 1, "crashed while it was cold")
    outcomes = load.stop()
    check_cold_bound([crashing])
    served = sum(outcome.status == 200 and outcome.complete for outcome in outcomes)
    lost = [outcome for outcome in outcomes if outcome.status != 200
            and not any(outcome.sent_at < moment + 0.5 and outcome.ended_at > moment
                        for moment in crashing.crash_times)]
    check(not lost, len(lost), served, lost[:5])


def test_a_plain_server_that_restarts_repeatedly(build, directory):
    with start_site(build, directory, plain=1) as site:
        check_restarts(site, site.replicas_in(DOMAIN)[0], SAFE, callers=24)


def test_a_decode_server_that_restarts_repeatedly(build, directory):
    with start_site(build, directory, stages=("prefill", "decode")) as site:
        for replica in site.replicas:
            replica.event_count = 2
        check_restarts(site, site.replicas_in(DOMAIN)[1], MODEL, callers=24)


def play_healthy_return(site, crashing, kinds):
    """Lets a server that is never cold return, and returns its peers and when it returned."""
    peers = [replica for replica in site.replicas_in(DOMAIN)
             if replica.stage == crashing.stage and replica is not crashing]
    load = Callers(site, 40, kinds, pause_s=0.05).start()
    time.sleep(1)
    site.run_coroutine(crashing.crash(site, 1.0))
    returned = time.monotonic()
    time.sleep(6)
    load.stop()
    shares = [round(rate(crashing, returned + begin, returned + begin + length) /
                    mean_rate(peers, returned + begin, returned + begin + length), 2)
              for begin, length in ((0, 0.5), (0, 1), (1, 1), (3, 3))]
    print("  share of its peers' rate in 0-0.5 s, 0-1 s, 1-2 s and 3-6 s:", shares, flush=True)
    return shares


def check_healthy_return(site, crashing, kinds, is_paced):
    _, first, second, later = play_healthy_return(site, crashing, kinds)
    check(second >= 0.25 and later >= 0.9, first, second, later)
    returns = [line for line in events(site, "server returns") if line["server"] == crashing.id]
    check(bool(returns) == is_paced, "returns logged by the entries", len(returns))


def test_a_healthy_plain_server_returns_to_its_normal_share(build, directory):
    with start_site(build, directory, plain=3, is_ever_cold=False) as site:
        check_healthy_return(site, site.replicas_in(DOMAIN)[0], SAFE, is_paced=True)


def test_a_healthy_decode_server_returns_to_its_normal_share(build, directory):
    """Guards against places of a healthy server that stay empty while callers wait."""
    stages = ("prefill", "decode", "decode", "decode")
    with start_site(build, directory, stages=stages, is_ever_cold=False) as site:
        for replica in site.replicas:
            replica.event_count = 2
        check_healthy_return(site, site.replicas_in(DOMAIN)[1], MODEL, is_paced=False)


def test_a_returning_server_that_refuses_or_is_slow_is_not_used_more(build, directory):
    """Guards against a pace that rises with time and not with good answers."""
    start_of_pace = 8 / LATENCY_S / 8  # An eighth of its slots by its peers' latency.
    for name, slowdown, refused_share in (("refuses", 1, 0.5), ("slow", 5, 0)):
        with start_site(build, os.path.join(directory, name), plain=3,
                        is_ever_cold=False) as site:
            returning, peer, _ = site.replicas_in(DOMAIN)
            load = Callers(site, 40, SAFE, pause_s=0.05).start()
            time.sleep(1)
            returning.latency_s, returning.refused_share = LATENCY_S * slowdown, refused_share
            site.run_coroutine(returning.crash(site, 1.0))
            returned = time.monotonic()
            time.sleep(4)
            check_answered(load.stop())
            rates = [rate(replica, returned + 2, returned + 4) for replica in (returning, peer)]
            print(f"  {name}: its and a peer's requests a second:", rates, flush=True)
            check(rates[0] <= 1.2 * start_of_pace < rates[1], name, rates)


def check_nothing_is_paced(site, crashing, kinds):
    shares = play_healthy_return(site, crashing, kinds)
    check(shares[0] >= 0.5 and shares[1] >= 0.7, shares)
    paced = [event for event in ("server returns", "server pace", "server at full pace")
             if events(site, event)]
    check(not paced, paced)


def test_plain_servers_are_not_paced_without_the_setting(build, directory):
    with start_site(build, directory, plain=3, pace=False, is_ever_cold=False) as site:
        check_nothing_is_paced(site, site.replicas_in(DOMAIN)[0], SAFE)


def test_decode_servers_are_not_paced_without_the_setting(build, directory):
    stages = ("prefill", "decode", "decode", "decode")
    with start_site(build, directory, stages=stages, pace=False, is_ever_cold=False) as site:
        for replica in site.replicas:
            replica.event_count = 2
        check_nothing_is_paced(site, site.replicas_in(DOMAIN)[1], MODEL)


if __name__ == "__main__":
    sys.exit(run.main(globals()))

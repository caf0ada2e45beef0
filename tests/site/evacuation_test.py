"""Tests entries while operators evacuate a failure domain and take it back into service."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from change_test import all_registered, is_listening  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Entry, Site, configuration, wait_for  # noqa: E402
from relay_test import is_settled, watchers_of  # noqa: E402
from site_callers import Callers  # noqa: E402

IN_FORCE_S = 5.0  # after the store's answer
UNSTABLE_S = 6.0  # longer when the store was unstable
USED_AGAIN_S = 2.0
FLEET = 9  # entries; the smallest fleet in which some follow others
DOMAIN, OTHER = "zone-a", "zone-b"  # Entries prefer servers in zone-a, their own domain.
KINDS = [("/safe/a", None), ("/once/a", None), ("/draft/a", "500,40"), ("/resume/a", "500,40")]
SETTINGS = {"evacuation_ms": 5000, "regions": {DOMAIN: "north", OTHER: "north"}}


def start_site(build, directory, entries=3):
    """Starts a site with two domains, each of which can serve everything."""
    site = Site(build, directory, entries=entries, settings=SETTINGS)
    for zone in (OTHER, DOMAIN):
        for service, stage in (("plain", None), ("plain", None), ("model", "prefill"),
                               ("model", "decode"), ("model", "decode")):
            site.add_replica(service, stage=stage, zone=zone)
    routes = [dict(item, timeout_ms=14_000) for item in configuration(1)["routes"]]
    site.configure(1, routes=routes)
    site.start()
    wait_for(lambda: all_registered(site), "all entries to be registered")
    return site


def set_streams(site, events, delay_s=0.05):
    for replica in site.replicas_of("model", "decode"):
        replica.event_count, replica.event_delay_s = events, delay_s


def check_nothing_reached(site, domain, evacuated, end, bound_s=IN_FORCE_S):
    """Checks an evacuation up to `end`, and prints how late its last request was."""
    seen = [(round(moment - evacuated, 3), replica.stage, request.method, request.target)
            for moment, replica, request in site.requests_in(domain, evacuated, end)]
    print("  last request after the store's answer:", seen[-1] if seen else "none", flush=True)
    late = [arrival for arrival in seen if arrival[0] > bound_s]
    check(not late, f"{len(late)} of {len(seen)} requests were late", late[:3], late[-3:])


def check_used_again(site, callers, taken_back):
    """Checks that each entry sends requests to each server of the domain, or, for those of
    streams, that each server of the domain gets some."""
    def users():
        ids = {request.id for _, _, request in site.requests_in(DOMAIN, taken_back)}
        return {outcome.entry for outcome in list(callers.outcomes) if outcome.id in ids}

    def is_used():
        return len(users()) == len(site.entries) and all(
            replica.counted_requests(taken_back) for replica in site.replicas_in(DOMAIN))
    while not is_used() and time.monotonic() < taken_back + USED_AGAIN_S:
        time.sleep(0.01)
    check(is_used(), "used by entries", users(), "servers reached",
          [(replica.stage, len(replica.counted_requests(taken_back)))
           for replica in site.replicas_in(DOMAIN)])


def check_answered(outcomes, events=(4,)):
    others = [outcome for outcome in outcomes if outcome.status != 200 or not outcome.complete
              or (outcome.path in ("/draft/a", "/resume/a") and outcome.events not in events)]
    check(outcomes and not others, len(others), len(outcomes), others[:5])


def add_entry(site, **settings):
    site.entries.append(Entry(site, len(site.entries), **settings))
    return site.entries[-1]


def peers_of(site):
    return [f"127.0.0.1:{entry.peers}" for entry in site.entries]


def test_an_evacuated_domain_gets_nothing_and_running_streams_end(build, directory):
    """Guards against retries, reservations, releases and reports that still go to the domain,
    and against streams that are cut there."""
    with start_site(build, directory, entries=4) as site:
        set_streams(site, events=110, delay_s=0.07)  # Longer than the time to be in force.
        callers = Callers(site, 24, KINDS, pause_s=0.1).start()
        time.sleep(2)
        evacuated = site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S + 0.5)
        running = [request_id for replica in site.replicas_in(DOMAIN)
                   for request_id in replica.running]
        check(running, "no stream outlasted the time to be in force")
        set_streams(site, events=4)
        time.sleep(4.5)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop(), events=(110, 4))
        cut = [replica.interrupted_streams for replica in site.replicas]
        check(not any(cut), cut)
        for entry in site.entries:
            for event in ("failure domain evacuated", "failure domain taken back"):
                told = [line["domain"] for line in entry.log_lines(event)]
                check(told == [DOMAIN], entry.name, event, told)


def test_an_entry_that_the_store_rejects_learns_it_from_the_others(build, directory):
    with start_site(build, directory) as site:
        address = site.add_store_address()
        entry = add_entry(site, store=address.address, seeds=peers_of(site))
        wait_for(entry.is_ready, "the entry to be ready")
        wait_for(lambda: all_registered(site), "all entries to be registered")
        callers = Callers(site, 16, KINDS).start()
        time.sleep(1)
        site.run_on_loop(address.reject)
        time.sleep(0.5)
        evacuated = site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S + 2)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop())


def check_entry_started_in_an_evacuation(build, directory, rejects):
    with start_site(build, directory) as site:
        address = site.add_store_address()
        entry = add_entry(site, store=address.address, seeds=peers_of(site))
        wait_for(lambda: all_registered(site), "all entries to be registered")
        time.sleep(0.5)  # The others list the entries anew.
        entry.end()
        entry.process.wait()
        evacuated = site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S)
        address.rejects = rejects
        entry.start()
        wait_for(lambda: is_listening(entry), "the entry to listen")
        wait_for(lambda: site.get("/safe/a", entry=3).status == 200, "the entry to serve", 5)
        callers = Callers(site, 16, KINDS).start()
        time.sleep(2)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop())


def test_an_entry_started_in_an_evacuation(build, directory):
    check_entry_started_in_an_evacuation(build, directory, rejects=False)


def test_an_entry_started_in_an_evacuation_that_the_store_rejects(build, directory):
    check_entry_started_in_an_evacuation(build, directory, rejects=True)


def test_an_entry_that_cannot_know_the_evacuations_sends_nothing(build, directory):
    """Guards against an entry that takes its first list of servers for the whole truth: the
    store answers its lists of servers and configurations only."""
    with start_site(build, directory, entries=1) as site:
        site.entries[0].end()
        site.entries[0].process.wait()
        site.evacuate(DOMAIN)
        site.store.refused_kinds.add("evacuations")
        began = time.monotonic()
        site.entries[0].start()
        wait_for(lambda: is_listening(site.entries[0]), "the entry to listen")
        time.sleep(1)
        for _ in range(5):
            response = site.get("/safe/a")
            check(response.status == 503 and b"not_run" in response.body, response.body)
        sent = [arrival for domain in (OTHER, DOMAIN)
                for arrival in site.requests_in(domain, began)]
        check(not sent, len(sent))
        site.store.refused_kinds.clear()
        wait_for(lambda: site.get("/safe/a").status == 200, "the entry to serve")
        check_nothing_reached(site, DOMAIN, began, time.monotonic(), bound_s=0)


def test_entries_that_follow_another_entry(build, directory):
    with start_site(build, directory, entries=FLEET) as site:
        wait_for(lambda: is_settled(site), "all but the watchers to follow other entries", 15)
        callers = Callers(site, 2 * FLEET, KINDS, pause_s=0.2).start()
        time.sleep(0.5)
        evacuated = site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S + 1)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop())
        for entry in site.entries:
            if entry not in watchers_of(site):
                sources = {line["source"] for line in entry.log_lines("feed source changed")
                           if line["kind"] == "evacuations"}
                check(sources - {"store"}, entry.name, "evacuations from", sources)


def test_a_store_restored_without_the_evacuation(build, directory):
    """Guards against a domain that is used between the store's return and the operators' writing
    of the lost object."""
    with start_site(build, directory) as site:
        callers = Callers(site, 16, KINDS).start()
        copy = site.run_on_loop(site.store.copy)
        evacuated = site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S)
        site.run_coroutine(site.store.drill(0.3, copy=copy))
        time.sleep(1)
        site.evacuate(DOMAIN)
        time.sleep(IN_FORCE_S + UNSTABLE_S)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop())


def test_a_store_that_falls_silent_as_it_answers_the_operators(build, directory):
    """No entry hears of the evacuation before the store is back."""
    with start_site(build, directory) as site:
        callers = Callers(site, 16, KINDS).start()
        time.sleep(1)

        def evacuate_and_fall_silent():
            site.store.mode = "silent"
            site.store.put("evacuations", DOMAIN, {})
        site.run_on_loop(evacuate_and_fall_silent)
        evacuated = time.monotonic()
        time.sleep(4)
        site.store.mode = "up"
        time.sleep(IN_FORCE_S + UNSTABLE_S - 3)
        taken_back = site.take_back(DOMAIN)
        check_nothing_reached(site, DOMAIN, evacuated, taken_back, IN_FORCE_S + UNSTABLE_S)
        check_used_again(site, callers, taken_back)
        check_answered(callers.stop())


def test_an_unknown_domain_is_logged_and_affects_nothing_else(build, directory):
    with start_site(build, directory, entries=2) as site:
        callers = Callers(site, 8, KINDS).start()
        evacuated = site.evacuate("zone-nowhere")
        for entry in site.entries:
            wait_for(lambda entry=entry: any(
                line["domain"] == "zone-nowhere" and line["level"] == "error"
                for line in entry.log_lines("unknown failure domain evacuated")), "the error")
        for replica in site.replicas_in(DOMAIN):
            wait_for(lambda replica=replica: replica.counted_requests(evacuated), "requests")
        late_server = site.add_replica("plain", zone="zone-nowhere")
        time.sleep(1)
        check(not late_server.requests, len(late_server.requests))
        check_answered(callers.stop())


def test_the_content_of_an_evacuation_is_irrelevant(build, directory):
    """Guards against an object that is dropped, or that stops its feed, for what it holds."""
    contents = [7, OTHER, [], {"domain": OTHER, "until": -1}, {"a": [[[{}]]] * 50}, False]
    with start_site(build, directory, entries=2) as site:
        callers = Callers(site, 8, KINDS, pause_s=0.1).start()
        for content in contents:
            evacuated = site.evacuate(DOMAIN, content)
            time.sleep(1)
            begin = time.monotonic()
            time.sleep(0.3)
            taken_back = site.take_back(DOMAIN)
            late = site.requests_in(DOMAIN, begin, taken_back)
            check(not late, content, len(late))
            wait_for(lambda taken_back=taken_back: site.requests_in(DOMAIN, taken_back),
                     "requests again", USED_AGAIN_S)
            check(evacuated < taken_back)
        check_answered(callers.stop())


if __name__ == "__main__":
    sys.exit(run.main(globals()))

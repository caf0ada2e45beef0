"""Tests how long servers get work after the store removed them, soon after an outage."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from leaving_test import Load  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Entry, Site, wait_for  # noqa: E402

REPLICAS = 10
REMOVED = 8
AWAY_S = 1.2  # Long enough for records to lapse.
DRAIN_S = 2.0  # Requests may reach a removed server for this long.
SETTLE_S = 2.0  # After this time, a record that is missing after an outage is gone.
# A fraction of `SETTLE_S`: a server that is gone is dropped as soon as that is known.
PROMPT_S = 0.5


def start_site_on_address(build, directory, entries):
    """Starts a site whose last entry reaches the store by an address of its own."""
    site = Site(build, directory, entries=entries - 1)
    for _ in range(REPLICAS):
        site.add_replica("plain")
    site.configure(1)
    site.start()
    to_store = site.add_store_address()
    site.entries.append(Entry(site, entries - 1, store=to_store.address))
    wait_for(site.entries[-1].is_ready, "the last entry to be ready")
    wait_for(lambda: len(site.entries[-1].log_lines("entry heard")) == entries - 1, "the others")
    return site, to_store


def turn_away(site, to_store):
    """Rejects the calls of one entry for a time."""
    site.run_on_loop(to_store.reject)
    time.sleep(AWAY_S)
    to_store.rejects = False


def reached_count(entry):
    """Returns how often the entry came to reach the store, at its start and after outages."""
    return len(entry.log_lines("platform store reached again"))


def remove_servers(site):
    """Removes servers at moments that are spread over a cleanup interval of an entry, and returns
    when the last request reached any of them after its removal."""
    removed_at = {}
    for replica in site.replicas[:REMOVED]:
        site.run_on_loop(site.store.remove, "servers", replica.id)
        removed_at[replica] = time.monotonic()
        time.sleep(0.097)
    time.sleep(DRAIN_S + 0.3)
    return max(request.arrived - removed_at[replica]
               for replica in removed_at for request in replica.requests)


def test_a_server_removed_after_an_outage_gets_nothing_after_the_drain_time(build, directory):
    """Guards against a server that is kept in case its record lapsed, and dropped too late."""
    site, to_store = start_site_on_address(build, directory, 1)
    with site, Load(site, calls=[lambda site: site.get("/safe/a")], pause_s=0.002):
        before = reached_count(site.entries[0])
        turn_away(site, to_store)
        wait_for(lambda: reached_count(site.entries[0]) > before, "the store")
        last = remove_servers(site)
        kept = [line for line in site.entries[0].log_lines("backend server gone")
                if line["after_outage"]]
        check(kept)
        check(last <= DRAIN_S, last)


def test_an_outage_ends_when_a_relay_answers(build, directory):
    """Guards against an outage that lasts until the entry's own next call of the store, although
    it follows the store through another entry meanwhile."""
    site, to_store = start_site_on_address(build, directory, 2)
    with site, Load(site, calls=[lambda site: site.get("/safe/a", entry=1)], pause_s=0.002):
        away = site.entries[1]
        before = reached_count(away)
        turn_away(site, to_store)
        served_since = time.monotonic()
        wait_for(lambda: reached_count(away) > before, "the store", 8)
        time.sleep(max(0.0, served_since + SETTLE_S - time.monotonic()))
        last = remove_servers(site)
        check(last <= PROMPT_S, last, away.log_lines("backend server gone")[:1])


if __name__ == "__main__":
    sys.exit(run.main(globals()))

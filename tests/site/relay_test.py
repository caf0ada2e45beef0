"""Tests how entries learn of changes through the entries that watch the store."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from change_test import all_registered, is_listening  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import route, wait_for  # noqa: E402

FLEET = 12  # entries; a larger fleet than those in which all watch the store
WATCHERS = 4


def entry_lists(site):
    return sum("agateseam-entries" in target for method, target in list(site.store.calls)
               if method == "GET")


def set_store(entry, address):
    with open(entry.settings_path, encoding="utf-8") as file:
        settings = json.load(file)
    settings["store"], settings["seeds"] = address, []
    with open(entry.settings_path, "w", encoding="utf-8") as file:
        json.dump(settings, file)


def test_an_entry_that_restarts_without_the_store_hears_the_others(build, directory):
    """Guards against an entry that stays deaf: its planned stop removed it from the store's list,
    the others dropped it with their next list, and the store turns its new process away."""
    for count in (2, 3, 8):
        with start_site(build, os.path.join(directory, str(count)), entries=count) as site:
            wait_for(lambda: all_registered(site), "all entries to be registered")
            entry = site.entries[-1]
            set_store(entry, "127.0.0.1:9")
            entry.end(15)
            check(entry.process.wait(6) == 0)
            lists_before = entry_lists(site)
            wait_for(lambda: entry_lists(site) >= lists_before + count, "the others' next lists")
            entry.start()
            wait_for(lambda: is_listening(entry), "the entry to listen")
            wait_for(lambda: site.get("/safe/a", entry=count - 1).status == 200,
                     f"one of {count} entries to hear the others", 3)


def is_settled(site):
    """Tells whether all but the watchers follow other entries."""
    relayed = 0
    for entry in site.entries:
        sources = [line["source"] for line in entry.log_lines("feed source changed")
                   if line["kind"] == "servers"]
        relayed += bool(sources) and sources[-1] != "store"
    return relayed == len(site.entries) - WATCHERS


def watchers_of(site):
    watchers = []
    for entry in site.entries:
        sources = [line["source"] for line in entry.log_lines("feed source changed")
                   if line["kind"] == "servers"]
        if not sources or sources[-1] == "store":
            watchers.append(entry)
    return watchers


def start_fleet(build, directory):
    site = start_site(build, directory, entries=FLEET)
    wait_for(lambda: is_settled(site), "all but the watchers to follow other entries", 15)
    return site


def watch_calls(site):
    return sum("watch=" in target for _, target in list(site.store.calls))


def test_a_few_entries_watch_the_store_for_all(build, directory):
    with start_fleet(build, directory) as site:
        time.sleep(1)
        calls_before, began = watch_calls(site), time.monotonic()
        for _ in range(10):
            for state in ("draining", "ready"):
                site.publish_replica(site.replicas_of("plain")[0], state)
                time.sleep(0.1)
        elapsed = time.monotonic() - began
        # Two kinds; each change ends the watches of one of them.
        limit = WATCHERS * (20 + 2 * (elapsed / 2 + 2))
        check(watch_calls(site) - calls_before <= limit, watch_calls(site) - calls_before, limit)


def test_changes_reach_every_entry_through_the_watchers(build, directory):
    with start_fleet(build, directory) as site:
        site.configure(2, routes=[route("/new/", "safe", "plain")])
        for number in range(FLEET):
            wait_for(lambda number=number: site.get("/new/a", entry=number).status == 200,
                     "version 2", 1)
        leaving = site.replicas_of("plain")[0]
        site.publish_replica(leaving, "draining")
        time.sleep(0.5)
        runs_before = len(leaving.runs)
        for number in range(FLEET):
            check(site.get("/new/a", entry=number).status == 200)
        check(len(leaving.runs) == runs_before)


def kill_watchers(site):
    """Kills all entries that watch the store; returns the numbers of the others."""
    lost = watchers_of(site)
    for entry in lost:
        entry.end()
    for entry in lost:
        entry.process.wait()
    return [number for number, entry in enumerate(site.entries) if entry not in lost]


def test_servers_that_are_removed_as_relays_die_are_not_kept(build, directory):
    """Guards against followers that take dead relays for an outage of the store: the server's
    record might have lapsed in it, so it would get work for 1.8 s more."""
    with start_fleet(build, directory) as site:
        remaining = kill_watchers(site)
        removed = site.replicas_of("plain")[0]
        removed_at = time.monotonic()
        site.run_on_loop(site.store.remove, "servers", removed.id)
        for number in remaining:
            wait_for(lambda number=number: site.entries[number].log_lines("backend server gone"),
                     "the removal to be known")
        time.sleep(max(0, removed_at + 2 - time.monotonic()))
        runs_before = len(removed.runs)
        for number in remaining * 4:
            check(site.get("/safe/a", entry=number).status == 200)
        check(len(removed.runs) == runs_before, len(removed.runs) - runs_before)
        for number in remaining:
            silences = site.entries[number].log_lines("store silence began")
            check(not silences, silences)


def test_servers_that_lapse_in_an_outage_are_kept_by_followers(build, directory):
    """Guards against followers that call the store only when a short outage is over, and so take
    the records that lapsed in it for removed."""
    with start_fleet(build, directory) as site:
        site.store.mode = "busy"
        site.run_on_loop(site.store.wake_watches)
        time.sleep(1.5)
        for replica in site.replicas_of("plain"):
            site.run_on_loop(site.store.remove, "servers", replica.id)
        site.store.mode = "up"
        returned_at = time.monotonic()
        while time.monotonic() < returned_at + 1.2:
            check(all(site.get("/safe/a", entry=number).status == 200 for number in range(FLEET)))


def test_the_loss_of_all_watchers_is_noticed_in_time(build, directory):
    """Guards against followers that go on without news. Two seconds is the shortest time in which
    the platform asks for a change to be in force."""
    with start_fleet(build, directory) as site:
        lost = watchers_of(site)
        for entry in lost:
            entry.end()
        for entry in lost:
            entry.process.wait()
        changed_at = time.monotonic()
        site.configure(2, routes=[route("/new/", "safe", "plain")])
        site.publish_replica(site.replicas_of("plain")[0], "draining")
        remaining = [number for number, entry in enumerate(site.entries) if entry not in lost]
        for number in remaining:
            wait_for(lambda number=number: site.get("/new/a", entry=number).status == 200,
                     "version 2", 2)
        check(time.monotonic() - changed_at < 2)
        time.sleep(max(0, changed_at + 2 - time.monotonic()))
        leaving = site.replicas_of("plain")[0]
        runs_before = len(leaving.runs)
        for number in remaining:
            check(site.get("/new/a", entry=number).status == 200)
        check(len(leaving.runs) == runs_before)


if __name__ == "__main__":
    sys.exit(run.main(globals()))

"""Tests that an odd object of another writer in the store stops no entry."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import Entry, route, wait_for  # noqa: E402
from relay_test import FLEET, is_settled  # noqa: E402

DEPTH = 400_000  # Close to the store's limit of a value.
ODD_VALUES = {
    "deep lists": b"[" * DEPTH + b"]" * DEPTH,
    "deep objects": b'{"a":' * (DEPTH // 4) + b"1" + b"}" * (DEPTH // 4),
    "a number too large": b"1e999",
    "a long number": b"9" * 5_000,
    "bytes that are no text": b'"\xff\xfe\xc3("',
    "a half of a surrogate pair": b'"\\ud800"',
}
ODD_ADDRESSES = ["127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1",
                 "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", ":80", "[::1]:80x", ""]


def put_odd_entries(site, kind):
    """Puts entries that are odd as a whole, or in a member that is used or isn't."""
    valid = site.replicas_of("plain")[0].server_spec()
    for number, (name, raw) in enumerate(ODD_VALUES.items()):
        site.store.raw_texts[f"raw {name}"] = raw
        for member in (None, "slots", "unused"):
            spec = f"raw {name}" if member is None else dict(valid, **{member: f"raw {name}"})
            site.run_on_loop(site.store.put, kind, f"odd-{number}-{member}", spec)
    for number, address in enumerate(ODD_ADDRESSES):
        site.run_on_loop(site.store.put, kind, f"odd-address-{number}",
                         dict(valid, address=address))
    site.run_on_loop(site.store.put, kind, "odd-incarnation",
                     dict(valid, incarnation="text", link_mbps=[1]))


def check_follows(site, version):
    """Checks that every entry still runs and follows configuration and replicas."""
    site.configure(version, routes=[route(f"/v{version}/", "safe", "plain")])
    added = site.add_replica("plain")
    for number in range(len(site.entries)):
        wait_for(lambda entry=number: site.get(f"/v{version}/a", entry=entry).status == 200,
                 f"version {version} at entry {number}", 4)
    wait_for(lambda: site.get(f"/v{version}/a").status == 200 and added.runs,
             "the added replica to be used", 4)
    ended = [entry.name for entry in site.entries if entry.process.poll() is not None]
    check(not ended, ended)


def check_odd_entries(site, kind):
    put_odd_entries(site, kind)
    check_follows(site, 2)
    site.run_on_loop(site.store.compact)  # All objects are listed again.
    time.sleep(0.5)
    check_follows(site, 3)
    started = Entry(site, len(site.entries))
    site.entries.append(started)
    wait_for(started.is_ready, "an entry that starts", 5)
    check_follows(site, 4)


def test_odd_replicas_of_another_writer_stop_nobody(build, directory):
    """Guards against entries that end, or stop following the list, at one odd object in it."""
    with start_site(build, directory, entries=2) as site:
        check_odd_entries(site, "servers")


def test_odd_registered_entries_stop_nobody(build, directory):
    with start_site(build, directory, entries=2) as site:
        check_odd_entries(site, "agateseam-entries")


def test_odd_replicas_stop_no_follower(build, directory):
    """Guards against odd objects that come through the entries that watch the store."""
    with start_site(build, directory, entries=FLEET) as site:
        wait_for(lambda: is_settled(site), "all but the watchers to follow other entries", 15)
        put_odd_entries(site, "servers")
        check_follows(site, 2)


def test_a_replica_whose_object_becomes_unreadable_gets_nothing(build, directory):
    with start_site(build, directory) as site:
        odd = site.replicas_of("plain")[0]
        site.store.raw_texts["raw"] = b"[" * DEPTH + b"]" * DEPTH
        site.run_on_loop(site.store.put, "servers", odd.id, dict(odd.server_spec(), slots="raw"))
        site.run_on_loop(site.store.put, "servers", "unreadable", "raw")
        time.sleep(1)
        runs_before = len(odd.runs)
        for _ in range(10):
            check(site.get("/safe/a").status == 200)
        check(len(odd.runs) == runs_before, len(odd.runs))


if __name__ == "__main__":
    sys.exit(run.main(globals()))

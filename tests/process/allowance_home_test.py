"""Kills the entry that is home of some workspaces.

Guards against a takeover of its shards while the platform still lists the entry, and against
shards that stay without a home after the platform has removed it from the list.
"""

import json
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))
import fleet  # noqa: E402

WORKSPACES = [f"labs-{number}" for number in range(6)]


def request_status(url, key):
    body = json.dumps({"model": "drafter", "prompt": "a short note", "max_tokens": 4})
    try:
        return fleet.call_http("POST", url + "/v1/completions", body,
                               {"Authorization": "Bearer " + key}, timeout=10)[0]
    except OSError:
        return 0


def count_homes(system):
    """Returns the number of shards by home entry, as recorded in the store."""
    _, _, body = fleet.call_http("GET", system.platform_url() + "/objects?prefix=shares/")
    counts = {}
    for item in json.loads(body):
        home = json.loads(item["value"])["home"]
        counts[home] = counts.get(home, 0) + 1
    return counts


def main():
    with tempfile.TemporaryDirectory() as directory:
        with fleet.Fleet(sys.argv[1], directory, entries=2, services=1) as system:
            system.configure(WORKSPACES)
            keys = [system.keys[name] for name in WORKSPACES]
            for url in system.entry_urls():
                for key in keys:
                    fleet.wait_for(lambda: request_status(url, key) == 200,
                                   "the first home to admit")
            homes_before = count_homes(system)
            killed_entry = "entry-1" if homes_before.get("entry-1", 0) else "entry-2"
            surviving_entry = "entry-2" if killed_entry == "entry-1" else "entry-1"
            surviving_url = f"http://127.0.0.1:{system.processes[surviving_entry].port}"
            system.processes[killed_entry].send_signal(signal.SIGKILL)
            refused_count = sum(request_status(surviving_url, key) == 503 for key in keys)
            homes_while_listed = count_homes(system)
            system.publish_vms(gone=[killed_entry])
            for key in keys:
                fleet.wait_for(lambda: request_status(surviving_url, key) == 200,
                               "the next home to admit")
            homes_after = count_homes(system)
    print(f"homes before {homes_before}, while listed {homes_while_listed}, after {homes_after}; "
          f"refused meanwhile {refused_count}")
    taken_over_early = homes_while_listed != homes_before
    taken_over = homes_after == {surviving_entry: len(WORKSPACES)}
    return 0 if homes_before.get(killed_entry,
                                 0) > 0 and not taken_over_early and taken_over else 1


if __name__ == "__main__":
    sys.exit(main())

"""Kills the entry that is home of some workspaces: the other one takes them over."""

import json
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))
import fleet  # noqa: E402

WORKSPACES = [f"labs-{number}" for number in range(6)]


def status(url, key):
    body = json.dumps({"model": "drafter", "prompt": "a short note", "max_tokens": 4})
    try:
        return fleet.call_http("POST", url + "/v1/completions", body,
                          {"Authorization": "Bearer " + key}, timeout=10)[0]
    except OSError:
        return 0


def homes(system):
    """Returns how many shards each entry is the home of, as the store has it."""
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
                    fleet.wait_for(lambda: status(url, key) == 200, "the first home")
            before = homes(system)
            victim = "entry-1" if before.get("entry-1", 0) else "entry-2"
            other = "entry-2" if victim == "entry-1" else "entry-1"
            survivor = f"http://127.0.0.1:{system.processes[other].port}"
            system.processes[victim].send_signal(signal.SIGKILL)
            refused = sum(status(survivor, key) == 503 for key in keys)
            while_listed = homes(system)
            system.publish_vms(gone=[victim])
            for key in keys:
                fleet.wait_for(lambda: status(survivor, key) == 200, "the next home")
            after = homes(system)
    print(f"homes before {before}, while listed {while_listed}, after {after}; "
          f"refused meanwhile {refused}")
    taken_early = while_listed != before
    taken_over = after == {other: len(WORKSPACES)}
    return 0 if before.get(victim, 0) > 0 and not taken_early and taken_over else 1


if __name__ == "__main__":
    sys.exit(main())

"""Usage as metered against usage as received: exact without crashes, at most an interval
short after one, and nothing lost in an outage of the store."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts/lib"))
from fleet import Fleet, OPERATOR_TOKEN, call_http, wait_for  # noqa: E402

WORKSPACES = ("oshana", "swakop", "dune")


def stored(fleet):
    """Returns the store's sums over all workspaces, by counter; None while the store
    cannot be read."""
    since = int(time.time() / 3600) - 2
    url = f"{fleet.entry_urls()[0]}/operator/usage?from={since}&workspace="
    total = {}
    pages = {shard_page(url + name) for name in WORKSPACES}
    if None in pages:
        return None
    for shard in pages:
        page = json.loads(shard)
        for row in (row for rows in page["hours"].values() for row in rows):
            for index, name in enumerate(page["fields"]):
                total[name] = total.get(name, 0) + row[2 + index]
    return total


def shard_page(url):
    status, _, body = call_http("GET", url,
                           headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
    assert status in (200, 503), body
    return body if status == 200 else None


def run_load(fleet, requests, seed):
    path = os.path.join(fleet.directory, "addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
    done = subprocess.run([fleet.program_path("load"), "--addresses", path, "--requests",
                           str(requests), "--booking-share", "0", "--seed", str(seed)],
                          capture_output=True, text=True, timeout=60, check=True)
    return json.loads(done.stdout)


def waiting_rows(fleet):
    rows = 0
    for url in fleet.entry_urls() + [fleet.agent_url(name) for name, _, _ in fleet.agents]:
        _, _, page = call_http("GET", url + "/metrics")
        for line in page.decode().splitlines():
            if line.startswith("agateseam_usage_rows_waiting "):
                rows += int(float(line.split()[1]))
    return rows


def settled(fleet):
    """Waits until the sums stand still for longer than a flush takes."""
    last = [None, 0]

    def still():
        now = stored(fleet)
        same = now is not None and now == last[0]
        last[1] = last[1] + 1 if same and waiting_rows(fleet) == 0 else 0
        last[0] = now
        return last[1] >= 12
    wait_for(still, "the usage to arrive", 15)
    return last[0]


def check(name, holds, seen):
    print(("ok   " if holds else "FAIL ") + name, seen, flush=True)
    return 0 if holds else 1


def main():
    build = sys.argv[1]
    failures = 0
    with Fleet(build, os.path.join(build, "usage_test"), entries=3, prefill=2, decode=3,
               services=1, limits={"usage_flush_ms": 200}) as fleet:
        fleet.configure(WORKSPACES)
        before = settled(fleet)
        outcome = run_load(fleet, 100, 11)
        failures += check("load is whole", outcome["whole"] == 100, outcome["whole"])
        after = settled(fleet)
        metered = after["output_tokens"] - before.get("output_tokens", 0)
        failures += check("output tokens metered equal those received",
                          metered == outcome["output_tokens"],
                          (metered, outcome["output_tokens"]))
        requests = after["requests"] - before.get("requests", 0)
        failures += check("requests are counted once", requests == 100, requests)
        failures += check("engine time is counted",
                          after["prefill_microseconds"] > 0 and
                          after["decode_microseconds"] > 0, after)

        call_http("POST", fleet.platform_url() + "/admin/faults", json.dumps({"mode": "down"}))
        during = run_load(fleet, 40, 12)
        wait_for(lambda: waiting_rows(fleet) > 0, "usage to wait in the outage", 5)
        call_http("POST", fleet.platform_url() + "/admin/faults", json.dumps({"mode": "ok"}))
        later = settled(fleet)
        metered = later["output_tokens"] - after["output_tokens"]
        failures += check("an outage loses nothing", metered == during["output_tokens"],
                          (metered, during["output_tokens"]))

        known = run_load(fleet, 20, 13)
        fleet.processes["entry-2"].stop()
        fleet.publish_vms(gone=("entry-2",))
        final = settled_after_stop(fleet)
        metered = final["output_tokens"] - later["output_tokens"]
        failures += check("a planned stop loses nothing",
                          metered == known["output_tokens"],
                          (metered, known["output_tokens"]))

        lost = run_load(fleet, 20, 14)
        fleet.processes["entry-3"].child.kill()
        fleet.publish_vms(gone=("entry-2", "entry-3"))
        fleet.entries = ["entry-1"]
        crashed = settled(fleet)
        metered = crashed["output_tokens"] - final["output_tokens"]
        failures += check("a crash loses its last interval at most, and counts no more",
                          0 <= metered <= lost["output_tokens"],
                          (metered, lost["output_tokens"]))
        whole = run_load(fleet, 20, 15)
        again = settled(fleet)
        metered = again["output_tokens"] - crashed["output_tokens"]
        failures += check("after the crash the count is exact again",
                          metered == whole["output_tokens"],
                          (metered, whole["output_tokens"]))
    return 1 if failures else 0


def settled_after_stop(fleet):
    fleet.entries = ["entry-1", "entry-3"]
    return settled(fleet)


if __name__ == "__main__":
    sys.exit(main())

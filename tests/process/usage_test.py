"""Compares the metered usage with what the callers received.

Guards against usage that is lost or counted twice in normal operation, in an outage of the
store or in a planned stop; a crash may lose at most the last flush interval.
"""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts/lib"))
from fleet import Fleet, OPERATOR_TOKEN, call_http, wait_for  # noqa: E402

WORKSPACES = ("oshana", "swakop", "dune")


def read_stored_usage(fleet):
    """Returns the stored sums over all workspaces by counter, or None if the store cannot
    be read."""
    since = int(time.time() / 3600) - 2
    url = f"{fleet.entry_urls()[0]}/operator/usage?from={since}&workspace="
    totals = {}
    shard_pages = {read_shard_page(url + name) for name in WORKSPACES}
    if None in shard_pages:
        return None
    for shard_text in shard_pages:
        page = json.loads(shard_text)
        for row in (row for rows in page["hours"].values() for row in rows):
            for index, name in enumerate(page["fields"]):
                totals[name] = totals.get(name, 0) + row[2 + index]
    return totals


def read_shard_page(url):
    status, _, body = call_http("GET", url,
                                headers={"Authorization": "Bearer " + OPERATOR_TOKEN})
    assert status in (200, 503), body
    return body if status == 200 else None


def run_load(fleet, requests, seed):
    path = os.path.join(fleet.directory, "addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
    completed = subprocess.run([fleet.program_path("load"), "--addresses", path, "--requests",
                                str(requests), "--booking-share", "0", "--seed", str(seed)],
                               capture_output=True, text=True, timeout=60, check=True)
    return json.loads(completed.stdout)


def count_waiting_rows(fleet):
    rows = 0
    for url in fleet.entry_urls() + [fleet.agent_url(name) for name, _, _ in fleet.agents]:
        _, _, page = call_http("GET", url + "/metrics")
        for line in page.decode().splitlines():
            if line.startswith("agateseam_usage_rows_waiting "):
                rows += int(float(line.split()[1]))
    return rows


def await_stable_usage(fleet):
    """Waits until the sums are unchanged for longer than a flush takes."""
    state = [None, 0]

    def is_stable():
        current = read_stored_usage(fleet)
        is_unchanged = current is not None and current == state[0]
        state[1] = state[1] + 1 if is_unchanged and count_waiting_rows(fleet) == 0 else 0
        state[0] = current
        return state[1] >= 12
    wait_for(is_stable, "the stored usage to be stable", 15)
    return state[0]


def check(name, condition, details):
    print(("ok   " if condition else "FAIL ") + name, details, flush=True)
    return 0 if condition else 1


def main():
    build = sys.argv[1]
    failures = 0
    with Fleet(build, os.path.join(build, "usage_test"), entries=3, prefill=2, decode=3,
               services=1, limits={"usage_flush_ms": 200}) as fleet:
        fleet.configure(WORKSPACES)
        before = await_stable_usage(fleet)
        outcome = run_load(fleet, 100, 11)
        failures += check("load is whole", outcome["whole"] == 100, outcome["whole"])
        after = await_stable_usage(fleet)
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
        during_outage = run_load(fleet, 40, 12)
        wait_for(lambda: count_waiting_rows(fleet) > 0, "usage rows to wait in the outage", 5)
        call_http("POST", fleet.platform_url() + "/admin/faults", json.dumps({"mode": "ok"}))
        after_outage = await_stable_usage(fleet)
        metered = after_outage["output_tokens"] - after["output_tokens"]
        failures += check("an outage loses nothing", metered == during_outage["output_tokens"],
                          (metered, during_outage["output_tokens"]))

        before_stop = run_load(fleet, 20, 13)
        fleet.processes["entry-2"].stop()
        fleet.publish_vms(gone=("entry-2",))
        after_stop = await_stable_usage_after_stop(fleet)
        metered = after_stop["output_tokens"] - after_outage["output_tokens"]
        failures += check("a planned stop loses nothing",
                          metered == before_stop["output_tokens"],
                          (metered, before_stop["output_tokens"]))

        before_crash = run_load(fleet, 20, 14)
        fleet.processes["entry-3"].child.kill()
        fleet.publish_vms(gone=("entry-2", "entry-3"))
        fleet.entries = ["entry-1"]
        after_crash = await_stable_usage(fleet)
        metered = after_crash["output_tokens"] - after_stop["output_tokens"]
        failures += check("a crash loses at most the last interval and adds nothing",
                          0 <= metered <= before_crash["output_tokens"],
                          (metered, before_crash["output_tokens"]))
        whole = run_load(fleet, 20, 15)
        after_restart = await_stable_usage(fleet)
        metered = after_restart["output_tokens"] - after_crash["output_tokens"]
        failures += check("after the crash the count is exact again",
                          metered == whole["output_tokens"],
                          (metered, whole["output_tokens"]))
    return 1 if failures else 0


def await_stable_usage_after_stop(fleet):
    fleet.entries = ["entry-1", "entry-3"]
    return await_stable_usage(fleet)


if __name__ == "__main__":
    sys.exit(main())

"""Pauses an entry, takes the store down and kills the peers of an entry.

Guards against too many entries that watch the store, against configurations that spread
slowly, and against entries that admit with a configuration that may be out of date.
"""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import OPERATOR_TOKEN, Fleet, call_http, wait_for  # noqa: E402

IN_FORCE_LIMIT_S = 5
# There is one call a second. Five failures open the circuit breaker, and its pauses of 100,
# 200, 400, 800 and 1,600 ms exceed a second from the fifth on, so the first call is held back
# after 10 to 12 s.
BREAKER_TIMEOUT_S = 30
ADMISSION_CUTOFF_S = 5
MAX_WATCHERS = 2
TOKEN = {"Authorization": "Bearer " + OPERATOR_TOKEN}


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []

    def check(self, condition, message):
        if not condition:
            self.failures.append(message)
            print("FAILED:", message, flush=True)

    def call_config(self, method, path, body=None, entry=0):
        url = self.fleet.entry_urls()[entry] + "/operator/config" + path
        status, _, text = call_http(method, url, body, TOKEN, 15)
        return status, json.loads(text)

    def set_platform_fault(self, mode):
        call_http("PUT", self.fleet.platform_url() + "/admin/faults", json.dumps({"mode": mode}))

    def models_status(self, entry, key):
        """Returns the status of a request that needs a key, or None if the entry is gone."""
        try:
            return call_http("GET", self.fleet.entry_urls()[entry] + "/v1/models",
                             headers={"Authorization": "Bearer " + key}, timeout=5)[0]
        except OSError:
            return None

    def send_signal_to_entry(self, entry, number):
        self.fleet.processes[self.fleet.entries[entry]].child.send_signal(number)

    def few_watch(self):
        def count_waiting_watches():
            return json.loads(call_http("GET", self.fleet.platform_url() + "/admin/calls")[2])[
                "waiting_watches"]

        # The platform's list is delayed; until it arrives, no entry knows of its peers.
        wait_for(lambda: count_waiting_watches() <= MAX_WATCHERS, "the relay to form", 10)
        observed = []
        for _ in range(50):
            observed.append(count_waiting_watches())
            time.sleep(0.02)
        print(f"waiting watches of {len(self.fleet.entries)} entries: at most {max(observed)}")
        self.check(max(observed) <= MAX_WATCHERS,
                   f"more than {MAX_WATCHERS} entries watch: {max(observed)}")

    def spread(self):
        durations_s = []
        for index in range(10):
            number = self.call_config("GET", "")[1]["number"]
            patch = json.dumps({"workspaces": {"oshana": {"rate": 500 + index}}})
            status, _ = self.call_config("PATCH", f"?against={number}", patch, index % 6)
            started_at = time.monotonic()
            self.check(status == 200, f"patch {index}: {status}")
            pending_entries = set(range(len(self.fleet.entries)))
            while pending_entries and time.monotonic() - started_at < 2 * IN_FORCE_LIMIT_S:
                pending_entries = {entry for entry in pending_entries
                                   if self.call_config("GET", "/state",
                                                       entry=entry)[1]["number"] <= number}
            durations_s.append(time.monotonic() - started_at)
        durations_s.sort()
        print(f"through the relay: p50 {durations_s[5] * 1000:.0f} ms, "
              f"p100 {durations_s[-1] * 1000:.0f} ms")
        self.check(durations_s[-1] <= IN_FORCE_LIMIT_S,
                   f"in force later than after 5 s: {durations_s[-1]:.1f} s")

    def paused(self):
        """An entry that was paused during a withdrawal must not admit the withdrawn key."""
        key = self.fleet.run_cli("key", "create", "oshana")[1].strip()
        entries = range(len(self.fleet.entries))
        wait_for(lambda: all(self.models_status(entry, key) == 200 for entry in entries),
                 "the key to be accepted")
        self.send_signal_to_entry(3, signal.SIGSTOP)
        self.fleet.run_cli("key", "withdraw", "oshana", key.split("_")[1])
        time.sleep(ADMISSION_CUTOFF_S + 1)
        self.send_signal_to_entry(3, signal.SIGCONT)
        observed = [self.models_status(3, key) for _ in range(20)]
        self.check(200 not in observed,
                   f"the withdrawn key was admitted after a pause: {observed}")
        wait_for(lambda: self.models_status(3, self.fleet.keys["oshana"]) == 200,
                 "entry-4 to be back")

    def store_down(self):
        """Entries that hear each other must continue to admit while the store is down."""
        self.set_platform_fault("down")
        observed = set()
        deadline = time.monotonic() + ADMISSION_CUTOFF_S + 5
        while time.monotonic() < deadline:
            for entry in range(len(self.fleet.entries)):
                observed.add(self.models_status(entry, self.fleet.keys["oshana"]))
            time.sleep(0.05)
        self.check(observed == {200},
                   f"an entry stopped admitting while the store was down: {observed}")
        wait_for(self.calls_held_back, "the circuit breaker to hold calls back",
                 BREAKER_TIMEOUT_S)

    def calls_held_back(self):
        metrics = call_http("GET", self.fleet.entry_urls()[0] + "/metrics")[2].decode()
        held_back_samples = [line
                             for line in metrics.splitlines() if 'outcome="held_back"' in line]
        return any(not line.endswith(" 0") for line in held_back_samples)

    def cut_off(self):
        """An entry without the store and without peers must stop admitting."""
        for entry in range(1, len(self.fleet.entries)):
            self.send_signal_to_entry(entry, signal.SIGKILL)
        started_at = time.monotonic()
        wait_for(lambda: self.models_status(0, self.fleet.keys["oshana"]) == 503,
                 "the lone entry to stop admitting", 10)
        print(f"stopped admitting after {time.monotonic() - started_at:.1f} s", flush=True)
        self.set_platform_fault("ok")
        wait_for(lambda: self.models_status(0, self.fleet.keys["oshana"]) == 200,
                 "the lone entry to admit again", 10)


def measure_calls_per_second(fleet, period_s):
    """Returns the number of store calls per second of an idle fleet."""
    def total_calls():
        counts = json.loads(call_http("GET", fleet.platform_url() + "/admin/calls")[2])
        return sum(count for kind, count in counts.items() if kind != "waiting_watches")

    before = total_calls()
    time.sleep(period_s)
    return (total_calls() - before) / period_s


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-store-outage"), entries=6, prefill=1,
               decode=1, services=1, domains=("thu-a",)) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        print(f"store calls of an idle fleet: {measure_calls_per_second(fleet, 3):.1f} a second "
              f"from {len(fleet.entries)} entries")
        for step in (suite.few_watch, suite.spread, suite.paused, suite.store_down,
                     suite.cut_off):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
    return 1 if suite.failures else 0


if __name__ == "__main__":
    sys.exit(main())

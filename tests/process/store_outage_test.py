"""The relay among entries, and what they admit when the store or the peers are gone."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import OPERATOR_TOKEN, Fleet, call_http, wait_for  # noqa: E402

IN_FORCE_LIMIT_S = 5
# A call a second: five failures open the breaker, and its pause passes a second after the
# fifth of 100, 200, 400, 800 and 1,600 ms, so the first call is held back after 10 to 12 s.
BREAKER_LIMIT_S = 30
CUTOFF_S = 5
WATCHERS = 2
TOKEN = {"Authorization": "Bearer " + OPERATOR_TOKEN}


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.faults = []

    def check(self, holds, what):
        if not holds:
            self.faults.append(what)
            print("FAILED:", what, flush=True)

    def operator(self, method, path, body=None, entry=0):
        url = self.fleet.entry_urls()[entry] + "/operator/config" + path
        status, _, text = call_http(method, url, body, TOKEN, 15)
        return status, json.loads(text)

    def platform(self, mode):
        call_http("PUT", self.fleet.platform_url() + "/admin/faults", json.dumps({"mode": mode}))

    def models(self, entry, key):
        """Returns the status of a request that needs a key; None when the entry is gone."""
        try:
            return call_http("GET", self.fleet.entry_urls()[entry] + "/v1/models",
                        headers={"Authorization": "Bearer " + key}, timeout=5)[0]
        except OSError:
            return None

    def send(self, entry, number):
        self.fleet.processes[self.fleet.entries[entry]].child.send_signal(number)

    def few_watch(self):
        def watching():
            return json.loads(call_http("GET", self.fleet.platform_url() + "/admin/calls")[2])[
                "waiting_watches"]

        # The platform's list lags; until it arrives every entry takes itself for alone.
        wait_for(lambda: watching() <= WATCHERS, "the relay to form", 10)
        seen = []
        for _ in range(50):
            seen.append(watching())
            time.sleep(0.02)
        print(f"waiting watches of {len(self.fleet.entries)} entries: at most {max(seen)}")
        self.check(max(seen) <= WATCHERS, f"at most {WATCHERS} watch: {max(seen)}")

    def spread(self):
        times = []
        for index in range(10):
            number = self.operator("GET", "")[1]["number"]
            patch = json.dumps({"workspaces": {"oshana": {"rate": 500 + index}}})
            status, _ = self.operator("PATCH", f"?against={number}", patch, index % 6)
            began = time.monotonic()
            self.check(status == 200, f"patch {index}: {status}")
            left = set(range(len(self.fleet.entries)))
            while left and time.monotonic() - began < 2 * IN_FORCE_LIMIT_S:
                left = {entry for entry in left
                        if self.operator("GET", "/state", entry=entry)[1]["number"] <= number}
            times.append(time.monotonic() - began)
        times.sort()
        print(f"through the relay: p50 {times[5] * 1000:.0f} ms, p100 {times[-1] * 1000:.0f} ms")
        self.check(times[-1] <= IN_FORCE_LIMIT_S, f"in force within 5 s: {times[-1]:.1f} s")

    def paused(self):
        """An entry that slept through a withdrawal never admits the withdrawn key."""
        key = self.fleet.run_cli("key", "create", "oshana")[1].strip()
        entries = range(len(self.fleet.entries))
        wait_for(lambda: all(self.models(entry, key) == 200 for entry in entries), "the key")
        self.send(3, signal.SIGSTOP)
        self.fleet.run_cli("key", "withdraw", "oshana", key.split("_")[1])
        time.sleep(CUTOFF_S + 1)
        self.send(3, signal.SIGCONT)
        seen = [self.models(3, key) for _ in range(20)]
        self.check(200 not in seen, f"admitted after a pause: {seen}")
        wait_for(lambda: self.models(3, self.fleet.keys["oshana"]) == 200, "entry-4 to be back")

    def store_down(self):
        """With the store down for all, entries that hear each other carry on."""
        self.platform("down")
        seen = set()
        until = time.monotonic() + CUTOFF_S + 5
        while time.monotonic() < until:
            for entry in range(len(self.fleet.entries)):
                seen.add(self.models(entry, self.fleet.keys["oshana"]))
            time.sleep(0.05)
        self.check(seen == {200}, f"carry on while the store is down: {seen}")
        wait_for(self.calls_held_back, "the breaker to hold calls back", BREAKER_LIMIT_S)

    def calls_held_back(self):
        metrics = call_http("GET", self.fleet.entry_urls()[0] + "/metrics")[2].decode()
        held = [line for line in metrics.splitlines() if 'outcome="held_back"' in line]
        return any(not line.endswith(" 0") for line in held)

    def cut_off(self):
        """Without the store and without peers an entry stops admitting."""
        for entry in range(1, len(self.fleet.entries)):
            self.send(entry, signal.SIGKILL)
        began = time.monotonic()
        wait_for(lambda: self.models(0, self.fleet.keys["oshana"]) == 503,
                 "the lone entry to stop admitting", 10)
        print(f"stopped admitting after {time.monotonic() - began:.1f} s", flush=True)
        self.platform("ok")
        wait_for(lambda: self.models(0, self.fleet.keys["oshana"]) == 200,
                 "the lone entry to admit again", 10)


def calls_a_second(fleet, period_s):
    """Counts the store's calls of an idle fleet."""
    def total():
        counts = json.loads(call_http("GET", fleet.platform_url() + "/admin/calls")[2])
        return sum(count for kind, count in counts.items() if kind != "waiting_watches")

    before = total()
    time.sleep(period_s)
    return (total() - before) / period_s


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-store-outage"), entries=6, prefill=1,
               decode=1, services=1, domains=("thu-a",)) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        print(f"store calls of an idle fleet: {calls_a_second(fleet, 3):.1f} a second "
              f"from {len(fleet.entries)} entries")
        for step in (suite.few_watch, suite.spread, suite.paused, suite.store_down,
                     suite.cut_off):
            began = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - began:.1f} s", flush=True)
    return 1 if suite.faults else 0


if __name__ == "__main__":
    sys.exit(main())

"""Agents that leave, die or stop get no new work within seconds, and no call is lost."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

LEAVING_LIMIT_S = 3
CALLS = 12


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.faults = []
        self.sent = 0

    def check(self, holds, what):
        if not holds:
            self.faults.append(what)
            print("FAILED:", what, flush=True)

    def call(self, path="/orders/status", key=""):
        """Sends one call; repeatable on /orders/, not repeatable on /booking/."""
        headers = {"Authorization": "Bearer " + self.fleet.keys["oshana"]}
        if key:
            headers["Idempotency-Key"] = key
        self.sent += 1
        url = self.fleet.entry_urls()[self.sent % len(self.fleet.entries)]
        return call_http("POST", url + path, "{}", headers, 15)[0]

    def runs(self, name):
        url = f"http://127.0.0.1:{self.fleet.backends[name].port}"
        return len(json.loads(call_http("GET", url + "/admin/runs")[2]))

    def no_new_work(self, name, what):
        """Waits the limit out under load, then counts what still arrives."""
        until = time.monotonic() + LEAVING_LIMIT_S
        while time.monotonic() < until:
            self.check(self.call() == 200, f"a call while {what}")
        before = self.runs(name)
        for index in range(CALLS):
            self.check(self.call() == 200, f"a call after {what}")
            status = self.call("/booking/weekly", f"{what}-{index}")
            self.check(status == 200, f"a booking after {what}: {status}")
        self.check(self.runs(name) == before, f"no new work after {what}")

    def announced(self):
        code, _ = self.fleet.run_cli("drain", "no-such-vm", check=False)
        self.check(code == 1, f"an unknown VM is refused: exit code {code}")
        self.fleet.run_cli("drain", "service-1")
        self.no_new_work("service-1", "announced")

    def listed(self):
        """The platform means to take the VM away; its agent does not know yet."""
        self.fleet.publish_vms(leaving=("service-2",))
        time.sleep(2)  # the list's own lag
        self.no_new_work("service-2", "listed")

    def stopped(self):
        """A paused agent answers nobody; repeatable calls go elsewhere."""
        self.fleet.processes["service-3"].child.send_signal(signal.SIGSTOP)
        time.sleep(LEAVING_LIMIT_S)
        before = self.runs("service-3")
        for _ in range(CALLS):
            began = time.monotonic()
            self.check(self.call() == 200, "a call while an agent is paused")
            self.check(time.monotonic() - began < 2, "no call waits for the paused agent")
        self.check(self.runs("service-3") == before, "no new work while paused")
        self.fleet.processes["service-3"].child.send_signal(signal.SIGCONT)

        def back():
            self.call()
            return self.runs("service-3") > before

        wait_for(back, "the agent to get work again", 10)

    def killed(self):
        self.fleet.processes["service-4"].child.kill()
        for _ in range(CALLS):
            self.check(self.call() == 200, "a call after an agent died")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-membership"), entries=2, prefill=1,
               decode=1, services=5) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.announced, suite.listed, suite.stopped, suite.killed):
            began = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - began:.1f} s", flush=True)
    return 1 if suite.faults else 0


if __name__ == "__main__":
    sys.exit(main())

"""Drains, lists as leaving, pauses and kills agents.

Guards against new work for such an agent after a few seconds, and against lost calls.
"""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

LEAVING_TIMEOUT_S = 3
CALLS = 12


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []
        self.sent_calls = 0

    def check(self, condition, message):
        if not condition:
            self.failures.append(message)
            print("FAILED:", message, flush=True)

    def send_call(self, path="/orders/status", key=""):
        """Sends a call, which is repeatable on /orders/ but not on /booking/."""
        headers = {"Authorization": "Bearer " + self.fleet.keys["oshana"]}
        if key:
            headers["Idempotency-Key"] = key
        self.sent_calls += 1
        url = self.fleet.entry_urls()[self.sent_calls % len(self.fleet.entries)]
        return call_http("POST", url + path, "{}", headers, 15)[0]

    def count_runs(self, name):
        url = f"http://127.0.0.1:{self.fleet.backends[name].port}"
        return len(json.loads(call_http("GET", url + "/admin/runs")[2]))

    def check_no_new_work(self, name, situation):
        """Sends calls until the timeout, then checks that no more of them reach the agent."""
        deadline = time.monotonic() + LEAVING_TIMEOUT_S
        while time.monotonic() < deadline:
            self.check(self.send_call() == 200, f"a call failed while {situation}")
        runs_before = self.count_runs(name)
        for index in range(CALLS):
            self.check(self.send_call() == 200, f"a call failed after {situation}")
            status = self.send_call("/booking/weekly", f"{situation}-{index}")
            self.check(status == 200, f"a booking failed after {situation}: {status}")
        self.check(self.count_runs(name) == runs_before,
                   f"the agent got new work after {situation}")

    def announced(self):
        code, _ = self.fleet.run_cli("drain", "no-such-vm", check=False)
        self.check(code == 1, f"an unknown VM was not refused: exit code {code}")
        self.fleet.run_cli("drain", "service-1")
        self.check_no_new_work("service-1", "announced")

    def listed(self):
        """The platform lists the VM as leaving before its agent knows."""
        self.fleet.publish_vms(leaving=("service-2",))
        time.sleep(2)  # the delay of the platform's list
        self.check_no_new_work("service-2", "listed")

    def stopped(self):
        """A paused agent does not answer; repeatable calls go to other agents."""
        self.fleet.processes["service-3"].child.send_signal(signal.SIGSTOP)
        time.sleep(LEAVING_TIMEOUT_S)
        runs_before = self.count_runs("service-3")
        for _ in range(CALLS):
            started_at = time.monotonic()
            self.check(self.send_call() == 200, "a call failed while an agent was paused")
            self.check(time.monotonic() - started_at < 2, "a call waited for the paused agent")
        self.check(self.count_runs("service-3") == runs_before, "the paused agent got new work")
        self.fleet.processes["service-3"].child.send_signal(signal.SIGCONT)

        def gets_work():
            self.send_call()
            return self.count_runs("service-3") > runs_before

        wait_for(gets_work, "the agent to get work again", 10)

    def killed(self):
        self.fleet.processes["service-4"].child.kill()
        for _ in range(CALLS):
            self.check(self.send_call() == 200, "a call failed after an agent was killed")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-membership"), entries=2, prefill=1,
               decode=1, services=5) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.announced, suite.listed, suite.stopped, suite.killed):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
    return 1 if suite.failures else 0


if __name__ == "__main__":
    sys.exit(main())

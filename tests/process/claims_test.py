"""Sends calls that must not be repeated while the store, agents, services and entries fail.

Guards against a second run of a call and against a false `not_run` or `ran` in the answer.
"""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

BODY = json.dumps({"crate": 1})
SERVICE_DELAY_MS = 600


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []

    def check(self, condition, message):
        if not condition:
            self.failures.append(message)
            print("FAILED:", message, flush=True)

    def send_booking(self, key, entry=0, body=BODY, path="/booking/weekly"):
        headers = {"Authorization": "Bearer " + self.fleet.keys["oshana"],
                   "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            status, response_headers, text = call_http("POST",
                                                       self.fleet.entry_urls()[entry] + path,
                                                       body,
                                                       headers, 15)
        except OSError as error:
            return None, "cut", str(error).encode()
        lower_case_headers = {name.lower(): value for name, value in response_headers.items()}
        return status, lower_case_headers.get("x-agateseam-run", ""), text

    def start_booking(self, key, entry=0):
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.send_booking(key, entry)))
        thread.start()
        return thread, answers

    def service_url(self, name):
        return f"http://127.0.0.1:{self.fleet.backends[name].port}"

    def services(self):
        return [name for name, kind, _ in self.fleet.agents if kind == "service"]

    def count_runs(self, key):
        """Counts the runs of a key at the services that are still running."""
        count = 0
        for name in self.services():
            if self.fleet.backends[name].child.poll() is None:
                for run in json.loads(call_http("GET",
                                                self.service_url(name) + "/admin/runs")[2]):
                    count += run["key"] == key
        return count

    def find_running_service(self, key):
        for name in self.services():
            if self.fleet.backends[name].child.poll() is None:
                runs = json.loads(call_http("GET", self.service_url(name) + "/admin/runs")[2])
                if any(run["key"] == key for run in runs):
                    return name
        return None

    def set_platform_fault(self, mode, **parameters):
        call_http("PUT", self.fleet.platform_url() + "/admin/faults",
                  json.dumps({"mode": mode, **parameters}))

    def repeats(self):
        first = self.send_booking("plain")
        repeated = self.send_booking("plain", entry=1)
        self.check(first[0] == 200 and first[1] == "ran",
                   f"the plain booking was not served: {first}")
        self.check(repeated == first, f"the repeat did not get the recorded outcome: {repeated}")
        other = self.send_booking("plain", body=json.dumps({"crate": 2}))
        self.check(other[0] == 422, f"another call with the same key was not refused: {other}")
        self.check(self.count_runs("plain") == 1, "the plain booking did not run exactly once")

    def doubled(self):
        pairs = [self.start_booking("doubled", entry) for entry in (0, 1, 0, 1)]
        for thread, _ in pairs:
            thread.join()
        answers = [answer[0] for _, answer in pairs]
        served = [answer for answer in answers if answer[0] == 200]
        refused = [answer for answer in answers if answer[0] != 200]
        self.check(len(served) >= 1, f"none of the doubled calls was served: {answers}")
        self.check(all(answer[:2] == (409, "unknown") for answer in refused),
                   f"a doubled call was not refused as in progress: {answers}")
        self.check(self.count_runs("doubled") == 1, "the doubled calls did not run exactly once")

    def store_down(self):
        self.set_platform_fault("down")
        started_at = time.monotonic()
        answer = self.send_booking("outage")
        self.check(answer[:2] == (503, "not_run"),
                   f"unexpected answer while the store is down: {answer}")
        self.check(time.monotonic() - started_at < 5, "the refusal took 5 s or longer")
        self.set_platform_fault("ok")
        self.check(self.count_runs("outage") == 0, "a booking ran during the outage")
        wait_for(lambda: self.send_booking("outage")[0] == 200, "the store to be back", 10)
        self.check(self.count_runs("outage") == 1,
                   "the booking did not run exactly once after the outage")

    def store_slow(self):
        self.set_platform_fault("slow", delay_ms=300)
        answer = self.send_booking("slow")
        self.set_platform_fault("ok")
        self.check(answer[:2] == (200, "ran"),
                   f"unexpected answer while the store is slow: {answer}")
        self.check(self.count_runs("slow") == 1, "the slow booking did not run exactly once")

    def answers_lost(self):
        self.set_platform_fault("lose_answers", share=0.7, seed=11)
        answers = [self.send_booking(f"lost-{index}", index % 2) for index in range(6)]
        self.set_platform_fault("ok")
        for index, answer in enumerate(answers):
            runs = self.count_runs(f"lost-{index}")
            self.check(runs <= 1, f"lost-{index} ran {runs} times")
            self.check(answer[1] != "not_run" or runs == 0, f"false not_run: {answer}")
            self.check(answer[1] != "ran" or runs == 1, f"false ran: {answer}")
        self.check(any(answer[0] == 200 for answer in answers),
                   f"no booking was served while answers were lost: {answers}")
        # Consecutive failures open the circuit breaker, for at most 2 s after recovery.
        for entry in range(len(self.fleet.entries)):
            key = f"after-lost-{entry}"
            wait_for(lambda: self.send_booking(key, entry)[0] == 200, "the entry to claim again",
                     5)
            self.check(self.count_runs(key) == 1, f"{key} did not run exactly once")

    def service_dies_after_run(self):
        for name in self.services():
            call_http("PUT", self.service_url(name) + "/admin/faults",
                      json.dumps({"die_after_run": True}))
        first = self.send_booking("cut")
        unkeyed = self.send_booking("")
        for name in self.services():
            call_http("PUT", self.service_url(name) + "/admin/faults", json.dumps({}))
        repeated = self.send_booking("cut", entry=1)
        self.check(first[1] == "unknown" and first[0] >= 500,
                   f"unexpected answer when the service closes: {first}")
        self.check(unkeyed[1] == "unknown", f"unexpected answer without a key: {unkeyed}")
        self.check(repeated[1] == "unknown",
                   f"unexpected answer to a repeat after the closing: {repeated}")
        self.check(self.count_runs("cut") == 1, "the cut booking did not run exactly once")

    def agent_dies(self):
        thread, answers = self.start_booking("agent-dies")
        wait_for(lambda: self.find_running_service("agent-dies"), "the booking to run")
        killed_agent = self.find_running_service("agent-dies")
        self.fleet.processes[killed_agent].child.kill()
        thread.join()
        self.check(answers[0][1] == "unknown",
                   f"unexpected answer when the agent is killed: {answers}")
        repeated = self.send_booking("agent-dies", entry=1)
        self.check(repeated[1] == "unknown",
                   f"unexpected answer to a repeat after the agent was killed: {repeated}")
        self.check(self.count_runs("agent-dies") == 1,
                   "the booking did not run exactly once when the agent was killed")

    def backend_dies(self):
        thread, answers = self.start_booking("backend-dies")
        wait_for(lambda: self.find_running_service("backend-dies"), "the booking to run")
        killed_service = self.find_running_service("backend-dies")
        self.fleet.backends[killed_service].child.kill()
        thread.join()
        self.check(answers[0][1] == "unknown",
                   f"unexpected answer when the service is killed: {answers}")
        repeated = self.send_booking("backend-dies", entry=1)
        self.check(repeated[1] == "unknown",
                   f"unexpected answer to a repeat after the service was killed: {repeated}")
        self.check(self.count_runs("backend-dies") == 0, "a second service ran the booking")

    def entry_dies(self):
        thread, answers = self.start_booking("entry-dies", entry=1)
        wait_for(lambda: self.find_running_service("entry-dies"), "the booking to run")
        self.fleet.processes[self.fleet.entries[1]].child.send_signal(signal.SIGKILL)
        thread.join()
        self.check(answers[0][1] == "cut",
                   f"unexpected answer when the entry is killed: {answers}")
        repeated = self.send_booking("entry-dies", entry=0)
        self.check(repeated[1] == "unknown" and repeated[0] == 409,
                   f"unexpected answer to a repeat after the entry was killed: {repeated}")
        self.check(self.count_runs("entry-dies") == 1,
                   "the booking did not run exactly once when the entry was killed")

    def entry_dies_claiming(self):
        self.set_platform_fault("hang")
        thread, answers = self.start_booking("claiming", entry=2)
        time.sleep(0.2)
        self.fleet.processes[self.fleet.entries[2]].child.send_signal(signal.SIGKILL)
        thread.join()
        self.set_platform_fault("ok")
        self.check(self.count_runs("claiming") == 0,
                   "the booking ran although its claim was not confirmed")
        repeated = self.send_booking("claiming", entry=0)
        self.check(repeated[0] == 200 or repeated[1] == "unknown",
                   f"unexpected answer to the repeat: {repeated}")
        self.check(self.count_runs("claiming") <= 1, "the booking ran more than once")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-claims"), entries=3, prefill=1, decode=1,
               services=4, service_options=["--delay-ms", str(SERVICE_DELAY_MS)]) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.repeats, suite.doubled, suite.store_down, suite.store_slow,
                     suite.answers_lost, suite.service_dies_after_run, suite.agent_dies,
                     suite.backend_dies, suite.entry_dies, suite.entry_dies_claiming):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
    return 1 if suite.failures else 0


if __name__ == "__main__":
    sys.exit(main())

"""Calls that may not be repeated run at most once, whatever dies or falls silent."""

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
        self.faults = []

    def check(self, holds, what):
        if not holds:
            self.faults.append(what)
            print("FAILED:", what, flush=True)

    def book(self, key, entry=0, body=BODY, path="/booking/weekly"):
        headers = {"Authorization": "Bearer " + self.fleet.keys["oshana"],
                   "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            status, head, text = call_http("POST", self.fleet.entry_urls()[entry] + path, body,
                                      headers, 15)
        except OSError as fault:
            return None, "cut", str(fault).encode()
        lower = {name.lower(): value for name, value in head.items()}
        return status, lower.get("x-agateseam-run", ""), text

    def start(self, key, entry=0):
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.book(key, entry)))
        thread.start()
        return thread, answers

    def service_url(self, name):
        return f"http://127.0.0.1:{self.fleet.backends[name].port}"

    def services(self):
        return [name for name, kind, _ in self.fleet.agents if kind == "service"]

    def runs(self, key):
        """Counts the runs of a key over the services that still answer."""
        count = 0
        for name in self.services():
            if self.fleet.backends[name].child.poll() is None:
                for run in json.loads(call_http("GET", self.service_url(name) + "/admin/runs")[2]):
                    count += run["key"] == key
        return count

    def running_at(self, key):
        for name in self.services():
            if self.fleet.backends[name].child.poll() is None:
                runs = json.loads(call_http("GET", self.service_url(name) + "/admin/runs")[2])
                if any(run["key"] == key for run in runs):
                    return name
        return None

    def platform(self, mode, **more):
        call_http("PUT", self.fleet.platform_url() + "/admin/faults",
             json.dumps({"mode": mode, **more}))

    def repeats(self):
        first = self.book("plain")
        again = self.book("plain", entry=1)
        self.check(first[0] == 200 and first[1] == "ran", f"plain booking: {first}")
        self.check(again == first, f"a repeat gets the recorded outcome: {again}")
        other = self.book("plain", body=json.dumps({"crate": 2}))
        self.check(other[0] == 422, f"another call under the same key: {other}")
        self.check(self.runs("plain") == 1, "the plain booking ran once")

    def doubled(self):
        pairs = [self.start("doubled", entry) for entry in (0, 1, 0, 1)]
        for thread, _ in pairs:
            thread.join()
        answers = [answer[0] for _, answer in pairs]
        whole = [answer for answer in answers if answer[0] == 200]
        others = [answer for answer in answers if answer[0] != 200]
        self.check(len(whole) >= 1, f"one of the doubled calls is answered: {answers}")
        self.check(all(answer[:2] == (409, "unknown") for answer in others),
                   f"the others are told that it is under way: {answers}")
        self.check(self.runs("doubled") == 1, "doubled calls ran once")

    def store_down(self):
        self.platform("down")
        began = time.monotonic()
        answer = self.book("outage")
        self.check(answer[:2] == (503, "not_run"), f"store down: {answer}")
        self.check(time.monotonic() - began < 5, "the refusal comes at once")
        self.platform("ok")
        self.check(self.runs("outage") == 0, "nothing ran in the outage")
        wait_for(lambda: self.book("outage")[0] == 200, "the store to be back", 10)
        self.check(self.runs("outage") == 1, "the key serves after the outage, once")

    def store_slow(self):
        self.platform("slow", delay_ms=300)
        answer = self.book("slow")
        self.platform("ok")
        self.check(answer[:2] == (200, "ran"), f"store slow: {answer}")
        self.check(self.runs("slow") == 1, "the slow booking ran once")

    def answers_lost(self):
        self.platform("lose_answers", share=0.7, seed=11)
        answers = [self.book(f"lost-{index}", index % 2) for index in range(6)]
        self.platform("ok")
        for index, answer in enumerate(answers):
            runs = self.runs(f"lost-{index}")
            self.check(runs <= 1, f"lost-{index} ran {runs} times")
            self.check(answer[1] != "not_run" or runs == 0, f"false not_run: {answer}")
            self.check(answer[1] != "ran" or runs == 1, f"false ran: {answer}")
        self.check(any(answer[0] == 200 for answer in answers),
                   f"some get through while answers are lost: {answers}")
        # Failures in a row open the breaker, for 2 s at most once the store is well.
        for entry in range(len(self.fleet.entries)):
            key = f"after-lost-{entry}"
            wait_for(lambda: self.book(key, entry)[0] == 200, "entry to claim again", 5)
            self.check(self.runs(key) == 1, f"{key} ran once")

    def service_dies_after_run(self):
        for name in self.services():
            call_http("PUT", self.service_url(name) + "/admin/faults",
                 json.dumps({"die_after_run": True}))
        first = self.book("cut")
        unkeyed = self.book("")
        for name in self.services():
            call_http("PUT", self.service_url(name) + "/admin/faults", json.dumps({}))
        again = self.book("cut", entry=1)
        self.check(first[1] == "unknown" and first[0] >= 500, f"service cut: {first}")
        self.check(unkeyed[1] == "unknown", f"service cut, no key: {unkeyed}")
        self.check(again[1] == "unknown", f"repeat after a cut: {again}")
        self.check(self.runs("cut") == 1, "the cut booking ran once")

    def agent_dies(self):
        thread, answers = self.start("agent-dies")
        wait_for(lambda: self.running_at("agent-dies"), "the booking to run")
        victim = self.running_at("agent-dies")
        self.fleet.processes[victim].child.kill()
        thread.join()
        self.check(answers[0][1] == "unknown", f"agent killed in the run: {answers}")
        again = self.book("agent-dies", entry=1)
        self.check(again[1] == "unknown", f"repeat after the agent's death: {again}")
        self.check(self.runs("agent-dies") == 1, "ran once although the agent died")

    def backend_dies(self):
        thread, answers = self.start("backend-dies")
        wait_for(lambda: self.running_at("backend-dies"), "the booking to run")
        victim = self.running_at("backend-dies")
        self.fleet.backends[victim].child.kill()
        thread.join()
        self.check(answers[0][1] == "unknown", f"service killed in the run: {answers}")
        again = self.book("backend-dies", entry=1)
        self.check(again[1] == "unknown", f"repeat after the service's death: {again}")
        self.check(self.runs("backend-dies") == 0, "no second service ran it")

    def entry_dies(self):
        thread, answers = self.start("entry-dies", entry=1)
        wait_for(lambda: self.running_at("entry-dies"), "the booking to run")
        self.fleet.processes[self.fleet.entries[1]].child.send_signal(signal.SIGKILL)
        thread.join()
        self.check(answers[0][1] == "cut", f"entry killed in the run: {answers}")
        again = self.book("entry-dies", entry=0)
        self.check(again[1] == "unknown" and again[0] == 409,
                   f"repeat after the entry's death: {again}")
        self.check(self.runs("entry-dies") == 1, "ran once although the entry died")

    def entry_dies_claiming(self):
        self.platform("hang")
        thread, answers = self.start("claiming", entry=2)
        time.sleep(0.2)
        self.fleet.processes[self.fleet.entries[2]].child.send_signal(signal.SIGKILL)
        thread.join()
        self.platform("ok")
        self.check(self.runs("claiming") == 0, "a claim that nobody confirmed did not run")
        again = self.book("claiming", entry=0)
        self.check(again[0] == 200 or again[1] == "unknown", f"repeat: {again}")
        self.check(self.runs("claiming") <= 1, "ran at most once")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-claims"), entries=3, prefill=1, decode=1,
               services=4, service_options=["--delay-ms", str(SERVICE_DELAY_MS)]) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.repeats, suite.doubled, suite.store_down, suite.store_slow,
                     suite.answers_lost, suite.service_dies_after_run, suite.agent_dies,
                     suite.backend_dies, suite.entry_dies, suite.entry_dies_claiming):
            began = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - began:.1f} s", flush=True)
    return 1 if suite.faults else 0


if __name__ == "__main__":
    sys.exit(main())

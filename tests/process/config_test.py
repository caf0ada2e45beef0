"""Patches the configuration against its number.

Guards against patches that come into force late, are lost, are applied twice or are accepted
beside another patch against the same number, also when the store loses answers or is down.
"""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import OPERATOR_TOKEN, Fleet, call_http, wait_for  # noqa: E402

IN_FORCE_LIMIT_S = 5
PATCHES = 20
TOKEN = {"Authorization": "Bearer " + OPERATOR_TOKEN}


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []

    def check(self, condition, message):
        if not condition:
            self.failures.append(message)
            print("FAILED:", message, flush=True)

    def call_config(self, method, path, body=None, entry=0, headers=None):
        url = self.fleet.entry_urls()[entry] + "/operator/config" + path
        status, _, text = call_http(method, url, body, {**TOKEN, **(headers or {})}, 15)
        return status, json.loads(text)

    def patch(self, against, patch, entry=0, patch_id="",
              content_type="application/merge-patch+json"):
        return self.call_config("PATCH", f"?against={against}", json.dumps(patch), entry,
                                {"x-patch-id": patch_id, "Content-Type": content_type})

    def number(self, entry=0):
        return self.call_config("GET", "", entry=entry)[1]["number"]

    def number_in_force(self, entry):
        return self.call_config("GET", "/state", entry=entry)[1]["number"]

    def set_platform_fault(self, mode, **parameters):
        call_http("PUT", self.fleet.platform_url() + "/admin/faults",
                  json.dumps({"mode": mode, **parameters}))

    def spread(self):
        """Measures the time from the operator's answer until every entry applies the patch."""
        durations_s = []
        entries = range(len(self.fleet.entries))
        for index in range(PATCHES):
            number = self.number()
            status, _ = self.patch(number, {"workspaces": {"oshana": {"rate": 1000 + index}}},
                                   entry=index % len(self.fleet.entries))
            started_at = time.monotonic()
            self.check(status == 200, f"patch {index}: {status}")
            pending_entries = set(entries)
            while pending_entries and time.monotonic() - started_at < 2 * IN_FORCE_LIMIT_S:
                pending_entries = {entry for entry in pending_entries
                                   if self.number_in_force(entry) <= number}
            durations_s.append(time.monotonic() - started_at)
        durations_s.sort()
        print(f"in force everywhere: p50 {durations_s[len(durations_s) // 2] * 1000:.0f} ms, "
              f"p100 {durations_s[-1] * 1000:.0f} ms over {PATCHES} patches, "
              f"{len(self.fleet.entries)} entries", flush=True)
        self.check(durations_s[-1] <= IN_FORCE_LIMIT_S,
                   f"in force later than after 5 s: {durations_s[-1]:.1f} s")

    def racing(self):
        number = self.number()
        answers = [None] * len(self.fleet.entries)

        def send(entry):
            patch = {"workspaces": {f"racer-{entry}": {"rate": 1, "burst": 1}}}
            answers[entry] = self.patch(number, patch, entry)

        threads = [threading.Thread(target=send, args=(entry,)) for entry in range(len(answers))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [answer for answer in answers if answer[0] == 200]
        conflicts = [answer for answer in answers if answer[0] == 409]
        self.check(len(accepted) == 1 and len(conflicts) == len(answers) - 1,
                   f"not exactly one patch was accepted: {answers}")
        for _, body in conflicts:
            self.check(body["number"] == number + 1 and body["changed_known"] and
                       len(body["changed"]) == 1 and
                       body["changed"][0].startswith("/workspaces/racer-"),
                       f"the refusal does not name what changed: {body}")

    def lost_answers(self):
        for index in range(8):
            number = self.number()
            name = f"lost-{index}"
            patch = {"workspaces": {name: {"rate": 1, "burst": 1}}}
            self.set_platform_fault("lose_answers", share=0.6, seed=index + 1)
            status, body = self.patch(number, patch, patch_id=name)
            self.set_platform_fault("ok")
            repeated_status, body = self.patch(number, patch, entry=1, patch_id=name)
            self.check(repeated_status == 200,
                       f"{name}: first {status}, then {repeated_status} {body}")
            present = name in self.call_config("GET", "")[1]["document"]["workspaces"]
            self.check(present and self.number() == number + 1,
                       f"{name} was not applied exactly once")
        later = self.patch(self.number() - 1, {}, patch_id="lost-7")
        self.check(later[0] == 200, f"the id of an older patch was not recognised: {later[0]}")

    def kinds(self):
        number = self.number()
        operations = [{"op": "replace", "path": "/workspaces/oshana/burst", "value": 77}]
        status, body = self.patch(number, operations, content_type="application/json-patch+json")
        self.check(status == 200 and body["document"]["workspaces"]["oshana"]["burst"] == 77,
                   f"the JSON Patch was not applied: {status}")
        status, body = self.patch(number + 1, {"workspaces": {"oshana": {"rate": -1}},
                                               "pools": {"drafting": {"colour": "red"}}})
        message = body["error"]["message"]
        self.check(status == 400 and "/workspaces/oshana/rate" in message and
                   "/pools/drafting/colour" in message, f"not all faults are named: {body}")
        status, body = self.call_config("GET", "/history")
        last = body["changes"][-1]
        self.check(last["number"] == number + 1 and
                   last["paths"] == ["/workspaces/oshana/burst"],
                   f"unexpected last history item: {last}")

    def outage(self):
        number = self.number()
        self.set_platform_fault("down")
        status, body = self.patch(number, {"workspaces": {"down": {"rate": 1, "burst": 1}}})
        self.check(status == 503 and body["error"]["run"] == "not_run",
                   f"unexpected answer while the store is down: {status} {body}")
        self.set_platform_fault("ok")
        wait_for(lambda: self.call_config("GET", "")[0] == 200, "the store to be back", 10)
        self.check(self.number() == number, "the configuration changed in the outage")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-config"), entries=4, prefill=1, decode=1,
               services=1) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.spread, suite.racing, suite.lost_answers, suite.kinds,
                     suite.outage):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
    return 1 if suite.failures else 0


if __name__ == "__main__":
    sys.exit(main())

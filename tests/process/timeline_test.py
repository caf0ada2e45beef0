"""Reads the timeline of one request as text, JSON and HTML, and the status of all processes.

Guards against events that are missing or not in causal order, and against a status that shows
a stopped process as answering.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

# Each event must precede the next, also if it happened in another process.
CAUSAL_ORDER = ("admitted", "sent", "queued", "slot_taken", "prefill_begun", "prefill_ended",
                "transfer_begun", "first_token", "ended")


def check(name, condition, details=""):
    print(("ok   " if condition else "FAIL ") + name, details, flush=True)
    return 0 if condition else 1


def send_request(fleet):
    """Sends a request and returns its id."""
    body = json.dumps({"model": "drafter", "prompt": "a timeline " * 40,
                       "max_tokens": 8})
    headers = {"Authorization": "Bearer " + fleet.keys["dune"]}
    status, response_headers, _ = call_http("POST", fleet.entry_urls()[0] + "/v1/completions",
                                            body,
                                            headers)
    assert status == 200
    return {name.lower(): value for name, value in response_headers.items()}["x-request-id"]


def read_events(fleet, request):
    _, text = fleet.run_cli("timeline", "--request", request, "--json")
    return [json.loads(line) for line in text.splitlines()]


def stamps_increase_by_process(events):
    for process in {item["process"] for item in events}:
        process_events = sorted((item["sequence"], item["stamp"]) for item in events
                                if item["process"] == process)
        stamps = [stamp for _, stamp in process_events]
        if any(left >= right for left, right in zip(stamps, stamps[1:])):
            return False
    return True


def main():
    build = sys.argv[1]
    failures = 0
    with Fleet(build, os.path.join(build, "timeline_test"), entries=2, prefill=2,
               decode=2, services=1) as fleet:
        fleet.configure(("dune",))
        request = send_request(fleet)
        wait_for(lambda: any(item["event"] == "released"
                             for item in read_events(fleet, request)),
                 "the slot to be released", 5)
        events = read_events(fleet, request)
        kinds = [item["event"] for item in events]
        failures += check("three processes took part",
                          len({item["process"] for item in events}) == 3, kinds)
        missing = [kind for kind in CAUSAL_ORDER if kind not in kinds]
        failures += check("no step is missing", not missing, missing)
        positions = [kinds.index(kind) for kind in CAUSAL_ORDER if kind in kinds]
        failures += check("the order is causal", positions == sorted(positions), kinds)
        failures += check("the stamps of each process increase with its events",
                          stamps_increase_by_process(events))

        _, page = fleet.run_cli("timeline", "--request", request, "--html")
        failures += check("the page has one mark for each event and loads nothing",
                          page.count("<circle") == len(events) and "src=" not in page)
        events_path = os.path.join(fleet.directory, "events.jsonl")
        with open(events_path, "w") as file:
            file.writelines(json.dumps(item) + "\n" for item in events)
        _, text = fleet.run_cli("timeline", "--file", events_path, "--request", request)
        failures += check("a file gives as many lines as the processes",
                          len(text.splitlines()) == len(events))

        status = call_http("GET", fleet.entry_urls()[0] + "/events")[0]
        failures += check("events need credentials", status == 401, status)
        code, table = fleet.run_cli("status", "--json", check=False)
        rows = json.loads(table)
        failures += check("every process answers", code == 0 and
                          len(rows) == 7 and all(row["answers"] for row in rows))
        fleet.processes["service-1"].stop()
        code, table = fleet.run_cli("status", check=False)
        failures += check("a process that is gone is shown as silent",
                          code == 1 and "silent" in table)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

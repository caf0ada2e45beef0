"""One request's time line over three processes, in causal order; as text, JSON and HTML;
and what status says of processes that answer and of one that is gone."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

# Each event comes before the next, whichever process it happened in.
ORDER = ("admitted", "sent", "queued", "slot_taken", "prefill_begun", "prefill_ended",
         "transfer_begun", "first_token", "ended")


def check(name, holds, seen=""):
    print(("ok   " if holds else "FAIL ") + name, seen, flush=True)
    return 0 if holds else 1


def ask(fleet):
    """Sends one request; returns its id."""
    body = json.dumps({"model": "drafter", "prompt": "a timeline " * 40,
                       "max_tokens": 8})
    headers = {"Authorization": "Bearer " + fleet.keys["dune"]}
    status, head, _ = call_http("POST", fleet.entry_urls()[0] + "/v1/completions", body,
                           headers)
    assert status == 200
    return {name.lower(): value for name, value in head.items()}["x-request-id"]


def events_of(fleet, request):
    _, text = fleet.run_cli("timeline", "--request", request, "--json")
    return [json.loads(line) for line in text.splitlines()]


def rising_by_process(events):
    for process in {item["process"] for item in events}:
        own = sorted((item["sequence"], item["stamp"]) for item in events
                     if item["process"] == process)
        stamps = [stamp for _, stamp in own]
        if any(left >= right for left, right in zip(stamps, stamps[1:])):
            return False
    return True


def main():
    build = sys.argv[1]
    failures = 0
    with Fleet(build, os.path.join(build, "timeline_test"), entries=2, prefill=2,
               decode=2, services=1) as fleet:
        fleet.configure(("dune",))
        request = ask(fleet)
        wait_for(lambda: any(item["event"] == "released"
                             for item in events_of(fleet, request)),
                 "the slot's release", 5)
        events = events_of(fleet, request)
        kinds = [item["event"] for item in events]
        failures += check("three processes took part",
                          len({item["process"] for item in events}) == 3, kinds)
        missing = [kind for kind in ORDER if kind not in kinds]
        failures += check("no step is missing", not missing, missing)
        places = [kinds.index(kind) for kind in ORDER if kind in kinds]
        failures += check("the order is causal", places == sorted(places), kinds)
        failures += check("each process's own stamps rise with its events",
                          rising_by_process(events))

        _, page = fleet.run_cli("timeline", "--request", request, "--html")
        failures += check("the page has a mark an event and needs nothing else",
                          page.count("<circle") == len(events) and "src=" not in page)
        saved = os.path.join(fleet.directory, "events.jsonl")
        with open(saved, "w") as file:
            file.writelines(json.dumps(item) + "\n" for item in events)
        _, text = fleet.run_cli("timeline", "--file", saved, "--request", request)
        failures += check("a file reads as the processes do",
                          len(text.splitlines()) == len(events))

        status = call_http("GET", fleet.entry_urls()[0] + "/events")[0]
        failures += check("events want credentials", status == 401, status)
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

"""Reads the metrics pages of entries and agents after a load run.

Guards against missing measures and counters that differ from what the callers received.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts/lib"))
from fleet import Fleet, call_http  # noqa: E402

MEASURE_NAMES = ("agateseam_goodput_requests_total", "agateseam_wasted_prefill_tokens_total",
                 "agateseam_worst_workspace_served_ratio",
                 "agateseam_refused_inside_rate_total")


def read_metrics(url):
    """Returns the samples of a metrics page by name including labels."""
    samples = {}
    for line in call_http("GET", url + "/metrics")[2].decode().splitlines():
        if not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            samples[name] = float(value)
    return samples


def total(pages, name):
    return sum(page.get(name, 0) for page in pages)


def check(name, condition, details=""):
    print(("ok   " if condition else "FAIL ") + name, details, flush=True)
    return 0 if condition else 1


def main():
    build = sys.argv[1]
    failures = 0
    with Fleet(build, os.path.join(build, "metrics_test"), entries=2, prefill=2, decode=2,
               services=1) as fleet:
        fleet.configure(("dune", "oshana"))
        path = os.path.join(fleet.directory, "addresses.json")
        with open(path, "w") as file:
            json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
        before = [read_metrics(url) for url in fleet.entry_urls()]
        completed = subprocess.run([fleet.program_path("load"), "--addresses", path, "--requests",
                                    "60", "--booking-share", "0", "--concurrency", "8"],
                                   capture_output=True, text=True, timeout=60, check=True)
        outcome = json.loads(completed.stdout)
        pages = [read_metrics(url) for url in fleet.entry_urls()]
        for measure in MEASURE_NAMES:
            failures += check(measure + " is there", all(
                any(name.startswith(measure) for name in page) for page in pages))
        whole_name = 'agateseam_requests_ended_total{end="whole"}'
        whole_increase = total(pages, whole_name) - total(before, whole_name)
        failures += check("whole answers agree", whole_increase == outcome["whole"],
                          (whole_increase, outcome["whole"]))
        tokens = (total(pages, "agateseam_output_tokens_total") -
                  total(before, "agateseam_output_tokens_total"))
        failures += check("output tokens agree", tokens == outcome["output_tokens"],
                          (tokens, outcome["output_tokens"]))
        first_token_count = total(pages, "agateseam_first_token_seconds_count")
        failures += check("every first token was timed", first_token_count >= outcome["whole"],
                          first_token_count)
        agents = [read_metrics(fleet.agent_url(name)) for name, _, _ in fleet.agents]
        failures += check("agents show prefilled tokens",
                          total(agents, "agateseam_prefill_tokens_total") > 0)
        failures += check("no request is left open",
                          total(pages, "agateseam_requests_open") == 0)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

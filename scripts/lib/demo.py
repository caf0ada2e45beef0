"""The demo: runs a small fleet on loopback, sends 200 requests and prints the results."""

import json
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_demo  # noqa: E402
from fleet import Fleet, call_http, wait_for  # noqa: E402

WORKSPACES = ("oshana", "swakop", "dune", "kalahari", "crumb")
REQUESTS = 200
FLUSH_MS = 500
ROUTES = {"booking": {"path": "/booking/", "repeatable": False},
          "orders": {"path": "/orders/", "repeatable": True},
          "completions": {"path": "/v1/completions", "repeatable": True}}


def write_addresses(fleet):
    path = os.path.join(fleet.directory, "addresses.json")
    agents = {name: fleet.agent_url(name) for name, _, _ in fleet.agents}
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys, "routes": ROUTES,
                   "agents": agents}, file, indent=2)
    return path


def read_engine_usage(fleet, kind):
    usage_reports = []
    for name, agent_kind, _ in fleet.agents:
        if agent_kind == kind:
            url = f"http://127.0.0.1:{fleet.backends[name].port}/billing"
            usage_reports.append(json.loads(call_http("GET", url)[2]))
    return usage_reports


def wasted_prefill_share(fleet):
    """Returns the share of prefill tokens that belong to requests without a decode."""
    decoded = set()
    for usage_report in read_engine_usage(fleet, "decode"):
        decoded.update(usage_report)
    total = wasted = 0
    for usage_report in read_engine_usage(fleet, "prefill"):
        for request, usage in usage_report.items():
            total += usage["prompt_tokens"]
            wasted += 0 if request in decoded else usage["prompt_tokens"]
    return wasted / total if total else 0.0


def count_doubled_bookings(fleet):
    run_counts = {}
    for name, kind, _ in fleet.agents:
        if kind == "service":
            url = f"http://127.0.0.1:{fleet.backends[name].port}/admin/runs"
            for run in json.loads(call_http("GET", url)[2]):
                if run["key"]:
                    run_counts[run["key"]] = run_counts.get(run["key"], 0) + 1
    return sum(1 for count in run_counts.values() if count > 1)


def run_load(fleet, addresses):
    completed = subprocess.run([fleet.program_path("load"), "--addresses", addresses,
                                "--requests", str(REQUESTS), "--seed", "7"],
                               capture_output=True, text=True, timeout=120, check=True)
    return json.loads(completed.stdout)


def print_table(fleet, outcome, doubled_count, held):
    refused = sum(outcome["refused"].values())
    rows = [("requests sent", outcome["sent"]),
            ("answered whole", outcome["whole"]),
            ("refused", refused)]
    rows += [("  " + reason, count) for reason, count in outcome["refused"].items()]
    rows += [("cut", outcome["cut"]), ("crossed", outcome["crossed"]),
             ("doubled bookings", doubled_count), ("slots held afterwards", held)]
    for label, key in (("first token", "first_token_ms"), ("between tokens", "token_gap_ms")):
        for percentile in ("p50", "p95"):
            rows.append((f"{label} {percentile}", f"{outcome[key][percentile]:.1f} ms"))
    rows.append(("wasted prefill", f"{100 * wasted_prefill_share(fleet):.2f} %"))
    for label, value in rows:
        print(f"{label:<28}{value:>14}")


def print_usage_and_forecast(fleet):
    """Prints the usage, a forecast from a generated history and one request's timeline."""
    time.sleep(4 * FLUSH_MS / 1000)
    print("\nusage so far (agateseam usage)\n" + fleet.run_cli("usage")[1])
    history = os.path.join(fleet.directory, "history.json")
    subprocess.run([fleet.program_path("forecast_bench"), "--write-history", history,
                    "--first-seed", "7"], check=True, timeout=30)
    print("forecast from a GENERATED history (agateseam forecast --history FILE)\n" +
          fleet.run_cli("forecast", "--history", history)[1])
    events = [json.loads(line) for line in
              fleet.run_cli("timeline", "--json")[1].splitlines()]
    last = [item["request"] for item in events if item["event"] == "ended"][-1]
    print("timeline of one request (agateseam timeline --request ID)\n" +
          fleet.run_cli("timeline", "--request", last)[1])


def main():
    build, keep = sys.argv[1], "--keep" in sys.argv[2:]
    with Fleet(build, os.path.join(build, "demo"),
               limits={"usage_flush_ms": FLUSH_MS}) as fleet:
        fleet.configure(WORKSPACES)
        addresses = write_addresses(fleet)
        outcome = run_load(fleet, addresses)
        wait_for(lambda: fleet.occupied_slots() == 0, "the slots to be free", 10)
        doubled_count = count_doubled_bookings(fleet)
        print_table(fleet, outcome, doubled_count, fleet.occupied_slots())
        print_usage_and_forecast(fleet)
        accounted = (outcome["whole"] + sum(outcome["refused"].values()) +
                     outcome["cut"] + outcome["crossed"])
        failures = outcome["cut"] + outcome["crossed"] + doubled_count + (accounted != REQUESTS)
        failures += platform_demo.run(build)
        if keep:
            print(f"running; addresses are in {addresses}; press Ctrl-C to stop", flush=True)
            signal.signal(signal.SIGTERM, signal.default_int_handler)
            try:
                signal.pause()
            except KeyboardInterrupt:
                pass
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

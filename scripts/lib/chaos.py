"""Runs load with injected faults against real processes and checks the invariants.

The checks use only what callers received, what services counted and what engines hold.
"""

import argparse
import json
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from chaos_faults import Faults  # noqa: E402
from chaos_load import Load  # noqa: E402
from fleet import Fleet, call_http  # noqa: E402

WORKSPACES = ("oshana", "swakop", "dune", "kalahari", "crumb")
RATE_TOKENS_PER_S = 4_000.0  # for each workspace
BURST_TOKENS = 12_000.0  # for each workspace
RELEASE_TIMEOUT_S = 10.0
MAX_WITHDRAWAL_S = 5.0
MAX_RECORDING_DELAY_S = 0.25  # between a token's arrival and its recording by the caller
GOODPUT_INTERVAL_S = 0.5


def max_overshoot_tokens(records, workspace):
    """Returns the tokens above rate x window + burst in the window that exceeds it most."""
    arrivals = sorted(item for record in records if record.workspace == workspace
                      for item in record.tokens)
    bucket_level, previous, worst_tokens = 0.0, None, 0.0
    for arrived_at, tokens in arrivals:
        if previous is not None:
            bucket_level = max(0.0, bucket_level - RATE_TOKENS_PER_S * (arrived_at - previous))
        previous = arrived_at
        bucket_level += tokens
        worst_tokens = max(worst_tokens, bucket_level - BURST_TOKENS -
                           RATE_TOKENS_PER_S * MAX_RECORDING_DELAY_S)
    return worst_tokens


def count_service_runs(fleet):
    runs = {}
    for name, kind, _ in fleet.agents:
        if kind == "service":
            url = f"http://127.0.0.1:{fleet.backends[name].port}/admin/runs"
            for run in json.loads(call_http("GET", url)[2]):
                runs[run["key"]] = runs.get(run["key"], 0) + 1
    return runs


def find_held_slots(fleet):
    held = {}
    for name, kind, _ in fleet.agents:
        load = fleet.agent_load(name)
        if load is None or load["used"]:
            held[name] = load and load["used"]
        if kind != "service":
            url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
            engine = json.loads(call_http("GET", url)[2])
            if engine:
                held["engine of " + name] = len(engine)
    return held


def await_release(fleet):
    """Waits until nothing is held; returns what is still held after the timeout."""
    deadline = time.monotonic() + RELEASE_TIMEOUT_S
    while True:
        try:
            held = find_held_slots(fleet)
        except OSError as failure:
            held = {"unreachable": repr(failure)}
        if not held or time.monotonic() > deadline:
            return held
        time.sleep(0.2)


def find_booking_violations(records, runs):
    doubled = [key for key, count in runs.items() if key and count > 1]
    false_not_run, missing = [], []
    by_key = {}
    for record in records:
        if record.booking_key:
            by_key.setdefault(record.booking_key, []).append(record)
    for key, attempts in by_key.items():
        if all(item.run == "not_run" for item in attempts) and runs.get(key):
            false_not_run.append(key)
        if any(item.verdict == "whole" for item in attempts) and not runs.get(key):
            missing.append(key)
    return doubled, false_not_run, missing


def whole_answers_per_interval(records, started_at, ended_at):
    """Returns the number of whole answers in each interval, to show recovery."""
    counts = [0] * (int((ended_at - started_at) / GOODPUT_INTERVAL_S) + 1)
    for record in records:
        if record.verdict == "whole" and started_at <= record.ended_at <= ended_at:
            counts[int((record.ended_at - started_at) / GOODPUT_INTERVAL_S)] += 1
    return counts


def run_faults(faults, options, deadline):
    random_source = faults.random
    kinds = options.faults.split(",") if options.faults else list(Faults.KINDS)
    while time.monotonic() < deadline - 6:
        injected_kinds = [random_source.choice(kinds)]
        if random_source.random() < 0.3:
            injected_kinds.append(random_source.choice(kinds))
        threads = [threading.Thread(target=faults.inject, args=(kind,))
                   for kind in injected_kinds]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(random_source.uniform(0.5, 2.0))
    time.sleep(max(0.0, deadline - time.monotonic()))


def summarize(options, fleet, records, faults, held, stuck_callers, load_period):
    runs = count_service_runs(fleet)
    doubled, false_not_run, missing = find_booking_violations(records, runs)
    verdicts, refused = {}, {}
    for record in records:
        verdicts[record.verdict] = verdicts.get(record.verdict, 0) + 1
        if record.verdict == "refused":
            reason = f"{record.code}/{record.run}"
            refused[reason] = refused.get(reason, 0) + 1
    wrong = [record.detail for record in records if record.verdict == "wrong"]
    overshoots = {name: round(max_overshoot_tokens(records, name), 1) for name in WORKSPACES}
    stale_patches_accepted = [item for item in faults.log if "AssertionError" in item["note"]]
    violations = {
        "doubled_bookings": doubled,
        "false_not_run": false_not_run,
        "whole_but_never_run": missing,
        "wrong_answers": wrong,
        "slots_held": held,
        "overshoot_tokens": {name: value for name, value in overshoots.items() if value > 0},
        "stale_patch_accepted": stale_patches_accepted,
        "slow_withdrawals": [value for value in faults.withdrawal_times_s
                             if value > MAX_WITHDRAWAL_S],
        "stuck_callers": stuck_callers,
    }
    return {"seed": options.seed, "seconds": options.seconds, "requests": len(records),
            "verdicts": verdicts, "refused": refused,
            "faults": [{"fault": item["fault"], "at": round(item["begun"] - load_period[0], 1),
                        "note": item["note"]} for item in faults.log],
            "withdrawal_s": [round(value, 2) for value in faults.withdrawal_times_s],
            "goodput": whole_answers_per_interval(records, *load_period),
            "broken": {name: value for name, value in violations.items() if value},
            "passed": not any(violations.values())}


def print_summary(summary):
    for name in ("seed", "seconds", "requests", "verdicts", "refused", "withdrawal_s"):
        print(f"{name:<14} {summary[name]}")
    for item in summary["faults"]:
        print(f"  {item['at']:>6.1f} s  {item['fault']:<22}{item['note']}")
    for name, value in summary["broken"].items():
        print(f"BROKEN {name}: {value}")
    print("passed" if summary["passed"] else "FAILED")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--faults", help="comma-separated kinds: " + ", ".join(Faults.KINDS))
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    directory = os.path.join(options.build, f"chaos-{options.seed}")
    with Fleet(options.build, directory, entries=options.entries) as fleet:
        fleet.configure(WORKSPACES, RATE_TOKENS_PER_S, BURST_TOKENS)
        faults = Faults(fleet, random.Random(options.seed))
        started_at = time.monotonic()
        load = Load(fleet, options.seed, options.callers)
        run_faults(faults, options, started_at + options.seconds)
        ended_at = time.monotonic()
        records = load.stop()
        held = await_release(fleet)
        summary = summarize(options, fleet, records, faults, held, load.count_running_callers(),
                            (started_at, ended_at))
    if options.json:
        print(json.dumps(summary))
    else:
        print_summary(summary)
    return 0 if summary["passed"] else 1


if __name__ == "__main__":
    sys.exit(main())

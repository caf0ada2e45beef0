"""Runs load with faults against real processes and checks every invariant from outside:
from what callers received, what services counted and what engines hold."""

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
from fleet import Fleet, http  # noqa: E402

WORKSPACES = ("oshana", "swakop", "dune", "kalahari", "crumb")
RATE = 4_000.0    # tokens a second of each workspace
BURST = 12_000.0  # tokens
RELEASE_LIMIT_S = 10.0
WITHDRAWAL_LIMIT_S = 5.0
CLOCK_ERROR_S = 0.25  # how late a caller's thread may note a token that has arrived
GOODPUT_STEP_S = 0.5


def overshoot(records, workspace):
    """Returns the tokens over rate x window + burst, for the worst window of all."""
    arrivals = sorted(item for record in records if record.workspace == workspace
                      for item in record.tokens)
    level, last, worst = 0.0, None, 0.0
    for when, tokens in arrivals:
        if last is not None:
            level = max(0.0, level - RATE * (when - last))
        last = when
        level += tokens
        worst = max(worst, level - BURST - RATE * CLOCK_ERROR_S)
    return worst


def service_runs(fleet):
    runs = {}
    for name, kind, _ in fleet.agents:
        if kind == "service":
            url = f"http://127.0.0.1:{fleet.backends[name].port}/admin/runs"
            for run in json.loads(http("GET", url)[2]):
                runs[run["key"]] = runs.get(run["key"], 0) + 1
    return runs


def held_slots(fleet):
    held = {}
    for name, kind, _ in fleet.agents:
        load = fleet.agent_load(name)
        if load is None or load["used"]:
            held[name] = load and load["used"]
        if kind != "service":
            url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
            engine = json.loads(http("GET", url)[2])
            if engine:
                held["engine of " + name] = len(engine)
    return held


def await_release(fleet):
    """Returns what is still held once the limit has passed."""
    until = time.monotonic() + RELEASE_LIMIT_S
    while True:
        try:
            held = held_slots(fleet)
        except OSError as fault:
            held = {"unreachable": repr(fault)}
        if not held or time.monotonic() > until:
            return held
        time.sleep(0.2)


def booking_faults(records, runs):
    doubled = [key for key, count in runs.items() if key and count > 1]
    false_not_run, missing = [], []
    by_key = {}
    for record in records:
        if record.booking_key:
            by_key.setdefault(record.booking_key, []).append(record)
    for key, tries in by_key.items():
        if all(item.run == "not_run" for item in tries) and runs.get(key):
            false_not_run.append(key)
        if any(item.verdict == "whole" for item in tries) and not runs.get(key):
            missing.append(key)
    return doubled, false_not_run, missing


def goodput(records, begun, ended):
    """Returns whole answers per step, for the recovery figures."""
    steps = [0] * (int((ended - begun) / GOODPUT_STEP_S) + 1)
    for record in records:
        if record.verdict == "whole" and begun <= record.ended <= ended:
            steps[int((record.ended - begun) / GOODPUT_STEP_S)] += 1
    return steps


def run_faults(faults, options, until):
    source = faults.random
    kinds = options.faults.split(",") if options.faults else list(Faults.KINDS)
    while time.monotonic() < until - 6:
        chosen = [source.choice(kinds)]
        if source.random() < 0.3:
            chosen.append(source.choice(kinds))
        threads = [threading.Thread(target=faults.cause, args=(kind,)) for kind in chosen]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(source.uniform(0.5, 2.0))
    time.sleep(max(0.0, until - time.monotonic()))


def summarize(options, fleet, records, faults, held, stuck, span):
    runs = service_runs(fleet)
    doubled, false_not_run, missing = booking_faults(records, runs)
    verdicts, refused = {}, {}
    for record in records:
        verdicts[record.verdict] = verdicts.get(record.verdict, 0) + 1
        if record.verdict == "refused":
            reason = f"{record.code}/{record.run}"
            refused[reason] = refused.get(reason, 0) + 1
    wrong = [record.detail for record in records if record.verdict == "wrong"]
    over = {name: round(overshoot(records, name), 1) for name in WORKSPACES}
    accepted_twice = [item for item in faults.log if "AssertionError" in item["note"]]
    broken = {
        "doubled_bookings": doubled,
        "false_not_run": false_not_run,
        "whole_but_never_run": missing,
        "wrong_answers": wrong,
        "slots_held": held,
        "overshoot_tokens": {name: value for name, value in over.items() if value > 0},
        "stale_patch_accepted": accepted_twice,
        "slow_withdrawals": [value for value in faults.withdrawals
                             if value > WITHDRAWAL_LIMIT_S],
        "stuck_callers": stuck,
    }
    return {"seed": options.seed, "seconds": options.seconds, "requests": len(records),
            "verdicts": verdicts, "refused": refused,
            "faults": [{"fault": item["fault"], "at": round(item["begun"] - span[0], 1),
                        "note": item["note"]} for item in faults.log],
            "withdrawal_s": [round(value, 2) for value in faults.withdrawals],
            "goodput": goodput(records, *span),
            "broken": {name: value for name, value in broken.items() if value},
            "passed": not any(broken.values())}


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
        fleet.configure(WORKSPACES, RATE, BURST)
        faults = Faults(fleet, random.Random(options.seed))
        begun = time.monotonic()
        load = Load(fleet, options.seed, options.callers)
        run_faults(faults, options, begun + options.seconds)
        ended = time.monotonic()
        records = load.stop()
        held = await_release(fleet)
        summary = summarize(options, fleet, records, faults, held, load.stuck(),
                            (begun, ended))
    if options.json:
        print(json.dumps(summary))
    else:
        print_summary(summary)
    return 0 if summary["passed"] else 1


if __name__ == "__main__":
    sys.exit(main())

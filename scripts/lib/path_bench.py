"""Measures the cost of the request path.

Measures the latency that routing adds to the first token and between tokens, compared with a
direct connection to the same kind of stand-in in the same run, and the number of requests for
each second of an entry's processor time. Prints a table or JSON; with --check, exits with an
error if a result misses its bar.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, wait_for  # noqa: E402

MAX_ADDED_FIRST_TOKEN_P95_MS = 2.0
MIN_REQUESTS_PER_CORE_SECOND = 2_000

LATENCY_REQUESTS = 300
RATE_REQUESTS = 6_000
LATENCY_ENGINE_OPTIONS = ("--step-ms", "5", "--prefill-rate", "1e9", "--link-rate", "1e9")
RATE_ENGINE_OPTIONS = ("--step-ms", "1", "--prefill-rate", "1e9", "--link-rate", "1e9")


def run_load(fleet, name, entries, **options):
    path = os.path.join(fleet.directory, name + ".addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": entries, "keys": fleet.keys}, file)
    command = [fleet.program_path("load"), "--addresses", path, "--booking-share", "0"]
    for key, value in options.items():
        command += ["--" + key.replace("_", "-"), str(value)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=120, check=True)
    outcome = json.loads(completed.stdout)
    if outcome["cut"] or outcome["crossed"]:
        raise RuntimeError(f"{name}: cut or crossed answers: {outcome}")
    return outcome


def cpu_seconds(process):
    """Returns the user and system time that a process has used, in seconds."""
    with open(f"/proc/{process.child.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_latency(build):
    options = {"requests": LATENCY_REQUESTS, "concurrency": 1, "stream_share": 1,
               "prompt_bytes": 400, "output_tokens": 10}
    with Fleet(build, os.path.join(build, "bench-path-latency"), entries=1, prefill=1,
               decode=1, services=1, engine_options=LATENCY_ENGINE_OPTIONS) as fleet:
        fleet.configure(("bench",))
        engine = f"http://127.0.0.1:{fleet.backends['decode-1'].port}"
        direct = run_load(fleet, "direct", [engine], seed=1, **options)
        routed = run_load(fleet, "routed", fleet.entry_urls(), seed=1, **options)
    result = {"requests": LATENCY_REQUESTS, "whole": routed["whole"]}
    for key in ("first_token_ms", "token_gap_ms"):
        for percentile in ("p50", "p95"):
            result[f"added_{key}_{percentile}"] = round(
                routed[key][percentile] - direct[key][percentile], 3)
            result[f"direct_{key}_{percentile}"] = round(direct[key][percentile], 3)
    return result


def measure_rate(build):
    options = {"concurrency": 32, "stream_share": 0, "prompt_bytes": 200,
               "output_tokens": 1}
    with Fleet(build, os.path.join(build, "bench-path-rate"), entries=1, prefill=4,
               decode=4, services=1, engine_options=RATE_ENGINE_OPTIONS) as fleet:
        fleet.configure(("bench",), rate=1e9, burst=1e9)
        run_load(fleet, "warm", fleet.entry_urls(), requests=500, seed=2, **options)
        wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 5)
        before = cpu_seconds(fleet.processes["entry-1"])
        outcome = run_load(fleet, "rate", fleet.entry_urls(), requests=RATE_REQUESTS, seed=3,
                           **options)
        cpu_used_s = cpu_seconds(fleet.processes["entry-1"]) - before
    return {"requests": RATE_REQUESTS, "whole": outcome["whole"],
            "refused": sum(outcome["refused"].values()), "entry_cpu_s": round(cpu_used_s, 3),
            "requests_per_core_second": round(outcome["whole"] / cpu_used_s)}


def main():
    build = sys.argv[1]
    result = {"latency": measure_latency(build), "rate": measure_rate(build)}
    missed = []
    if result["latency"]["added_first_token_ms_p95"] >= MAX_ADDED_FIRST_TOKEN_P95_MS:
        missed.append(f"added to the first token at p95: under {MAX_ADDED_FIRST_TOKEN_P95_MS} ms")
    if result["rate"]["requests_per_core_second"] <= MIN_REQUESTS_PER_CORE_SECOND:
        missed.append(f"requests for each core second: over {MIN_REQUESTS_PER_CORE_SECOND}")
    result["bars_missed"] = missed
    if "--json" in sys.argv:
        print(json.dumps(result, indent=2))
    else:
        for section in ("latency", "rate"):
            for key, value in result[section].items():
                print(f"{section + ' ' + key:<40}{value:>12}")
        print("bars missed:", "; ".join(missed) or "none")
    return 1 if missed and "--check" in sys.argv else 0


if __name__ == "__main__":
    sys.exit(main())

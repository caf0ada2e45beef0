"""The path's cost: latency added to the first token and to each token against a direct
connection to the same kind of stand-in in the same run, and requests for each second of an
entry's processor time. Prints a table or JSON; with --check a missed bar is an error."""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, wait_for  # noqa: E402

ADDED_FIRST_TOKEN_P95_MS = 2.0
REQUESTS_PER_CORE_SECOND = 2_000

LATENCY_REQUESTS = 300
RATE_REQUESTS = 6_000
ENGINE = ("--step-ms", "5", "--prefill-rate", "1e9", "--link-rate", "1e9")
FAST_ENGINE = ("--step-ms", "1", "--prefill-rate", "1e9", "--link-rate", "1e9")


def load(fleet, name, entries, **options):
    path = os.path.join(fleet.directory, name + ".addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": entries, "keys": fleet.keys}, file)
    command = [fleet.program("load"), "--addresses", path, "--booking-share", "0"]
    for key, value in options.items():
        command += ["--" + key.replace("_", "-"), str(value)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=True)
    outcome = json.loads(done.stdout)
    if outcome["cut"] or outcome["crossed"]:
        raise RuntimeError(f"{name}: cut or crossed answers: {outcome}")
    return outcome


def cpu_seconds(process):
    """User and system time that a process has used."""
    with open(f"/proc/{process.child.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_latency(build):
    options = {"requests": LATENCY_REQUESTS, "concurrency": 1, "stream_share": 1,
               "prompt_bytes": 400, "output_tokens": 10}
    with Fleet(build, os.path.join(build, "bench-path-latency"), entries=1, prefill=1,
               decode=1, services=1, engine_options=ENGINE) as fleet:
        fleet.configure(("bench",))
        engine = f"http://127.0.0.1:{fleet.backends['decode-1'].port}"
        direct = load(fleet, "direct", [engine], seed=1, **options)
        routed = load(fleet, "routed", fleet.entry_urls(), seed=1, **options)
    result = {"requests": LATENCY_REQUESTS, "whole": routed["whole"]}
    for key in ("first_token_ms", "token_gap_ms"):
        for point in ("p50", "p95"):
            result[f"added_{key}_{point}"] = round(routed[key][point] - direct[key][point], 3)
            result[f"direct_{key}_{point}"] = round(direct[key][point], 3)
    return result


def measure_rate(build):
    options = {"concurrency": 32, "stream_share": 0, "prompt_bytes": 200,
               "output_tokens": 1}
    with Fleet(build, os.path.join(build, "bench-path-rate"), entries=1, prefill=4,
               decode=4, services=1, engine_options=FAST_ENGINE) as fleet:
        fleet.configure(("bench",), rate=1e9, burst=1e9)
        load(fleet, "warm", fleet.entry_urls(), requests=500, seed=2, **options)
        wait_for(lambda: fleet.slots_held() == 0, "all slots to be free", 5)
        before = cpu_seconds(fleet.processes["entry-1"])
        outcome = load(fleet, "rate", fleet.entry_urls(), requests=RATE_REQUESTS, seed=3,
                       **options)
        used = cpu_seconds(fleet.processes["entry-1"]) - before
    return {"requests": RATE_REQUESTS, "whole": outcome["whole"],
            "refused": sum(outcome["refused"].values()), "entry_cpu_s": round(used, 3),
            "requests_per_core_second": round(outcome["whole"] / used)}


def main():
    build = sys.argv[1]
    result = {"latency": measure_latency(build), "rate": measure_rate(build)}
    missed = []
    if result["latency"]["added_first_token_ms_p95"] >= ADDED_FIRST_TOKEN_P95_MS:
        missed.append(f"added to the first token at p95: under {ADDED_FIRST_TOKEN_P95_MS} ms")
    if result["rate"]["requests_per_core_second"] <= REQUESTS_PER_CORE_SECOND:
        missed.append(f"requests for each core second: over {REQUESTS_PER_CORE_SECOND}")
    result["bars_missed"] = missed
    if "--json" in sys.argv:
        print(json.dumps(result, indent=2))
    else:
        for part in ("latency", "rate"):
            for key, value in result[part].items():
                print(f"{part + ' ' + key:<40}{value:>12}")
        print("bars missed:", "; ".join(missed) or "none")
    return 1 if missed and "--check" in sys.argv else 0


if __name__ == "__main__":
    sys.exit(main())

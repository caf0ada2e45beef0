"""Floods two entries with one workspace's requests: the answers stay inside its allowance."""

import concurrent.futures
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))
import fleet  # noqa: E402

RATE = 50  # tokens a second
BURST = 600  # tokens
FLOOD_S = 6
OUTPUT = 20  # tokens of one answer at most


def spend(url, key):
    """Sends one request; returns the tokens that its answer brought."""
    body = json.dumps({"model": "drafter", "prompt": "a short note", "max_tokens": OUTPUT})
    status, _, answer = fleet.call_http("POST", url + "/v1/completions", body,
                                   {"Authorization": "Bearer " + key}, timeout=30)
    if status != 200:
        return 0
    return json.loads(answer)["usage"]["total_tokens"]


def flood(url, key, until):
    tokens = 0
    while time.monotonic() < until:
        tokens += spend(url, key)
        time.sleep(0.01)
    return tokens


def main():
    with tempfile.TemporaryDirectory() as directory:
        with fleet.Fleet(sys.argv[1], directory, entries=2, services=1) as system:
            system.configure(["calm"])
            began = time.monotonic()
            system.run_cli("workspace", "set", "flood", "--rate", str(RATE),
                       "--burst", str(BURST))
            key = system.run_cli("key", "create", "flood")[1].strip()
            time.sleep(BURST / RATE)
            until = time.monotonic() + FLOOD_S
            with concurrent.futures.ThreadPoolExecutor(8) as workers:
                urls = system.entry_urls()
                runs = [workers.submit(flood, urls[turn % 2], key, until)
                        for turn in range(8)]
                tokens = sum(run.result() for run in runs)
            window = time.monotonic() - began - BURST / RATE
    limit = RATE * window + BURST
    print(f"{tokens} tokens in {window:.1f} s, allowed {limit:.0f}")
    return 0 if BURST / 2 < tokens <= limit else 1


if __name__ == "__main__":
    sys.exit(main())

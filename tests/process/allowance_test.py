"""Floods two entries with requests of one workspace.

Guards against entries that together admit more than the workspace's allowance.
"""

import concurrent.futures
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))
import fleet  # noqa: E402

RATE_TOKENS_PER_S = 50
BURST_TOKENS = 600
FLOOD_DURATION_S = 6
MAX_OUTPUT_TOKENS = 20  # for one answer


def send_request(url, key):
    """Sends a request and returns its token usage, or 0 if it was refused."""
    body = json.dumps({"model": "drafter", "prompt": "a short note",
                       "max_tokens": MAX_OUTPUT_TOKENS})
    status, _, answer = fleet.call_http("POST", url + "/v1/completions", body,
                                        {"Authorization": "Bearer " + key}, timeout=30)
    if status != 200:
        return 0
    return json.loads(answer)["usage"]["total_tokens"]


def flood(url, key, deadline):
    tokens = 0
    while time.monotonic() < deadline:
        tokens += send_request(url, key)
        time.sleep(0.01)
    return tokens


def main():
    with tempfile.TemporaryDirectory() as directory:
        with fleet.Fleet(sys.argv[1], directory, entries=2, services=1) as system:
            system.configure(["calm"])
            started_at = time.monotonic()
            system.run_cli("workspace", "set", "flood", "--rate", str(RATE_TOKENS_PER_S),
                           "--burst", str(BURST_TOKENS))
            key = system.run_cli("key", "create", "flood")[1].strip()
            time.sleep(BURST_TOKENS / RATE_TOKENS_PER_S)
            deadline = time.monotonic() + FLOOD_DURATION_S
            with concurrent.futures.ThreadPoolExecutor(8) as workers:
                urls = system.entry_urls()
                floods = [workers.submit(flood, urls[worker % 2], key, deadline)
                          for worker in range(8)]
                tokens = sum(flood_result.result() for flood_result in floods)
            window_s = time.monotonic() - started_at - BURST_TOKENS / RATE_TOKENS_PER_S
    allowed_tokens = RATE_TOKENS_PER_S * window_s + BURST_TOKENS
    print(f"{tokens} tokens in {window_s:.1f} s, allowed {allowed_tokens:.0f}")
    return 0 if BURST_TOKENS / 2 < tokens <= allowed_tokens else 1


if __name__ == "__main__":
    sys.exit(main())

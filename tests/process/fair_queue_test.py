"""Sends more requests than there are slots.

Guards against refusals instead of queueing at the agents, and against a workspace with few
requests that waits behind all requests of a workspace with many.
"""

import json
import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

FLOOD_REQUESTS = 60
SMALL_REQUESTS = 6
OUTPUT_TOKENS = 30


def send(fleet, workspace, number, outcomes):
    body = json.dumps({"model": "drafter", "prompt": f"{workspace} {number} " * 40,
                       "max_tokens": OUTPUT_TOKENS, "stream": False})
    headers = {"Authorization": "Bearer " + fleet.keys[workspace]}
    url = fleet.entry_urls()[number % 2]
    begin = time.monotonic()
    status, response_headers, _ = call_http("POST", url + "/v1/completions", body, headers,
                                            timeout=25)
    outcomes.append((workspace, status, time.monotonic() - begin, response_headers))


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "fair-queue"), entries=2, prefill=1, decode=1,
               services=0, engine_options=("--slots", "20")) as fleet:
        fleet.configure(("flood", "small"))
        outcomes = []
        threads = []
        for number in range(FLOOD_REQUESTS):
            threads.append(threading.Thread(target=send,
                                            args=(fleet, "flood", number, outcomes)))
            threads[-1].start()
        wait_for(lambda: fleet.agent_load("decode-1")["queued"] > 20,
                 "more than 20 queued requests")
        for number in range(SMALL_REQUESTS):
            threads.append(threading.Thread(target=send,
                                            args=(fleet, "small", number, outcomes)))
            threads[-1].start()
        for thread in threads:
            thread.join(28)
        wait_for(lambda: fleet.occupied_slots() == 0, "the slots to be free", 10)
    refused = [outcome for outcome in outcomes if outcome[1] != 200]
    slowest = {name: max(seconds for workspace, _, seconds, _ in outcomes
                         if workspace == name) for name in ("flood", "small")}
    print(json.dumps({"answers": len(outcomes), "refused": len(refused), **slowest}))
    if refused or len(outcomes) != FLOOD_REQUESTS + SMALL_REQUESTS:
        print("refused:", refused[:3])
        return 1
    # The small workspace must not wait for all requests that were queued before its own.
    return 0 if slowest["small"] < slowest["flood"] else 1


if __name__ == "__main__":
    sys.exit(main())

"""More requests than slots: they queue at the agents instead of being refused."""

import json
import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

FLOOD = 60
SMALL = 6
OUTPUT_TOKENS = 30


def send(fleet, workspace, number, outcomes):
    body = json.dumps({"model": "drafter", "prompt": f"{workspace} {number} " * 40,
                       "max_tokens": OUTPUT_TOKENS, "stream": False})
    headers = {"Authorization": "Bearer " + fleet.keys[workspace]}
    url = fleet.entry_urls()[number % 2]
    begin = time.monotonic()
    status, head, _ = call_http("POST", url + "/v1/completions", body, headers, timeout=25)
    outcomes.append((workspace, status, time.monotonic() - begin, head))


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "fair-queue"), entries=2, prefill=1, decode=1,
               services=0, engine_options=("--slots", "20")) as fleet:
        fleet.configure(("flood", "small"))
        outcomes = []
        threads = []
        for number in range(FLOOD):
            threads.append(threading.Thread(target=send,
                                            args=(fleet, "flood", number, outcomes)))
            threads[-1].start()
        wait_for(lambda: fleet.agent_load("decode-1")["queued"] > 20, "a queue")
        for number in range(SMALL):
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
    if refused or len(outcomes) != FLOOD + SMALL:
        print("refused:", refused[:3])
        return 1
    # The flood came first, and still the small workspace does not wait for all of it.
    return 0 if slowest["small"] < slowest["flood"] else 1


if __name__ == "__main__":
    sys.exit(main())

"""The second half of the demo: two entries on the stand-in of the users' platform."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../fakes"))
from platform_site import Site, wait_for  # noqa: E402

REQUESTS = 60


def places_held(site):
    return sum(len(replica.holds) + len(replica.running) for replica in site.replicas)


def run(build):
    """Sends requests of each kind through both entries; returns how many went wrong."""
    site = Site(build, os.path.join(build, "platform_demo"), entries=2)
    site.add_default_replicas()
    site.configure(1)
    with site.start():
        served = {"safe": 0, "at most once": 0, "stream": 0}
        for number in range(REQUESTS):
            entry = number % 2
            safe = site.get("/safe/a", entry=entry)
            once = site.post("/once/a", entry=entry)
            stream = site.request_stream(entry=entry)
            served["safe"] += safe.status == 200
            served["at most once"] += once.status == 200
            served["stream"] += stream.status == 200 and stream.complete
        runs = [run for replica in site.replicas for run in replica.runs]
        wait_for(lambda: places_held(site) == 0, "the places to be free", 3)
        held = places_held(site)
        rows = [(f"{kind} requests served of {REQUESTS}", count)
                for kind, count in served.items()]
        rows += [("runs beyond one of a request", len(runs) - len(set(runs))),
                 ("places held afterwards", held),
                 ("calls to the store", len(site.store.calls))]
    print("\non the stand-in of the platform: 2 entries, 5 replicas")
    for label, value in rows:
        print(f"{label:<36}{value:>6}")
    return 3 * REQUESTS - sum(served.values()) + len(runs) - len(set(runs)) + held

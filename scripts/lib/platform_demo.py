"""The second part of the demo: two entries on the stand-in for the users' platform."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../fakes"))
from platform_site import Site, wait_for  # noqa: E402

REQUESTS = 60


def count_held_slots(site):
    return sum(len(replica.holds) + len(replica.running) for replica in site.replicas)


def run(build):
    """Sends requests of each kind through both entries and returns the number of failures."""
    site = Site(build, os.path.join(build, "platform_demo"), entries=2)
    site.add_default_replicas()
    site.configure(1)
    with site.start():
        served_counts = {"safe": 0, "at most once": 0, "stream": 0}
        for number in range(REQUESTS):
            entry = number % 2
            safe_answer = site.get("/safe/a", entry=entry)
            once_answer = site.post("/once/a", entry=entry)
            stream_answer = site.request_stream(entry=entry)
            served_counts["safe"] += safe_answer.status == 200
            served_counts["at most once"] += once_answer.status == 200
            served_counts["stream"] += stream_answer.status == 200 and stream_answer.complete
        runs = [run for replica in site.replicas for run in replica.runs]
        wait_for(lambda: count_held_slots(site) == 0, "all slots to be free", 3)
        held_count = count_held_slots(site)
        rows = [(f"{kind} requests served of {REQUESTS}", count)
                for kind, count in served_counts.items()]
        rows += [("repeated runs of a request", len(runs) - len(set(runs))),
                 ("slots held afterwards", held_count),
                 ("calls to the store", len(site.store.calls))]
    print("\nwith the stand-in for the platform: 2 entries, 5 replicas")
    for label, value in rows:
        print(f"{label:<36}{value:>6}")
    return 3 * REQUESTS - sum(served_counts.values()) + len(runs) - len(set(runs)) + held_count

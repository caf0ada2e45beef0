"""Replicas leave some seconds after the store has turned two machines away."""

import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import BOUNDS, TROUBLE, DeployedEntry, platform_site, route, run_case, wait_for  # noqa: E402

ENTRIES = 6
AWAY = 2  # machines that the store turns away: a share of 0.35, the site's largest
AWAY_S = 1.2
REPLICAS = 20
LEAVE = 3  # of them at a time: a share of 0.15; the site's largest for `scale_in` is 0.157
CYCLES = 9
CLIENTS = 10
DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = 3.0  # stable_window_ms


class NotingAddress(platform_site.StoreAddress):
    """The store as one machine reaches it; notes when the machine listed the entries."""

    def __init__(self, store):
        super().__init__(store)
        self.listed_at = 0.0

    async def handle_request(self, request, reader, writer):
        is_list = "agateseam-entries" in request.target and request.method == "GET"
        answered = await super().handle_request(request, reader, writer)
        if is_list and not self.rejects:
            self.listed_at = time.monotonic()
        return answered


platform_site.StoreAddress = NotingAddress


class Machine(DeployedEntry):
    """An entry that reaches the store by an address of its own."""

    def __init__(self, site, number):
        self.to_store = site.add_store_address()
        super().__init__(site, number, store=self.to_store.address)


def case(site, record):
    for _ in range(REPLICAS):
        site.add_replica("desk")
    site.configure(1, routes=[route("/look/", "safe", "desk", timeout_ms=800,
                                    target_latency_ms=300)], services=[{"name": "desk"}],
                   tenants=[dict(platform_site.configuration(1)["tenants"][0], rate_per_s=1e7,
                                 burst=1e7)],
                   limits={"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                           "header_timeout_ms": 2000, "idle_timeout_ms": 10000})
    for number in range(ENTRIES):
        site.entries.append(Machine(site, number))
    wait_for(lambda: all(entry.is_ready() for entry in site.entries), "entries to be ready")
    away = site.entries[1:1 + AWAY]
    stop = threading.Event()
    outcomes = {}

    def look_up(entry):
        connection = None
        while not stop.is_set():
            headers = site.headers(**{"Agateseam-Request-Deadline": "1500"})
            try:
                if connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", entry.callers, timeout=3)
                connection.request("GET", "/look/a", None, headers)
                answer = connection.getresponse()
                answer.read()
                outcome = answer.status
            except (OSError, http.client.HTTPException) as error:
                connection, outcome = None, type(error).__name__
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    clients = [threading.Thread(target=look_up, args=(away[number % AWAY],))
               for number in range(CLIENTS)]
    time.sleep(6)
    for client in clients:
        client.start()
    left = []  # (replica, when the store acknowledged that its entry is removed)
    for cycle in range(CYCLES):
        # Each machine lists the entries every 5 s.
        since = time.monotonic()
        wait_for(lambda: all(entry.to_store.listed_at > since for entry in away),
                 "the machines to list the entries", 12)
        if TROUBLE:
            for entry in away:
                site.run_on_loop(entry.to_store.reject)
            time.sleep(AWAY_S)
            for entry in away:
                entry.to_store.rejects = False
        calm_since = time.monotonic()
        wait_for(lambda: all(entry.to_store.listed_at > calm_since for entry in away),
                 "the machines to list the entries again", 12)
        time.sleep(1.1 + 0.061 * cycle)
        if time.monotonic() - calm_since < STABLE_S + 0.05:
            time.sleep(STABLE_S + 0.05 - (time.monotonic() - calm_since))
        leaving = [replica for replica in site.replicas
                   if replica.id not in {gone.id for gone, _ in left}][:LEAVE]
        for replica in leaving:
            # One that never reports `draining`: its entry is removed, and it serves on.
            site.run_on_loop(site.store.remove, "servers", replica.id)
            left.append((replica, time.monotonic()))
            record(f"cycle {cycle}: the store acknowledged that {replica.id} is gone, "
                   f"{left[-1][1] - calm_since:.3f} s after it last turned a machine away")
            time.sleep(0.083)
        time.sleep(0.3)
        for _ in range(LEAVE):
            site.add_replica("desk")
    time.sleep(2.5)
    stop.set()
    for client in clients:
        client.join()
    late = 0
    for replica, acknowledged in left:
        after = [request.arrived - acknowledged for request in replica.requests if request.id]
        too_late = [moment for moment in after if moment > DRAIN_S]
        late += len(too_late)
        record(f"ran at {replica.id}: {sum(moment > 0 for moment in after)} requests after the "
               f"acknowledgement, the last {max(after):.3f} s after it; too late: {len(too_late)}")
    record(f"lookups: {outcomes}")
    record(f"{late} requests reached a replica later than {DRAIN_S} s after the acknowledgement "
           "that it is gone")
    return late > 0


sys.exit(run_case(FOLDER, case))

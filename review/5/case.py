"""Many callers come at once with bodies as long as the limits allow."""

import http.client
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import TROUBLE, DeployedEntry, platform_site, route, run_case, wait_for  # noqa: E402

MAX_BODY_BYTES = 4_194_304  # the site's max_body_bytes
BODY = b"b" * MAX_BODY_BYTES
USUAL = 8  # callers that send long bodies at the same time
BURST = 2.3  # times as many; the site's largest dose
BURST_S = 5.0
KEPT = 8
MEMORY_KB = DeployedEntry.memory_mb * 1024


def case(site, record):
    replica = site.add_replica("desk")
    replica.latency_s = 0.3
    site.configure(1, routes=[route("/book/", "unsafe", "desk", max_attempts=1, timeout_ms=8000,
                                    target_latency_ms=300)],
                   services=[{"name": "desk"}],
                   limits={"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
                           "header_timeout_ms": 2000, "idle_timeout_ms": 10000})
    entry = DeployedEntry(site, 0)
    site.entries.append(entry)
    wait_for(entry.is_ready, "the entry to be ready")
    time.sleep(3.5)  # In touch.
    stop = threading.Event()
    killed, lost, outcomes, peak = [], [], {}, [0]

    def run_as_the_platform():
        """Kills the process when it exceeds memory_mb, and starts it again."""
        while not stop.wait(0.002):
            try:
                with open(f"/proc/{entry.process.pid}/status", encoding="ascii") as status:
                    used_kb = next(int(line.split()[1]) for line in status
                                   if line.startswith("VmRSS"))
            except (OSError, StopIteration):
                continue
            peak[0] = max(peak[0], used_kb)
            if used_kb > MEMORY_KB:
                entry.process.send_signal(signal.SIGKILL)
                entry.process.wait()
                killed.append(used_kb)
                record(f"the entry uses {used_kb // 1024} MB of {DeployedEntry.memory_mb} MB: the "
                       "platform kills it")
                time.sleep(0.5)
                entry.start()

    def book_on_kept_connection():
        connection = None
        while not stop.is_set():
            headers = site.headers(**{"Agateseam-Request-Deadline": "8000"})
            name = headers["Agateseam-Request-Id"]
            try:
                if connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", entry.callers, timeout=8)
                    connection.connect()
                connection.request("POST", "/book/a", b"{}", headers)
                connection.getresponse().read()
            except (OSError, http.client.HTTPException) as error:
                connection = None
                if name in replica.runs:
                    lost.append(name)
                    record(f"answered {name}: connection closed without an answer "
                           f"({type(error).__name__}); {replica.id} has run it")
                time.sleep(0.2)

    def send_long(end):
        while time.monotonic() < end and not stop.is_set():
            headers = site.headers(**{"Agateseam-Request-Deadline": "8000"})
            try:
                outcome = platform_site.send_request(entry.callers, "POST", "/book/a", headers,
                                                     BODY, 8).status
            except (OSError, http.client.HTTPException) as error:
                outcome = type(error).__name__
                time.sleep(0.2)
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    watcher = threading.Thread(target=run_as_the_platform)
    watcher.start()
    began = time.monotonic()
    threads = [threading.Thread(target=book_on_kept_connection) for _ in range(KEPT)]
    threads += [threading.Thread(target=send_long, args=(began + 10,)) for _ in range(USUAL)]
    for thread in threads:
        thread.start()
    record(f"{KEPT} callers book on kept connections, {USUAL} send bodies of {len(BODY)} bytes")
    time.sleep(3)
    record(f"peak so far {peak[0] // 1024} MB")
    if TROUBLE:
        count = round(USUAL * (BURST - 1))
        record(f"{BURST} times the callers for {BURST_S} s: {count} more send such bodies")
        burst = [threading.Thread(target=send_long, args=(time.monotonic() + BURST_S,))
                 for _ in range(count)]
        for thread in burst:
            thread.start()
        threads += burst
    time.sleep(7.5)
    stop.set()
    for thread in threads:
        thread.join()
    watcher.join()
    record(f"long requests: {outcomes}; {len(replica.runs)} requests run")
    record(f"peak {peak[0] // 1024} MB; killed {len(killed)} times; {len(lost)} bookings on kept "
           "connections that the replica ran were closed without an answer")
    return len(lost) > 3


sys.exit(run_case(FOLDER, case))

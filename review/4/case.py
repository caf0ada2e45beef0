"""Two prefill replicas go dark while a decode replica reports `draining`."""

import asyncio
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import BOUNDS, TROUBLE, DeployedEntry, platform_site, route, run_case, wait_for  # noqa: E402

PROMPT_TOKENS = 11_000  # the site's longest prompt
PREFILL_S = PROMPT_TOKENS / 55_555.6  # crumb-seam: 55.5556 prompt tokens are read in a ms
DARK_S = 4.5  # the site's longest, for a quarter of the replicas
STREAMS = 3
DRAIN_S = BOUNDS["drain_ms"] / 1000
LINGER_S = 1.0  # "and a little longer"


async def dark(replica, request, reader, writer):
    await asyncio.sleep(3600)


def reads_one_after_the_other():
    lock = asyncio.Lock()

    async def read_prompt(replica, request, reader, writer):
        if request.header("Agateseam-Stage") == "prefill":
            async with lock:
                await asyncio.sleep(PREFILL_S)
    return read_prompt


def case(site, record):
    prefills = [site.add_replica("model", stage="prefill") for _ in range(2)]
    decodes = [site.add_replica("model", stage="decode") for _ in range(6)]
    for replica in prefills:
        replica.handler = reads_one_after_the_other()
    for replica in decodes:
        replica.event_count, replica.event_delay_s = 35, 0.04
    site.configure(1, routes=[route("/draft/", "streaming", "model", max_attempts=1,
                                    timeout_ms=14000, target_latency_ms=900,
                                    gap_target_ms=300)])
    entry = DeployedEntry(site, 0)
    site.entries.append(entry)
    wait_for(entry.is_ready, "the entry to be ready")
    answers = {}

    def send(phase):
        headers = site.headers(**{"Agateseam-Request-Deadline": "14000", "Agateseam-Model": "m",
                                  "Agateseam-Token-Count": f"{PROMPT_TOKENS},500"})
        name = headers["Agateseam-Request-Id"]
        record(f"sent {name}: POST /draft/a ({phase})")
        answer = platform_site.send_request(entry.callers, "POST", "/draft/a", headers, b"{}", 14)
        events = answer.body.count(b"\n\n")
        answers[name] = answer.status == 200 and answer.complete and events == 35
        record(f"answered {name}: {answer.status}, {events} of 35 events, "
               f"{'complete' if answer.complete else 'cut off'}")

    def send_all(count, phase):
        threads = [threading.Thread(target=send, args=(phase,)) for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads
    time.sleep(1)
    for _ in range(3):  # So that the entry has measured what prefills take.
        for thread in send_all(8, "calm"):
            thread.join()
    time.sleep(3.5)  # In touch, and calm.
    if TROUBLE:
        for replica in prefills:
            replica.handler = dark
        record("the two prefill replicas (of 8 replicas) went dark")

        async def come_back():
            await asyncio.sleep(DARK_S)
            for replica in prefills:
                replica.handler = reads_one_after_the_other()
        site.run_on_loop(lambda: prefills[0].run_task(come_back()))
    threads = send_all(STREAMS, "test")
    time.sleep(0.15)
    leaving = max(decodes, key=lambda replica: len(replica.holds))
    site.publish_replica(leaving, "draining")
    acknowledged = time.monotonic()
    record(f"the store acknowledged that {leaving.id} is draining; it holds "
           f"{len(leaving.holds)} reservations")

    async def exit_later():
        await asyncio.sleep(DRAIN_S + LINGER_S)
        leaving.listener.close()
        for writer in list(leaving.open_connections):
            platform_site.reset_connection(writer)
        site.store.remove("servers", leaving.id)
        record(f"{leaving.id} has exited, {DRAIN_S + LINGER_S} s after the acknowledgement")
    site.run_on_loop(lambda: leaving.run_task(exit_later()))
    for thread in threads:
        thread.join()
    late = 0
    for request in leaving.requests:
        after = request.arrived - acknowledged
        if request.id and after > -0.5:
            is_late = after > DRAIN_S
            late += is_late
            record(f"ran {request.id} at {leaving.id}: reached it {after:.3f} s after the "
                   f"acknowledgement{', too late' if is_late else ''}; the client "
                   f"{'got a whole stream' if answers[request.id] else 'lost its stream'}")
    record(f"{late} requests reached {leaving.id} later than {DRAIN_S} s after the "
           "acknowledgement")
    return late > 0


sys.exit(run_case(FOLDER, case))

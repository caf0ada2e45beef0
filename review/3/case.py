"""One machine is cut off from the others for a second; then its bucket counts as full."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import BOUNDS, TROUBLE, DeployedEntry, configuration, platform_site, route, run_case, wait_for  # noqa: E402
import site_links  # noqa: E402

ENTRIES = 6
CUT_S = float(os.environ.get("CUT_S", "1.0"))
RATE = BURST = 82_472  # tokens, those of the site's largest tenant
PROMPT, OUTPUT = 2_600, 400
TOKENS = PROMPT + OUTPUT
USUAL = RATE / 1.8  # the site's quota_x: a quota is 1.8 times what its tenant usually sends
HOT = 7.2  # times the usual; the site's largest is 7.5
WINDOW = BOUNDS["quota_window_s"]
LIMIT = (RATE * WINDOW + BURST) * (1 + BOUNDS["quota_overage"]) + BOUNDS["quota_margin"]
cut_links = set()


class CutForwarder(site_links.DatagramForwarder):
    """Loses the datagrams of a machine that is cut off, and those to it."""

    def datagram_received(self, data, addr):
        sender = self.link.peer_links.get(f"{addr[0]}:{addr[1]}")
        if sender not in cut_links and self.link not in cut_links:
            super().datagram_received(data, addr)


site_links.DatagramForwarder = CutForwarder


def case(site, record):
    for _ in range(2):
        site.add_replica("model", stage="prefill")
    decodes = [site.add_replica("model", stage="decode", capacity=75_461) for _ in range(6)]
    for replica in decodes:
        replica.event_count = 2
    site.link_bytes_per_s = 1e9  # A link before each entry, which can be cut.
    settings = configuration(1)
    tenant = dict(settings["tenants"][0], rate_per_s=RATE, burst=BURST)
    site.configure(1, routes=[route("/draft/", "streaming", "model", max_attempts=1,
                                    timeout_ms=14000, target_latency_ms=900,
                                    gap_target_ms=300)], tenants=[tenant])
    site.fleet = {}
    for number in range(ENTRIES):
        site.entries.append(DeployedEntry(site, number))
    wait_for(lambda: all(entry.is_ready() for entry in site.entries), "entries to be ready")
    wait_for(lambda: all(len(entry.log_lines("entry heard")) >= ENTRIES - 1
                         for entry in site.entries), "entries to hear each other")
    time.sleep(5)  # In touch; the allowance is unused, so the buckets are full.
    alone = site.entries[-1]
    record(f"{ENTRIES} machines; {alone.name} will be cut off for {CUT_S} s; a tenant of "
           f"{RATE} tokens a second and a burst of {BURST} sends {HOT} times its usual")
    sent, answers = {}, {}
    threads = []

    def send(entry):
        headers = site.headers(**{"Agateseam-Request-Deadline": "14000", "Agateseam-Model": "m",
                                  "Agateseam-Token-Count": f"{PROMPT},{OUTPUT}"})
        name = headers["Agateseam-Request-Id"]
        sent[name] = time.monotonic()
        try:
            answer = platform_site.send_request(entry.callers, "POST", "/draft/a", headers, b"{}",
                                                14)
            answers[name] = (answer.status, entry.name)
        except OSError as error:
            answers[name] = (repr(error), entry.name)

    began = time.monotonic()
    healed = not TROUBLE
    if TROUBLE:
        site.run_on_loop(cut_links.update, {alone.peer_link})
        record(f"{alone.name} is cut off from the other machines")
    interval = TOKENS / (USUAL * HOT)
    count = 0
    while time.monotonic() - began < 9:
        since = time.monotonic() - began
        if not healed and since >= CUT_S:
            site.run_on_loop(cut_links.clear)
            healed = True
            record(f"{alone.name} is no longer cut off")
        # The tenant's callers are in the other zones at first, then in that of the one machine.
        entry = site.entries[count % (ENTRIES - 1)] if since < CUT_S + 0.5 else alone
        threads.append(threading.Thread(target=send, args=(entry,)))
        threads[-1].start()
        count += 1
        time.sleep(max(0, began + count * interval - time.monotonic()))
    for thread in threads:
        thread.join()
    for entry in site.entries:
        outcomes = {}
        for status, name in answers.values():
            if name == entry.name:
                outcomes[status] = outcomes.get(status, 0) + 1
        record(f"answered by {entry.name}: {outcomes}")
    runs = sorted((sent[request.id], request.arrived) for replica in decodes
                  for request in replica.requests
                  if request.id in replica.runs and request.id in sent)
    for when, arrived in runs:
        record.file.write(f"ran {TOKENS} tokens: sent {when - began:.3f} s, "
                          f"arrived {arrived - began:.3f} s\n")
    most = max(sum(TOKENS for when, arrived in runs
                   if when >= start and arrived <= start + WINDOW) for start, _ in runs)
    record(f"most tokens that were sent and arrived within {WINDOW} s: {most}; the rule allows "
           f"{LIMIT:.0f}")
    return most > LIMIT


sys.exit(run_case(FOLDER, case))

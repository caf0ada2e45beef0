"""Shows that fronts believe no removal after the entries that they follow lost power.

Twelve entries; four of them watch the store for the others. These four lose power for 2 s:
their processes stop, their connections fall silent, and new ones to them hang; then they start
again. As they lose power the entry of a plain replica is removed from the store without
`draining`; the replica goes on serving. 0.9 s earlier another replica was added, which is when
the entries last heard of a change. Each of the other entries gets requests all the while. Exits
with 1 if such a request reaches the replica later than `drain_ms` (3,000) after the removal.

With TROUBLE=0 nothing loses power.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(ROOT, "fakes"))
import asyncio  # noqa: E402
import platform_site  # noqa: E402
from site_links import DatagramForwarder, Link  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONTS, WATCHERS, DRAIN_S, PLAY_S = 12, 4, 3.0, 6.0
DARK_S, CHANGE_BEFORE_S = 2.0, 0.9
LINK_BYTES_PER_S = 25_000_000  # 200 Mbit/s
record = []
started = []  # All processes.


def note(text):
    record.append(f"{time.monotonic() - BEGAN:7.3f} {text}")
    print(record[-1], flush=True)


class PowerLink(Link):
    """A link of a machine that may lose power: then nothing passes, and no connection opens."""

    listener = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        if self.peer_links is not None:
            self.datagrams, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: DatagramForwarder(self), local_addr=("127.0.0.1", port))
        return self

    def lose_power(self):
        self.is_cut = True
        self.listener.close()
        port = int(self.address.rsplit(":", 1)[1])
        self.dark = [socket.socket()]
        self.dark[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.dark[0].bind(("127.0.0.1", port))
        self.dark[0].listen(0)
        for _ in range(3):  # Fills the queue of new connections, so that others hang.
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self.dark.append(filler)

    async def regain_power(self):
        for each in self.dark:
            each.close()
        self.is_cut = False
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", int(self.address.rsplit(":", 1)[1]))


def start_as_deployed(entry):
    """Starts an entry as the deploy file says: without arguments, the settings by variable."""
    with open(entry.log_path, "ab") as log:
        entry.process = subprocess.Popen(
            [entry.site.program], cwd=ROOT, stdout=log, stderr=log,
            env={**os.environ, "AGATESEAM_SETTINGS": entry.settings_path})
    started.append(entry.process)


def sources(site):
    """Returns whom each entry follows, by its number; the store if it says nothing."""
    found = {}
    for number, entry in enumerate(site.entries):
        lines = [line["source"] for line in entry.log_lines("feed source changed")
                 if line["kind"] == "servers"]
        found[number] = lines[-1] if lines else "store"
    return found


def is_settled(site):
    return sum(source != "store" for source in sources(site).values()) == FRONTS - WATCHERS


def send_requests(site, number, until):
    while time.monotonic() < until:
        try:
            site.get("/safe/a", entry=number)
        except OSError:
            pass
        time.sleep(0.03)


def play(site):
    for service, stage in (("plain", None), ("plain", None), ("plain", None),
                           ("model", "prefill"), ("model", "decode")):
        site.add_replica(service, stage=stage)
    site.configure(1)
    site.start()
    platform_site.wait_for(lambda: is_settled(site), "the entries to choose their watchers", 30)
    time.sleep(4)  # All machines are in touch.
    followed = sources(site)
    watchers = [number for number, source in followed.items() if source == "store"]
    lost = watchers if TROUBLE else []
    others = [number for number in range(FRONTS) if number not in watchers]
    note(f"watchers: {watchers}; these lose power: {lost}; requests go to {others}")
    removed = site.replicas_of("plain")[0]
    until = time.monotonic() + 1 + PLAY_S
    callers = [threading.Thread(target=send_requests, args=(site, number, until))
               for number in others]
    for caller in callers:
        caller.start()
    time.sleep(1)
    site.add_replica("plain")
    time.sleep(CHANGE_BEFORE_S)
    for number in lost:
        entry = site.entries[number]
        entry.process.send_signal(signal.SIGSTOP)
        site.run_on_loop(entry.peer_link.lose_power)
        site.run_on_loop(entry.store_link.lose_power)
    time.sleep(0.05)
    site.run_on_loop(site.store.remove, "servers", removed.id)
    removed_at = time.monotonic()
    note(f"the store has removed {removed.id}")
    time.sleep(DARK_S - 0.05)
    for number in lost:
        entry = site.entries[number]
        entry.process.kill()
        entry.process.wait()
        site.run_coroutine(entry.peer_link.regain_power())
        site.run_coroutine(entry.store_link.regain_power())
        entry.start()
    note(f"power is back after {DARK_S} s: {lost}")
    for caller in callers:
        caller.join()
    late = [request for request in removed.requests
            if not request.target.startswith("/v1/")
            and request.arrived - removed_at > DRAIN_S]
    last = max((request.arrived for request in removed.requests), default=removed_at)
    note(f"requests at {removed.id}: {len(removed.requests)}; the last came "
         f"{last - removed_at:.3f} s after its removal; {len(late)} after {DRAIN_S} s")
    for request in late[:20]:
        note(f"  {request.id} reached {removed.id} {request.arrived - removed_at:.3f} s after")
    for number in others:
        for line in site.entries[number].log_lines("relay failed"):
            if line["kind"] == "servers":
                note(f"  entry {number} failed to follow {line['peer']}: {line['reason']}")
        for line in site.entries[number].log_lines("backend server gone"):
            note(f"  entry {number} learned it: {line['server']} after_outage "
                 f"{line['after_outage']}")
    return 1 if late else 0


def main():
    code = 2
    platform_site.Link = PowerLink
    platform_site.Entry.start = start_as_deployed
    with tempfile.TemporaryDirectory() as directory:
        site = platform_site.Site(os.path.join(ROOT, "target"), directory, entries=FRONTS,
                                  grace_ms=8000)
        site.link_bytes_per_s = LINK_BYTES_PER_S
        site.store.era = 0  # The pages in force know no eras.
        try:
            code = play(site)
        except Exception as fault:  # pylint: disable=broad-except
            note(f"could not run: {fault!r}")
        finally:
            for process in started:
                process.kill()
                process.wait()
            site.close()
    note(f"exit {code}")
    with open(os.path.join(FOLDER, "record.txt"), "w", encoding="utf-8") as file:
        file.write("\n".join(record) + "\n")
    return code


BEGAN = time.monotonic()
if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)  # Threads of the stand-ins don't hold the end.

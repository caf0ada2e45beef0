"""Silences open connections permanently while new connections work.

Guards against streams that hang on a silent connection, and against giving up the server
behind it instead of resuming the streams over new connections.
"""

import json
import os
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

REQUESTS = 10
STEP_MS = 100
SILENCE_MS = 1_000
SLOTS = 20


class SilentRelay:
    """Relays connections to a port; can discard all further bytes of the open ones."""

    def __init__(self, port):
        self.target_port = port
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.silent = threading.Event()
        self.accepted_count = 0
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            caller, _ = self.listener.accept()
            self.accepted_count += 1
            server = socket.create_connection(("127.0.0.1", self.target_port))
            silent = self.silent
            for source, destination in ((caller, server), (server, caller)):
                threading.Thread(target=self.relay_bytes, args=(source, destination, silent),
                                 daemon=True).start()

    @staticmethod
    def relay_bytes(source, destination, silent):
        try:
            while data := source.recv(65536):
                if not silent.is_set():
                    destination.sendall(data)
            if not silent.is_set():
                destination.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def silence_open_connections(self):
        """Discards all further bytes of the open connections; later connections work."""
        previous, self.silent = self.silent, threading.Event()
        previous.set()


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def publish_vms_with_relay(fleet, name, relay):
    vms = [{"name": agent, "role": "agent", "failure_domain": domain, "leaving": False,
            "address": "127.0.0.1:" + str(relay.port if agent == name
                                          else fleet.processes[agent].port)}
           for agent, _, domain in fleet.agents]
    vms += [{"name": entry, "role": "entry", "failure_domain": fleet.domains[0],
             "leaving": False, "address": f"127.0.0.1:{fleet.processes[entry].port}"}
            for entry in fleet.entries]
    call_http("PUT", fleet.platform_url() + "/admin/vms", json.dumps(vms))


def await_relay(fleet, relay):
    """Waits for a request through the relay, because the platform's list is delayed."""
    body = json.dumps({"model": "drafter", "prompt": "through?", "max_tokens": 1})
    headers = {"Authorization": "Bearer " + fleet.keys["oshana"]}

    def request_is_relayed():
        call_http("POST", fleet.entry_urls()[0] + "/v1/completions", body, headers)
        return relay.accepted_count > 0

    wait_for(request_is_relayed, "a request through the relay", 10)


def start_load(fleet, seed):
    path = os.path.join(fleet.directory, "addresses.json")
    with open(path, "w") as file:
        json.dump({"entries": fleet.entry_urls(), "keys": fleet.keys}, file)
    command = [fleet.program_path("load"), "--addresses", path, "--requests", str(REQUESTS),
               "--concurrency", str(REQUESTS), "--booking-share", "0",
               "--output-tokens", "30", "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def read_counter(url, name):
    text = call_http("GET", url + "/metrics")[2].decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith(name + " "))


def test_silent(fleet, name, relay):
    """There is only one decode agent, so the streams must be resumed at the same agent."""
    url = fleet.entry_urls()[0]
    load = start_load(fleet, 5)
    wait_for(lambda: fleet.agent_load(name)["used"] >= REQUESTS / 2, "the streams to start", 10)
    time.sleep(3 * STEP_MS / 1000)
    relay.silence_open_connections()
    outcome = json.loads(load.communicate(timeout=30)[0])
    check(outcome["whole"] == REQUESTS, outcome)
    check(read_counter(url, "agateseam_streams_silent_total") > 0,
          "no silent stream was detected")
    check(read_counter(url, "agateseam_resumed_total") > 0, "no stream was resumed")


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-silence"), entries=1, prefill=1, decode=1,
               services=1, limits={"silence_ms": SILENCE_MS},
               engine_options=("--step-ms", str(STEP_MS))) as fleet:
        relay = SilentRelay(fleet.processes["decode-1"].port)
        publish_vms_with_relay(fleet, "decode-1", relay)
        fleet.configure(("oshana",))
        await_relay(fleet, relay)
        test_silent(fleet, "decode-1", relay)
        wait_for(lambda: fleet.occupied_slots() == 0, "all slots to be free", 10)


if __name__ == "__main__":
    main()

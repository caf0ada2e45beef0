"""Planned stops cut no request; a second signal and the deadline do, and say so."""

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

REQUESTS = 40
LINGER_MS = 800
DRAIN_MS = 4_000
STEP_MS = 80
SERVICE_MS = 500
SPREAD = 64  # tokens by which the answers of the stand-in differ


def long_prompt():
    """Returns a prompt whose answer lasts past the drain's deadline."""
    for number in range(10_000):
        prompt = f"drain {number}"
        if int(hashlib.sha256(prompt.encode()).hexdigest()[:4], 16) % SPREAD > SPREAD - 10:
            return prompt
    raise AssertionError("no long prompt")


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def start_load(fleet, entries, seed):
    path = os.path.join(fleet.directory, f"addresses-{seed}.json")
    with open(path, "w") as file:
        json.dump({"entries": entries, "keys": fleet.keys}, file)
    command = [fleet.program_path("load"), "--addresses", path, "--requests", str(REQUESTS),
               "--concurrency", str(REQUESTS), "--booking-share", "0.2",
               "--output-tokens", "20", "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def check_whole(load, what):
    outcome = json.loads(load.communicate(timeout=30)[0])
    check(outcome["whole"] == REQUESTS, f"{what}: {outcome}")


def completion(fleet, url, tokens):
    body = json.dumps({"model": "drafter", "prompt": "drain", "max_tokens": tokens})
    return call_http("POST", url + "/v1/completions", body,
                {"Authorization": "Bearer " + fleet.keys["oshana"]})


def open_requests(url):
    text = call_http("GET", url + "/metrics")[2].decode()
    return [int(float(line.split()[1])) for line in text.splitlines()
            if line.startswith("agateseam_requests_open ")][0]


def test_entry(fleet):
    """Not ready at once, listening for the settable while, then no request cut."""
    entry, url = fleet.processes["entry-1"], fleet.entry_urls()[0]
    load = start_load(fleet, [url], 1)
    wait_for(lambda: open_requests(url) >= REQUESTS / 2, "open requests", 5)
    entry.request_stop()
    wait_for(lambda: call_http("GET", url + "/readyz")[0] == 503, "not to be ready", 1)
    check(completion(fleet, url, 1)[0] == 200, "a late request was not served")
    check_whole(load, "entry drained")
    check(entry.child.wait(DRAIN_MS / 1000 + 2) == 0, "the entry's exit code")


def test_agent(fleet, name, seed):
    url = fleet.entry_urls()[1]
    load = start_load(fleet, [url], seed)
    wait_for(lambda: fleet.agent_load(name)["used"] > 0, f"work at {name}", 5)
    fleet.processes[name].request_stop()
    check_whole(load, f"{name} drained")
    check(fleet.processes[name].child.wait(DRAIN_MS / 1000 + 2) == 0, f"{name}'s exit code")


class Stream:
    """A caller with a long streamed answer."""

    def __init__(self, fleet, port):
        body = json.dumps({"model": "drafter", "prompt": long_prompt(), "stream": True,
                           "max_tokens": 4000})
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=15)
        self.socket.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                             f"Bearer {fleet.keys['oshana']}\r\nContent-Length: {len(body)}"
                             f"\r\n\r\n{body}").encode())
        self.got = b""
        while b"data:" not in self.got:
            self.got += self.socket.recv(65536)

    def is_cut(self):
        """Reads to the end; tells whether the answer lacks its proper end."""
        try:
            while True:
                part = self.socket.recv(65536)
                if not part:
                    break
                self.got += part
        except ConnectionError:
            pass
        return b"[DONE]" not in self.got and not self.got.endswith(b"0\r\n\r\n")


def check_cut(process, stream):
    check(process.child.wait(DRAIN_MS / 1000 + 2) == 1, f"{process.name}'s exit code")
    check(stream.is_cut(), f"a cut stream had a proper end: {stream.got[-300:]}")
    stopped = [json.loads(line) for line in process.current_log_lines() if '"stopped"' in line]
    check(stopped and stopped[-1]["requests_cut"] >= 1, f"logged: {stopped}")


def test_second_signal(fleet):
    entry = fleet.processes["entry-2"]
    stream = Stream(fleet, entry.port)
    entry.request_stop()
    time.sleep(0.2)
    check(entry.child.poll() is None, "the entry did not wait for its stream")
    entry.send_signal(signal.SIGTERM)
    check_cut(entry, stream)


def test_deadline(fleet):
    entry = fleet.processes["entry-3"]
    stream = Stream(fleet, entry.port)
    entry.request_stop()
    check_cut(entry, stream)


def main():
    build = sys.argv[1]
    limits = {"linger_ms": LINGER_MS, "drain_ms": DRAIN_MS}
    with Fleet(build, os.path.join(build, "test-drain"), entries=3, prefill=1, decode=3,
               services=2, limits=limits,
               engine_options=("--step-ms", str(STEP_MS)),
               service_options=("--delay-ms", str(SERVICE_MS))) as fleet:
        fleet.configure(("oshana",))
        test_entry(fleet)
        test_agent(fleet, "decode-1", 2)
        test_agent(fleet, "service-1", 3)
        test_deadline(fleet)
        test_second_signal(fleet)


if __name__ == "__main__":
    main()

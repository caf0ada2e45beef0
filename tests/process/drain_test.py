"""Stops entries and agents with SIGTERM.

Guards against requests that a planned stop cuts, and against a second signal or a passed drain
deadline that does not end the remaining requests, exit with code 1 and log their number.
"""

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

REQUESTS = 40
LINGER_MS = 800
DRAIN_MS = 4_000
STEP_MS = 80
SERVICE_DELAY_MS = 500
ANSWER_LENGTH_RANGE_TOKENS = 64  # of the stand-in


def prompt_with_long_answer():
    """Returns a prompt whose answer takes longer than the drain deadline."""
    for number in range(10_000):
        prompt = f"drain {number}"
        if int(hashlib.sha256(prompt.encode()).hexdigest()[:4],
               16) % ANSWER_LENGTH_RANGE_TOKENS > ANSWER_LENGTH_RANGE_TOKENS - 10:
            return prompt
    raise AssertionError("no prompt with a long answer found")


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def start_load(fleet, entries, seed):
    path = os.path.join(fleet.directory, f"addresses-{seed}.json")
    with open(path, "w") as file:
        json.dump({"entries": entries, "keys": fleet.keys}, file)
    command = [fleet.program_path("load"), "--addresses", path, "--requests", str(REQUESTS),
               "--concurrency", str(REQUESTS), "--booking-share", "0.2",
               "--output-tokens", "20", "--seed", str(seed)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def check_whole(load, message):
    outcome = json.loads(load.communicate(timeout=30)[0])
    check(outcome["whole"] == REQUESTS, f"{message}: {outcome}")


def send_completion(fleet, url, max_tokens):
    body = json.dumps({"model": "drafter", "prompt": "drain", "max_tokens": max_tokens})
    return call_http("POST", url + "/v1/completions", body,
                     {"Authorization": "Bearer " + fleet.keys["oshana"]})


def open_requests(url):
    text = call_http("GET", url + "/metrics")[2].decode()
    return [int(float(line.split()[1])) for line in text.splitlines()
            if line.startswith("agateseam_requests_open ")][0]


def test_entry(fleet):
    """The entry reports not ready at once, keeps serving, and cuts no request."""
    entry, url = fleet.processes["entry-1"], fleet.entry_urls()[0]
    load = start_load(fleet, [url], 1)
    wait_for(lambda: open_requests(url) >= REQUESTS / 2, "open requests", 5)
    entry.request_stop()
    wait_for(lambda: call_http("GET", url + "/readyz")[0] == 503, "the entry to report not ready",
             1)
    check(send_completion(fleet, url, 1)[0] == 200, "a late request was not served")
    check_whole(load, "entry drained")
    check(entry.child.wait(DRAIN_MS / 1000 + 2) == 0, "the entry's exit code is not 0")


def test_agent(fleet, name, seed):
    url = fleet.entry_urls()[1]
    load = start_load(fleet, [url], seed)
    wait_for(lambda: fleet.agent_load(name)["used"] > 0, f"work at {name}", 5)
    fleet.processes[name].request_stop()
    check_whole(load, f"{name} drained")
    check(fleet.processes[name].child.wait(DRAIN_MS / 1000 + 2) == 0,
          f"{name}'s exit code is not 0")


class Stream:
    """A caller that receives a long streamed answer."""

    def __init__(self, fleet, port):
        body = json.dumps({"model": "drafter", "prompt": prompt_with_long_answer(),
                           "stream": True,
                           "max_tokens": 4000})
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=15)
        self.socket.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                             f"Bearer {fleet.keys['oshana']}\r\nContent-Length: {len(body)}"
                             f"\r\n\r\n{body}").encode())
        self.received = b""
        while b"data:" not in self.received:
            self.received += self.socket.recv(65536)

    def is_truncated(self):
        """Reads until the connection closes and returns whether the answer is incomplete."""
        try:
            while True:
                received_part = self.socket.recv(65536)
                if not received_part:
                    break
                self.received += received_part
        except ConnectionError:
            pass
        return b"[DONE]" not in self.received and not self.received.endswith(b"0\r\n\r\n")


def check_truncated(process, stream):
    check(process.child.wait(DRAIN_MS / 1000 + 2) == 1, f"{process.name}'s exit code is not 1")
    check(stream.is_truncated(), f"the stream was not truncated: {stream.received[-300:]}")
    stopped = [json.loads(line) for line in process.current_log_lines() if '"stopped"' in line]
    check(stopped and stopped[-1]["requests_cut"] >= 1,
          f"the cut requests were not logged: {stopped}")


def test_second_signal(fleet):
    entry = fleet.processes["entry-2"]
    stream = Stream(fleet, entry.port)
    entry.request_stop()
    time.sleep(0.2)
    check(entry.child.poll() is None, "the entry did not wait for its stream")
    entry.send_signal(signal.SIGTERM)
    check_truncated(entry, stream)


def test_deadline(fleet):
    entry = fleet.processes["entry-3"]
    stream = Stream(fleet, entry.port)
    entry.request_stop()
    check_truncated(entry, stream)


def test_deadline_answers_a_call(fleet):
    """A call that is open at the drain deadline is answered, as a run of unknown outcome."""
    entry, backend = fleet.processes["entry-4"], fleet.backends["service-2"]
    backend.send_signal(signal.SIGSTOP)
    answers = []

    def send_call():
        try:
            status, headers, _ = call_http("POST", fleet.entry_urls()[3] + "/booking/open", "{}",
                                           {"Authorization": "Bearer " + fleet.keys["oshana"]})
            answers.append((status, headers.get("x-agateseam-run")))
        except OSError as error:
            answers.append(error)

    caller = threading.Thread(target=send_call)
    caller.start()
    wait_for(lambda: fleet.agent_load("service-2")["used"] == 1, "the call at service-2", 5)
    entry.request_stop()
    caller.join()
    backend.send_signal(signal.SIGCONT)
    check(answers == [(502, "unknown")], f"unexpected answer at the deadline: {answers}")
    check(entry.child.wait(2) == 1, "the entry's exit code is not 1")


def main():
    build = sys.argv[1]
    limits = {"linger_ms": LINGER_MS, "drain_ms": DRAIN_MS}
    with Fleet(build, os.path.join(build, "test-drain"), entries=4, prefill=1, decode=3,
               services=2, limits=limits,
               engine_options=("--step-ms", str(STEP_MS)),
               service_options=("--delay-ms", str(SERVICE_DELAY_MS))) as fleet:
        fleet.configure(("oshana",))
        test_entry(fleet)
        test_agent(fleet, "decode-1", 2)
        test_agent(fleet, "service-1", 3)
        test_deadline(fleet)
        test_deadline_answers_a_call(fleet)
        test_second_signal(fleet)


if __name__ == "__main__":
    main()

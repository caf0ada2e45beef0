"""Tests that a stream keeps a silent attempt that can still go on until another one has replaced it.

Connections between an entry and an agent are held up and let go later, or an engine pauses.
"""

import json
import os
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from answers import expected_answer, natural_length  # noqa: E402
from answers import prompt_seed, token_text  # noqa: E402
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402
from silence_test import publish_vms_with_relay  # noqa: E402

STEP_MS = 100
SILENCE_MS = 1_000
PAUSE_S = 2.2  # Longer than it takes to notice a silence, shorter than a lease lasts.
OUTPUT_TOKENS = 50
TOKENS_BEFORE = 4  # That the caller has received when the silence begins.
SAVED_RETRIES = 100  # That a retry budget holds at start.
DRAINING_CALLERS = 10


class HoldingRelay:
    """Relays connections to a port; can keep back the bytes of the open ones and release them."""

    def __init__(self, port):
        self.target_port = port
        self.flow = threading.Event()  # Of the connections that are accepted from now on.
        self.flow.set()
        self.accepted_count = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            caller, _ = self.listener.accept()
            self.accepted_count += 1
            server = socket.create_connection(("127.0.0.1", self.target_port))
            for source, destination in ((caller, server), (server, caller)):
                threading.Thread(target=self.relay_bytes, args=(source, destination, self.flow),
                                 daemon=True).start()

    @staticmethod
    def relay_bytes(source, destination, flow):
        """The end of a connection is kept back as its bytes are."""
        try:
            data = b"begin"
            while data:
                data = source.recv(65536)
                flow.wait()
                if data:
                    destination.sendall(data)
                else:
                    destination.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, destination):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # It has ended already.

    def hold_open_connections(self):
        """Returns the event that releases them; later connections work."""
        held, flow = self.flow, threading.Event()
        flow.set()
        self.flow = flow
        held.clear()
        return held


class Stream:
    """One streamed completion, whose tokens a thread collects."""

    def __init__(self, fleet, prompt):
        self.prompt, self.tokens, self.ids, self.done, self.error = prompt, [], set(), False, None
        body = json.dumps({"model": "drafter", "prompt": prompt, "stream": True,
                           "max_tokens": OUTPUT_TOKENS})
        port = fleet.processes["entry-1"].port
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=30)
        self.socket.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                             f"Authorization: Bearer {fleet.keys['oshana']}\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        self.thread = threading.Thread(target=self.collect, daemon=True)
        self.thread.start()

    def collect(self):
        lines = self.socket.makefile("rb")
        try:
            for line in lines:
                self.take_line(line.strip())
        except OSError as error:
            self.error = str(error)

    def take_line(self, line):
        if line == b"data: [DONE]":
            self.done = True
        elif line.startswith(b"data: {"):
            event = json.loads(line[6:])
            if "error" in event:
                self.error = event["error"]
                return
            self.ids.add(event["id"])
            if event["choices"] and event["choices"][0]["text"]:
                self.tokens.append(event["choices"][0]["text"])

    def await_tokens(self, count):
        wait_for(lambda: len(self.tokens) >= count, f"{count} tokens", 10)

    def close(self):
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def check_whole(self):
        self.thread.join(20)
        seed = prompt_seed(self.prompt)
        length = expected_answer(self.prompt, OUTPUT_TOKENS)[1]
        expected = [token_text(seed, index) for index in range(length)]
        indices = [expected.index(token) if token in expected else "?" for token in self.tokens]
        check(self.tokens == expected and self.done,
              f"tokens {indices} of {length}, done: {self.done}, ids: {self.ids}", self.error)
        check(len(self.ids) == 1, self.ids)


class SilentFleet(Fleet):
    """A fleet of one entry whose connections to decode-1 go through a relay."""

    def __init__(self, build, test, decode=1, engine_options=(), backend=None, **limits):
        self.backend_members = backend or {}
        super().__init__(build, os.path.join(build, "test-silent-attempt", test), entries=1,
                         prefill=1, decode=decode, services=0,
                         limits={"silence_ms": SILENCE_MS, **limits},
                         engine_options=("--step-ms", str(STEP_MS), *engine_options))
        self.relay = None

    def launch_daemon(self, name, content):
        if name.startswith("decode"):
            content["backend"].update(self.backend_members)
        return super().launch_daemon(name, content)

    def start(self):
        super().start()
        self.relay = HoldingRelay(self.processes["decode-1"].port)
        publish_vms_with_relay(self, "decode-1", self.relay)
        self.configure(("oshana",))
        wait_for(lambda: self.relay.accepted_count > 0, "a connection through the relay", 10)
        return self

    def start_stream(self, number=0):
        stream = Stream(self, prompt_with_long_answer(number))
        stream.await_tokens(TOKENS_BEFORE)
        return stream

    def freeze_engine(self, name, frozen):
        """A frozen engine answers, but produces no tokens."""
        url = f"http://127.0.0.1:{self.backends[name].port}/admin/faults"
        check(call_http("PUT", url, json.dumps({"freeze": frozen}))[0] == 200, "not set")

    def engine_requests(self, name):
        url = f"http://127.0.0.1:{self.backends[name].port}/requests"
        return len(json.loads(call_http("GET", url)[2]))

    def counter(self, name):
        text = call_http("GET", self.entry_urls()[0] + "/metrics")[2].decode()
        return sum(float(line.split()[1]) for line in text.splitlines()
                   if line.startswith(name + " "))

    def drain_agent(self, name):
        """The agent goes on with its attempts, and refuses new ones."""
        headers = {"x-agateseam-fleet": FLEET_SECRET}
        status = call_http("POST", self.agent_url(name) + "/agent/drain", "", headers)[0]
        check(status == 200, status)

    def spend_retries(self):
        """Sends requests that the engine refuses, as its only slot is taken, until the retry
        budget is empty."""
        def spend():
            while self.counter("agateseam_retries_refused_total") == 0:
                body = json.dumps({"model": "drafter", "prompt": "spend", "max_tokens": 1})
                call_http("POST", self.entry_urls()[0] + "/v1/completions", body,
                          {"Authorization": "Bearer " + self.keys["oshana"]})
        callers = [threading.Thread(target=spend) for _ in range(DRAINING_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def check_slots_become_free(self):
        wait_for(lambda: self.occupied_slots() == 0, "all slots to be free", 5)


# Engines with one slot refuse every further request, which spends the retries.
ONE_SLOT = ("--slots", "1")


def check(condition, *details):
    if not condition:
        raise AssertionError(*details)


def prompt_with_long_answer(start):
    return next(prompt for prompt in (f"silent {number}" for number in range(start, start + 9999))
                if natural_length(prompt_seed(prompt)) >= OUTPUT_TOKENS)


def hold_up(fleet):
    held = fleet.relay.hold_open_connections()
    time.sleep(PAUSE_S)
    held.set()


def pause_engine(fleet):
    fleet.freeze_engine("decode-1", True)
    time.sleep(PAUSE_S)
    fleet.freeze_engine("decode-1", False)


def test_a_held_up_stream_goes_on_when_no_retry_is_left(build, name):
    with SilentFleet(build, name, engine_options=ONE_SLOT, retry_ratio=0) as fleet:
        stream = fleet.start_stream()
        fleet.spend_retries()
        hold_up(fleet)
        stream.check_whole()
        fleet.check_slots_become_free()


def test_a_stream_of_a_paused_engine_goes_on_when_no_retry_is_left(build, name):
    with SilentFleet(build, name, engine_options=ONE_SLOT, retry_ratio=0) as fleet:
        stream = fleet.start_stream()
        fleet.spend_retries()
        pause_engine(fleet)
        stream.check_whole()
        fleet.check_slots_become_free()


def main():
    build = sys.argv[1]
    tests = {name: test for name, test in globals().items() if name.startswith("test_")}
    failed = []
    for name in sys.argv[2:] or tests:
        started_at = time.monotonic()
        try:
            tests[name](build, name)
            print("ok", name, f"{time.monotonic() - started_at:.1f} s", flush=True)
        except (AssertionError, OSError, RuntimeError):
            traceback.print_exc()
            print("FAILED", name, f"{time.monotonic() - started_at:.1f} s", flush=True)
            failed.append(name)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

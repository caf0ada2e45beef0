"""Silences attempts that can still go on, while nothing, or something slow, can replace them.

Guards against streams that are cut because the entry or the agent ended a silent attempt before
another one had gone on with the stream, and against two attempts that both go on.
"""

import concurrent.futures
import json
import os
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from answers import count_tokens, natural_length, prompt_seed, token_text  # noqa: E402
from fleet import FLEET_SECRET, Fleet, call_http, wait_for  # noqa: E402
from usage_test import await_stable_usage  # noqa: E402

STEP_MS = 100
REQUEST_MS = 5_000  # In which a request must have ended, where this is set.
SILENCE_MS = 1_000
PAUSE_S = 2.2  # Longer than it takes to notice a silence, shorter than a lease lasts.
MAX_REPLACEMENT_S = 3  # From the beginning of a silence to the next token.
MAX_OVERLAP_S = 1.5  # Of two attempts' work on one request.
MAX_LEAVING_S = 1.5  # From a caller's leaving to the end of its attempts.
OUTPUT_TOKENS = 40
MAX_TOKENS = 65  # More than the answers have, so that a double charge fits in a reservation.
ALLOWANCE_TOKENS = 140
SMALL_REQUEST_TOKENS = 2  # One of the prompt and one of the answer.
UNSHARED_TOKENS = 8  # A few can't be had without a silence either.
TOKENS_BEFORE = 4  # That the caller has received when the silence begins.
SPENDING_CALLERS = 10  # That spend a retry budget together.
CASES_AT_ONCE = 5  # They wait most of the time.
# Engines with one slot refuse further requests.
ONE_SLOT = ("--slots", "1")


def check(condition, *details):
    if not condition:
        raise AssertionError(*details)


def prompt_of_answers():
    return next(prompt for prompt in (f"silent {number}" for number in range(10_000))
                if natural_length(prompt_seed(prompt)) == OUTPUT_TOKENS)


class HoldingRelay:
    """Relays connections to a port; can keep back the bytes of the open ones and release them.
    It can do so once: connections that have been released are not held again."""

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
        self.status_line = None
        body = json.dumps({"model": "drafter", "prompt": prompt, "stream": True,
                           "max_tokens": MAX_TOKENS})
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
            self.status_line = lines.readline().strip().decode()
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
        """Each token has come once and in order, then the proper end."""
        self.thread.join(20)
        seed = prompt_seed(self.prompt)
        expected = [token_text(seed, index) for index in range(OUTPUT_TOKENS)]
        indices = [expected.index(token) if token in expected else "?" for token in self.tokens]
        check(self.tokens == expected and self.done and len(self.ids) == 1,
              f"tokens {indices} of {OUTPUT_TOKENS}, done: {self.done}, ids: {self.ids}",
              self.status_line, self.error)


class SilentFleet(Fleet):
    """A fleet of one entry whose connections to the decode agents go through relays."""

    def __init__(self, build, case, decode=1, engine_options=(), backend=None, **limits):
        self.backend_members = backend or {}
        self.relays = {}
        super().__init__(build, os.path.join(build, "test-silent-attempt", case), entries=1,
                         prefill=1, decode=decode, services=0,
                         limits={"silence_ms": SILENCE_MS, "usage_flush_ms": 200, **limits},
                         engine_options=("--step-ms", str(STEP_MS), *engine_options))

    def launch_daemon(self, name, content):
        if name.startswith("decode"):
            content["backend"].update(self.backend_members)
        return super().launch_daemon(name, content)

    def start(self):
        super().start()
        self.relays = {name: HoldingRelay(self.processes[name].port)
                       for name in self.decode_agents()}
        self.publish_vms()
        self.configure(("oshana",))
        wait_for(lambda: all(relay.accepted_count > 0 for relay in self.relays.values()),
                 "connections through the relays", 10)
        return self

    def decode_agents(self):
        return [name for name, kind, _ in self.agents if kind == "decode"]

    def publish_vms(self, leaving=(), gone=()):
        vms = [{"name": name, "role": "agent", "failure_domain": domain, "leaving": False,
                "address": f"127.0.0.1:{self.relays.get(name, self.processes[name]).port}"}
               for name, _, domain in self.agents]
        vms += [{"name": name, "role": "entry", "failure_domain": self.domains[0],
                 "leaving": False, "address": f"127.0.0.1:{self.processes[name].port}"}
                for name in self.entries if self.processes[name].port]
        call_http("PUT", self.platform_url() + "/admin/vms", json.dumps(vms))

    def start_stream(self):
        """Returns a running stream, the agent that it's at, and the other decode agent if any."""
        stream = Stream(self, prompt_of_answers())
        stream.await_tokens(TOKENS_BEFORE)
        used = [name for name in self.decode_agents() if self.agent_load(name)["used"]]
        check(len(used) == 1, used)
        others = [name for name in self.decode_agents() if name not in used]
        return stream, used[0], others[0] if others else None

    def backend_url(self, name):
        return f"http://127.0.0.1:{self.backends[name].port}"

    def freeze_engine(self, name, frozen=True):
        """A frozen engine takes requests, but produces no tokens."""
        status = call_http("PUT", self.backend_url(name) + "/admin/faults",
                           json.dumps({"freeze": frozen}))[0]
        check(status == 200, status)

    def count_engine_requests(self, *names):
        return sum(len(json.loads(call_http("GET", self.backend_url(name) + "/requests")[2]))
                   for name in names)

    def occupy_engine(self, name):
        """Sends a request directly to an engine with one slot, so that it refuses others."""
        def send():
            try:
                call_http("POST", self.backend_url(name) + "/v1/completions",
                          json.dumps({"prompt": prompt_of_answers()}),
                          {"x-request-id": "other.1"}, timeout=20)
            except OSError:
                pass  # The fleet has been stopped.
        self.freeze_engine(name)  # So that the request doesn't end.
        threading.Thread(target=send, daemon=True).start()
        wait_for(lambda: self.count_engine_requests(name) == 1, "the engine to be occupied", 5)

    def drain_agent(self, name):
        """A draining agent goes on with its attempts and refuses new ones."""
        status = call_http("POST", self.agent_url(name) + "/agent/drain", "",
                           {"x-agateseam-fleet": FLEET_SECRET})[0]
        check(status == 200, status)

    def complete(self):
        return call_http("POST", self.entry_urls()[0] + "/v1/completions",
                         json.dumps({"model": "drafter", "prompt": "one", "max_tokens": 1}),
                         {"Authorization": "Bearer " + self.keys["oshana"]})

    def counter(self, name):
        text = call_http("GET", self.entry_urls()[0] + "/metrics")[2].decode()
        return sum(float(line.split()[1]) for line in text.splitlines()
                   if line.startswith(name + " "))

    def spend_retries(self):
        """Sends requests that the engine refuses until the retry budget is empty."""
        def spend():
            while self.counter("agateseam_retries_refused_total") == 0:
                self.complete()
        callers = [threading.Thread(target=spend) for _ in range(SPENDING_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def set_allowance(self, tokens):
        """Cuts the workspace's allowance, which is full, down to a level at which it stays."""
        self.run_cli("workspace", "set", "oshana", "--rate", "0.01", "--burst", str(tokens))
        time.sleep(1)

    def spend_allowance(self):
        """Sends small requests until none has been admitted for a while; returns their tokens."""
        admitted, last_at = 0, time.monotonic()
        while time.monotonic() - last_at < 2:
            if self.complete()[0] == 200:
                admitted, last_at = admitted + 1, time.monotonic()
            else:
                time.sleep(0.02)
        return admitted * SMALL_REQUEST_TOKENS

    def await_nothing_held(self, timeout_s=5):
        names = [name for name, _, _ in self.agents]
        wait_for(lambda: self.occupied_slots() == 0, "all slots to be free", timeout_s)
        wait_for(lambda: self.count_engine_requests(*names) == 0, "the engines to be idle", 1)


class HeldUpConnections:
    """Keeps back all bytes between the entry and an agent on the connections that are open."""

    def __init__(self, fleet, name):
        self.held = fleet.relays[name].hold_open_connections()

    def end(self):
        self.held.set()


class PausedEngine:
    """Pauses the engine of an agent; the agent still sends heartbeats to the entry."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        fleet.freeze_engine(name)

    def end(self):
        self.fleet.freeze_engine(self.name, False)


def check_goes_on_after(silence, fleet, stream, name):
    """A stream that nothing can replace goes on after a passing silence."""
    passing = silence(fleet, name)
    time.sleep(PAUSE_S)
    passing.end()
    stream.check_whole()


def test_a_silent_stream_outlives_a_spent_retry_budget(build, case, silence):
    with SilentFleet(build, case, engine_options=ONE_SLOT, retry_ratio=0) as fleet:
        stream, name, _ = fleet.start_stream()
        fleet.spend_retries()
        check_goes_on_after(silence, fleet, stream, name)
        fleet.await_nothing_held()


def test_a_silent_stream_outlives_its_only_attempt(build, case, silence):
    with SilentFleet(build, case, attempts=1) as fleet:
        stream, name, _ = fleet.start_stream()
        check_goes_on_after(silence, fleet, stream, name)
        fleet.await_nothing_held()


def test_a_silent_stream_outlives_agents_that_take_no_orders(build, case, silence):
    with SilentFleet(build, case) as fleet:
        stream, name, _ = fleet.start_stream()
        fleet.drain_agent(name)
        check_goes_on_after(silence, fleet, stream, name)
        fleet.await_nothing_held()


def test_a_silent_stream_outlives_an_agent_whose_queue_is_full(build, case, silence):
    with SilentFleet(build, case, backend={"slots": 1, "queue": 1}) as fleet:
        stream, name, _ = fleet.start_stream()
        waiting = Stream(fleet, stream.prompt)
        wait_for(lambda: fleet.agent_load(name)["queued"] == 1, "the queue to be full", 5)
        check_goes_on_after(silence, fleet, stream, name)
        waiting.check_whole()
        fleet.await_nothing_held()


def test_a_silent_stream_that_holds_the_only_slot_goes_on(build, case, silence):
    """Guards against a replacement that waits for the slot of the attempt that it replaces."""
    with SilentFleet(build, case, backend={"slots": 1}) as fleet:
        stream, name, _ = fleet.start_stream()
        check_goes_on_after(silence, fleet, stream, name)
        fleet.await_nothing_held()


def test_a_silent_stream_outlives_a_refused_replacement(build, case, silence):
    """The course of issue 67: a place is found at another agent, whose engine then refuses."""
    with SilentFleet(build, case, decode=2, engine_options=ONE_SLOT) as fleet:
        stream, name, other = fleet.start_stream()
        fleet.drain_agent(name)
        fleet.occupy_engine(other)
        check_goes_on_after(silence, fleet, stream, name)


def test_a_silent_stream_outlives_a_silent_replacement(build, case, silence):
    with SilentFleet(build, case, decode=2) as fleet:
        stream, name, other = fleet.start_stream()
        fleet.drain_agent(name)
        fleet.freeze_engine(other)
        passing = silence(fleet, name)
        wait_for(lambda: fleet.count_engine_requests(other) == 1, "the replacement", 5)
        time.sleep(PAUSE_S)
        passing.end()
        stream.check_whole()
        fleet.await_nothing_held()


def test_a_stream_that_goes_on_first_ends_its_replacement(build, case, silence):
    """Guards against a second attempt that runs on, and against tokens that come twice."""
    with SilentFleet(build, case, decode=2) as fleet:
        stream, name, other = fleet.start_stream()
        fleet.drain_agent(name)
        fleet.freeze_engine(other)
        passing = silence(fleet, name)
        wait_for(lambda: fleet.count_engine_requests(other) == 1, "the replacement", 5)
        count = len(stream.tokens)
        passing.end()
        wait_for(lambda: len(stream.tokens) > count, "the stream to go on", 5)
        wait_for(lambda: fleet.count_engine_requests(other) == 0, "the replacement's end",
                 MAX_OVERLAP_S)
        stream.check_whole()
        fleet.await_nothing_held()


def test_a_lasting_silence_is_followed_by_a_replacement(build, case, silence):
    """Guards against streams that hang, and against old attempts that run on."""
    with SilentFleet(build, case, decode=2) as fleet:
        stream, name, _ = fleet.start_stream()
        count = len(stream.tokens)
        silence(fleet, name)
        time.sleep(2 * STEP_MS / 1000)  # For tokens on their way.
        count = len(stream.tokens)
        wait_for(lambda: len(stream.tokens) > count, "the stream to go on", MAX_REPLACEMENT_S)
        wait_for(lambda: fleet.count_engine_requests(*fleet.decode_agents()) == 1,
                 "one attempt to be left", MAX_OVERLAP_S)
        stream.check_whole()
        fleet.await_nothing_held()


def test_a_lasting_silence_without_a_replacement_ends(build, case, silence):
    """Guards against streams that hang for good, and against slots that they hold."""
    with SilentFleet(build, case, attempts=1, request_ms=REQUEST_MS) as fleet:
        stream, name, _ = fleet.start_stream()
        silence(fleet, name)
        stream.thread.join(REQUEST_MS / 1000 + MAX_OVERLAP_S)
        check(not stream.thread.is_alive(), "the stream hangs")
        check(not stream.done and stream.error, stream.done, stream.error)
        fleet.await_nothing_held()


def test_a_replacement_at_the_same_agent_gets_the_only_slot(build, case):
    """Guards against a replacement that waits for the slot of the attempt that it replaces."""
    with SilentFleet(build, case, backend={"slots": 1}) as fleet:
        stream, name, _ = fleet.start_stream()
        HeldUpConnections(fleet, name)
        stream.check_whole()
        fleet.await_nothing_held()


def let_both_attempts_go_on(fleet, silence):
    """Ends a silence when the replacement has begun; returns the stream."""
    stream, name, other = fleet.start_stream()
    fleet.drain_agent(name)
    passing = silence(fleet, name)
    wait_for(lambda: fleet.count_engine_requests(other) == 1, "the replacement", 5)
    passing.end()
    return stream


def test_an_attempt_and_its_replacement_that_go_on_at_once(build, case, silence):
    """Guards against tokens that come twice or are left out, and against two attempts."""
    with SilentFleet(build, case, decode=2) as fleet:
        stream = let_both_attempts_go_on(fleet, silence)
        count = len(stream.tokens)
        wait_for(lambda: len(stream.tokens) > count, "the stream to go on", MAX_REPLACEMENT_S)
        wait_for(lambda: fleet.count_engine_requests(*fleet.decode_agents()) == 1,
                 "one attempt to be left", MAX_OVERLAP_S)
        stream.check_whole()
        fleet.await_nothing_held()


def check_charged_once(before, after, stream):
    charged = {field: after[field] - before.get(field, 0)
               for field in ("requests", "prompt_tokens", "output_tokens")}
    check(charged == {"requests": 1, "prompt_tokens": count_tokens(stream.prompt),
                      "output_tokens": OUTPUT_TOKENS}, charged)


def test_a_stream_of_two_attempts_is_charged_once(build, case, silence):
    """Compares the metered usage, and what a flood of small requests finds in the allowance."""
    with SilentFleet(build, case, decode=2) as fleet:
        fleet.set_allowance(ALLOWANCE_TOKENS)
        before = await_stable_usage(fleet)
        stream = let_both_attempts_go_on(fleet, silence)
        stream.check_whole()
        fleet.await_nothing_held()
        check_charged_once(before, await_stable_usage(fleet), stream)
        left = fleet.spend_allowance()
        expected = ALLOWANCE_TOKENS - count_tokens(stream.prompt) - OUTPUT_TOKENS
        check(abs(left - expected) <= UNSHARED_TOKENS, left, expected)


def test_late_bytes_of_a_replaced_attempt_do_no_harm(build, case):
    """Guards against tokens that come or are charged twice."""
    with SilentFleet(build, case, decode=2) as fleet:
        before = await_stable_usage(fleet)
        stream, name, _ = fleet.start_stream()
        passing = HeldUpConnections(fleet, name)
        time.sleep(2 * STEP_MS / 1000)  # For tokens on their way.
        count = len(stream.tokens)
        wait_for(lambda: len(stream.tokens) > count, "the stream to go on", MAX_REPLACEMENT_S)
        passing.end()
        stream.check_whole()
        fleet.await_nothing_held()
        check_charged_once(before, await_stable_usage(fleet), stream)


def test_a_caller_that_leaves_ends_both_attempts(build, case, silence):
    with SilentFleet(build, case, decode=2) as fleet:
        stream, name, other = fleet.start_stream()
        fleet.freeze_engine(other)
        fleet.drain_agent(name)
        silence(fleet, name)
        wait_for(lambda: fleet.count_engine_requests(other) == 1, "the replacement", 5)
        stream.close()
        fleet.await_nothing_held(MAX_LEAVING_S)


def test_an_answer_outlives_a_silence_before_its_first_token(build, case):
    with SilentFleet(build, case, engine_options=("--prefill-rate", "4"), attempts=1) as fleet:
        stream = Stream(fleet, prompt_of_answers())
        wait_for(lambda: fleet.count_engine_requests("prefill-1") == 1, "a running prefill", 5)
        check_goes_on_after(HeldUpConnections, fleet, stream, "decode-1")
        fleet.await_nothing_held()


def all_cases():
    """Returns (test, silence or None) of each case by its name."""
    cases = {}
    for name, test in globals().items():
        if not name.startswith("test_"):
            continue
        if "silence" in test.__code__.co_varnames[:test.__code__.co_argcount]:
            cases[name + ":held_up"] = (test, HeldUpConnections)
            cases[name + ":paused"] = (test, PausedEngine)
        else:
            cases[name] = (test, None)
    return cases


def run_case(build, case):
    test, silence = all_cases()[case]
    arguments = (build, case.replace(":", "-"))
    test(*arguments, silence) if silence else test(*arguments)


def run_case_apart(build, case):
    begun_at = time.monotonic()
    done = subprocess.run([sys.executable, os.path.abspath(__file__), build, case],
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=90)
    return case, done, time.monotonic() - begun_at


def main():
    build = sys.argv[1]
    if len(sys.argv) > 2:
        run_case(build, sys.argv[2])
        return 0
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(CASES_AT_ONCE) as pool:
        for case, done, seconds in pool.map(lambda case: run_case_apart(build, case), all_cases()):
            print("ok" if done.returncode == 0 else "FAILED", case, f"{seconds:.1f} s", flush=True)
            if done.returncode != 0:
                print(done.stdout, flush=True)
                failed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

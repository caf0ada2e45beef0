"""Disconnects callers and stops entries in each phase of a request.

Guards against work that continues at agents and engines after its caller or entry is gone.
"""

import hashlib
import json
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

ANSWER_LENGTH_RANGE_TOKENS = 64  # number of different lengths of the stand-in's answers
SLOTS = 20
STEP_MS = 200
# A long prompt takes two seconds to prefill and most of a second to transfer.
ENGINE_OPTIONS = ("--step-ms", str(STEP_MS), "--prefill-rate", "8000", "--link-rate", "20000")
LONG_PROMPT_BYTES = 64_000
CANCEL_TIMEOUT_S = 2.5
LEASE_TIMEOUT_S = 3 + 1 + 2.5  # lease lifetime 3, cancellation 2.5


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def prompt_with_long_answer(start):
    """Returns the first prompt from the number on whose answer is among the longest."""
    for number in range(start, start + 10_000):
        prompt = f"gone {number}"
        if int(hashlib.sha256(prompt.encode()).hexdigest()[:4],
               16) % ANSWER_LENGTH_RANGE_TOKENS > ANSWER_LENGTH_RANGE_TOKENS - 12:
            return prompt
    raise AssertionError("no prompt with a long answer found")


class Caller:
    """Sends a streamed request over a connection of its own, which a test can close."""

    def __init__(self, fleet, prompt, entry="entry-1"):
        body = json.dumps({"model": "drafter", "prompt": prompt, "stream": True,
                           "max_tokens": 80})
        self.received = b""
        self.socket = socket.create_connection(("127.0.0.1", fleet.processes[entry].port),
                                               timeout=30)
        self.socket.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                             f"Bearer {fleet.keys['oshana']}\r\nContent-Length: {len(body)}"
                             f"\r\n\r\n{body}").encode())

    def await_token(self):
        while b"data:" not in self.received:
            received_part = self.socket.recv(65536)
            check(received_part, f"the answer ended before its first token: {self.received}")
            self.received += received_part

    def read_all(self):
        while b"[DONE]" not in self.received:
            received_part = self.socket.recv(65536)
            check(received_part, "the stream was cut")
            self.received += received_part
        return self.received

    def close(self):
        self.socket.close()


def count_engine_requests(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return len(json.loads(call_http("GET", url)[2]))


def count_held_requests(fleet):
    loads = [fleet.agent_load(name) for name, _, _ in fleet.agents]
    return (sum(load["used"] + load["queued"] for load in loads) +
            count_engine_requests(fleet, "prefill-1") + count_engine_requests(fleet, "decode-1"))


def await_nothing_held(fleet, message, timeout_s=CANCEL_TIMEOUT_S):
    wait_for(lambda: count_held_requests(fleet) == 0, f"nothing to be held after: {message}",
             timeout_s)


def test_prefill(fleet):
    caller = Caller(fleet, "p" * LONG_PROMPT_BYTES)
    wait_for(lambda: count_engine_requests(fleet, "prefill-1") == 1, "a running prefill", 5)
    caller.close()
    await_nothing_held(fleet, "caller gone in prefill")


def test_transfer(fleet):
    caller = Caller(fleet, "t" * LONG_PROMPT_BYTES)
    wait_for(lambda: count_engine_requests(fleet, "prefill-1") == 1, "a running prefill", 5)
    wait_for(lambda: count_engine_requests(fleet, "prefill-1") == 0, "the prefill's end", 5)
    caller.close()
    await_nothing_held(fleet, "caller gone in transfer")


def test_decode_and_queue(fleet):
    """Streams occupy all slots; the caller of a waiting request disconnects before theirs."""
    streams = [Caller(fleet, prompt_with_long_answer(number * 1000))
               for number in range(SLOTS)]
    for stream in streams:
        stream.await_token()
    waiting = Caller(fleet, "waiting")
    wait_for(lambda: fleet.agent_load("decode-1")["queued"] == 1, "a waiting request", 5)
    waiting.close()
    wait_for(lambda: fleet.agent_load("decode-1")["queued"] == 0, "the queue to be empty",
             CANCEL_TIMEOUT_S)
    for stream in streams:
        stream.close()
    await_nothing_held(fleet, "callers gone in decode")


def test_entry_paused(fleet):
    """The agent ends unrenewed requests; the answer resumes after the entry continues."""
    caller = Caller(fleet, prompt_with_long_answer(7))
    caller.await_token()
    fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
    try:
        await_nothing_held(fleet, "entry paused", LEASE_TIMEOUT_S)
    finally:
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
    answer = caller.read_all()
    texts = [json.loads(line[6:])["choices"][0]["text"]
             for line in answer.split(b"\n") if line.startswith(b"data: {")]
    seed = hashlib.sha256(prompt_with_long_answer(7).encode()).hexdigest()[:16]
    expected = [" " + hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()[:6]
                for index in range(len([text for text in texts if text]))]
    check([text for text in texts if text] == expected, "the answer has a gap or a repeat")
    await_nothing_held(fleet, "resumed answer")


def test_entry_killed(fleet):
    caller = Caller(fleet, prompt_with_long_answer(8), "entry-2")
    caller.await_token()
    fleet.processes["entry-2"].send_signal(signal.SIGKILL)
    await_nothing_held(fleet, "entry killed", LEASE_TIMEOUT_S)
    caller.close()


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-gone"), entries=2, prefill=1, decode=1,
               services=1, engine_options=ENGINE_OPTIONS) as fleet:
        fleet.configure(("oshana",))
        test_prefill(fleet)
        test_transfer(fleet)
        test_decode_and_queue(fleet)
        test_entry_killed(fleet)
        test_entry_paused(fleet)


if __name__ == "__main__":
    main()

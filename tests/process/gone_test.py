"""Callers and entries that go in each phase of a request: what worked for them ends at the
agents and at the engines within a bounded time."""

import hashlib
import json
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, call_http, wait_for  # noqa: E402

SPREAD = 64  # tokens by which the answers of the stand-in differ
SLOTS = 20
STEP_MS = 200
# A long prompt takes two seconds to prefill and most of a second to transfer.
ENGINE = ("--step-ms", str(STEP_MS), "--prefill-rate", "8000", "--link-rate", "20000")
LONG_PROMPT_BYTES = 64_000
CANCEL_LIMIT_S = 2.5
LEASE_LIMIT_S = 3 + 1 + 2.5


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def prompt_with_long_answer(start):
    for number in range(start, start + 10_000):
        prompt = f"gone {number}"
        if int(hashlib.sha256(prompt.encode()).hexdigest()[:4], 16) % SPREAD > SPREAD - 12:
            return prompt
    raise AssertionError("no such prompt")


class Caller:
    def __init__(self, fleet, prompt, entry="entry-1"):
        body = json.dumps({"model": "drafter", "prompt": prompt, "stream": True,
                           "max_tokens": 80})
        self.got = b""
        self.socket = socket.create_connection(("127.0.0.1", fleet.processes[entry].port),
                                               timeout=30)
        self.socket.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                             f"Bearer {fleet.keys['oshana']}\r\nContent-Length: {len(body)}"
                             f"\r\n\r\n{body}").encode())

    def await_token(self):
        while b"data:" not in self.got:
            part = self.socket.recv(65536)
            check(part, f"ended before a token: {self.got}")
            self.got += part

    def read_all(self):
        while b"[DONE]" not in self.got:
            part = self.socket.recv(65536)
            check(part, "the stream was cut")
            self.got += part
        return self.got

    def close(self):
        self.socket.close()


def at_engine(fleet, name):
    url = f"http://127.0.0.1:{fleet.backends[name].port}/requests"
    return len(json.loads(call_http("GET", url)[2]))


def held(fleet):
    loads = [fleet.agent_load(name) for name, _, _ in fleet.agents]
    return (sum(load["used"] + load["queued"] for load in loads) +
            at_engine(fleet, "prefill-1") + at_engine(fleet, "decode-1"))


def await_free(fleet, what, limit_s=CANCEL_LIMIT_S):
    wait_for(lambda: held(fleet) == 0, f"nothing to be held: {what}", limit_s)


def test_prefill(fleet):
    caller = Caller(fleet, "p" * LONG_PROMPT_BYTES)
    wait_for(lambda: at_engine(fleet, "prefill-1") == 1, "a prefill", 5)
    caller.close()
    await_free(fleet, "caller gone in prefill")


def test_transfer(fleet):
    caller = Caller(fleet, "t" * LONG_PROMPT_BYTES)
    wait_for(lambda: at_engine(fleet, "prefill-1") == 1, "a prefill", 5)
    wait_for(lambda: at_engine(fleet, "prefill-1") == 0, "the prefill's end", 5)
    caller.close()
    await_free(fleet, "caller gone in transfer")


def test_decode_and_queue(fleet):
    """Twenty streams hold all slots, one more waits; then the waiting one goes first."""
    streams = [Caller(fleet, prompt_with_long_answer(number * 1000))
               for number in range(SLOTS)]
    for stream in streams:
        stream.await_token()
    waiting = Caller(fleet, "waiting")
    wait_for(lambda: fleet.agent_load("decode-1")["queued"] == 1, "a waiting request", 5)
    waiting.close()
    wait_for(lambda: fleet.agent_load("decode-1")["queued"] == 0, "the queue to be empty",
             CANCEL_LIMIT_S)
    for stream in streams:
        stream.close()
    await_free(fleet, "callers gone in decode")


def test_entry_paused(fleet):
    """The agent ends what is not renewed; the caller's answer goes on when the entry does."""
    caller = Caller(fleet, prompt_with_long_answer(7))
    caller.await_token()
    fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
    try:
        await_free(fleet, "entry paused", LEASE_LIMIT_S)
    finally:
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
    answer = caller.read_all()
    texts = [json.loads(line[6:])["choices"][0]["text"]
             for line in answer.split(b"\n") if line.startswith(b"data: {")]
    seed = hashlib.sha256(prompt_with_long_answer(7).encode()).hexdigest()[:16]
    wanted = [" " + hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()[:6]
              for index in range(len([text for text in texts if text]))]
    check([text for text in texts if text] == wanted, "the answer has a gap or a repeat")
    await_free(fleet, "resumed answer")


def test_entry_killed(fleet):
    caller = Caller(fleet, prompt_with_long_answer(8), "entry-2")
    caller.await_token()
    fleet.processes["entry-2"].send_signal(signal.SIGKILL)
    await_free(fleet, "entry killed", LEASE_LIMIT_S)
    caller.close()


def main():
    build = sys.argv[1]
    with Fleet(build, os.path.join(build, "test-gone"), entries=2, prefill=1, decode=1,
               services=1, engine_options=ENGINE) as fleet:
        fleet.configure(("oshana",))
        test_prefill(fleet)
        test_transfer(fleet)
        test_decode_and_queue(fleet)
        test_entry_killed(fleet)
        test_entry_paused(fleet)


if __name__ == "__main__":
    main()

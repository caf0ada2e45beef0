"""Withdrawn keys: refused everywhere within seconds, also when queued or connected."""

import http.client
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, wait_for  # noqa: E402

WITHDRAWAL_LIMIT_S = 5
PREFILL_RATE = 100  # tokens a second
STREAM_TOKENS = 150  # 20 ms each


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.faults = []
        self.streaming = threading.Event()

    def check(self, holds, what):
        if not holds:
            self.faults.append(what)
            print("FAILED:", what, flush=True)

    def new_key(self):
        key = self.fleet.run_cli("key", "create", "oshana")[1].strip()
        for entry in range(len(self.fleet.entries)):
            connection = self.connect(entry)
            wait_for(lambda: self.models(connection, key) == 200, "the key")
        return key

    def withdraw(self, key):
        self.fleet.run_cli("key", "withdraw", "oshana", key.split("_")[1])

    def connect(self, entry):
        port = self.fleet.processes[self.fleet.entries[entry]].port
        return http.client.HTTPConnection("127.0.0.1", port, timeout=20)

    @staticmethod
    def models(connection, key):
        connection.request("GET", "/v1/models", headers={"Authorization": "Bearer " + key})
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def complete(self, entry, key, prompt, tokens):
        """Streams a completion; returns status, body and when each part came."""
        connection = self.connect(entry)
        body = json.dumps({"model": "drafter", "prompt": prompt, "max_tokens": tokens,
                           "stream": True})
        connection.request("POST", "/v1/completions", body,
                           {"Authorization": "Bearer " + key})
        answer = connection.getresponse()
        text = b""
        try:
            while part := answer.read1(65536):
                text += part
                self.streaming.set()
        except (http.client.HTTPException, OSError):
            text += b"[cut]"
        return answer.status, text, time.monotonic()

    def start(self, *arguments):
        outcome = []
        thread = threading.Thread(target=lambda: outcome.append(self.complete(*arguments)))
        thread.start()
        return thread, outcome

    def open_connections(self):
        key = self.new_key()
        connections = [self.connect(entry) for entry in range(len(self.fleet.entries))]
        for connection in connections:
            self.check(self.models(connection, key) == 200, "the key works")
        self.withdraw(key)
        began = time.monotonic()
        for connection in connections:
            wait_for(lambda: self.models(connection, key) == 401, "the refusal",
                     WITHDRAWAL_LIMIT_S)
        print(f"refused on open connections after {(time.monotonic() - began) * 1000:.0f} ms")

    def queued(self):
        key = self.new_key()
        prompt = "word " * (PREFILL_RATE * 6)
        thread, outcome = self.start(0, key, prompt, 4)
        time.sleep(0.5)
        self.check(not outcome, "the request waits")
        self.withdraw(key)
        began = time.monotonic()
        thread.join()
        status, text, ended = outcome[0]
        print(f"queued request refused after {(ended - began) * 1000:.0f} ms")
        self.check(status == 401 and b"withdrawn" in text, f"queued: {status} {text[:200]}")
        self.check(ended - began <= WITHDRAWAL_LIMIT_S, "refused within seconds")

    def running(self, policy):
        path = os.path.join(self.fleet.directory, "policy.patch.json")
        with open(path, "w") as file:
            json.dump({"policy": {"withdrawn_streams": policy}}, file)
        self.fleet.run_cli("config", "patch", path)
        key = self.new_key()
        self.streaming.clear()
        thread, outcome = self.start(1, key, "a short prompt", STREAM_TOKENS)
        self.check(self.streaming.wait(10) and not outcome, "the stream runs")
        self.withdraw(key)
        began = time.monotonic()
        if policy == "finish":
            connection = self.connect(1)
            wait_for(lambda: self.models(connection, key) == 401, "the refusal")
            self.check(not outcome, "the stream outlives the withdrawal")
        thread.join()
        return *outcome[0][:2], outcome[0][2] - began

    def finish(self):
        status, text, took = self.running("finish")
        print(f"running stream finished {took * 1000:.0f} ms after the withdrawal")
        self.check(status == 200 and text.rstrip().endswith(b"data: [DONE]"),
                   f"a running stream finishes: {status} {text[-200:]}")

    def cut(self):
        status, text, took = self.running("cut")
        print(f"running stream cut after {took * 1000:.0f} ms")
        self.check(status == 200 and b"[DONE]" not in text and b"withdrawn" in text,
                   f"a running stream is cut: {status} {text[-200:]}")
        self.check(took <= WITHDRAWAL_LIMIT_S, "cut within seconds")
        wait_for(lambda: self.fleet.occupied_slots() == 0, "the slots to be free", 10)


def main():
    build = sys.argv[1]
    options = ["--prefill-rate", str(PREFILL_RATE)]
    with Fleet(build, os.path.join(build, "test-keys"), entries=3, prefill=1, decode=1,
               services=1, engine_options=options) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.open_connections, suite.finish, suite.cut, suite.queued):
            began = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - began:.1f} s", flush=True)
    return 1 if suite.faults else 0


if __name__ == "__main__":
    sys.exit(main())

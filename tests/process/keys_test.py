"""Withdraws keys.

Guards against withdrawn keys that still work on open connections or for queued requests, and
against running streams that do not follow the policy `withdrawn_streams`.
"""

import http.client
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../scripts/lib"))
from fleet import Fleet, wait_for  # noqa: E402

WITHDRAWAL_TIMEOUT_S = 5
PREFILL_TOKENS_PER_S = 100
STREAM_TOKENS = 150  # 20 ms each


class Suite:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []
        self.streaming = threading.Event()

    def check(self, condition, message):
        if not condition:
            self.failures.append(message)
            print("FAILED:", message, flush=True)

    def create_key(self):
        key = self.fleet.run_cli("key", "create", "oshana")[1].strip()
        for entry in range(len(self.fleet.entries)):
            connection = self.connect(entry)
            wait_for(lambda: self.models_status(connection, key) == 200, "the key to be accepted")
        return key

    def withdraw(self, key):
        self.fleet.run_cli("key", "withdraw", "oshana", key.split("_")[1])

    def connect(self, entry):
        port = self.fleet.processes[self.fleet.entries[entry]].port
        return http.client.HTTPConnection("127.0.0.1", port, timeout=20)

    @staticmethod
    def models_status(connection, key):
        connection.request("GET", "/v1/models", headers={"Authorization": "Bearer " + key})
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def stream_completion(self, entry, key, prompt, max_tokens):
        """Streams a completion; returns the status, the body and the end time."""
        connection = self.connect(entry)
        body = json.dumps({"model": "drafter", "prompt": prompt, "max_tokens": max_tokens,
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

    def start_completion(self, *arguments):
        outcome = []
        thread = threading.Thread(
            target=lambda: outcome.append(self.stream_completion(*arguments)))
        thread.start()
        return thread, outcome

    def open_connections(self):
        key = self.create_key()
        connections = [self.connect(entry) for entry in range(len(self.fleet.entries))]
        for connection in connections:
            self.check(self.models_status(connection, key) == 200, "the key was not accepted")
        self.withdraw(key)
        started_at = time.monotonic()
        for connection in connections:
            wait_for(lambda: self.models_status(connection, key) == 401, "the refusal",
                     WITHDRAWAL_TIMEOUT_S)
        print(f"refused on open connections: {(time.monotonic() - started_at) * 1000:.0f} ms")

    def queued(self):
        key = self.create_key()
        prompt = "word " * (PREFILL_TOKENS_PER_S * 6)
        thread, outcome = self.start_completion(0, key, prompt, 4)
        time.sleep(0.5)
        self.check(not outcome, "the request did not wait")
        self.withdraw(key)
        started_at = time.monotonic()
        thread.join()
        status, text, ended = outcome[0]
        print(f"queued request refused after {(ended - started_at) * 1000:.0f} ms")
        self.check(status == 401 and b"withdrawn" in text,
                   f"unexpected answer to the queued request: {status} {text[:200]}")
        self.check(ended - started_at <= WITHDRAWAL_TIMEOUT_S,
                   "the queued request was refused too late")

    def withdraw_during_stream(self, policy):
        path = os.path.join(self.fleet.directory, "policy.patch.json")
        with open(path, "w") as file:
            json.dump({"policy": {"withdrawn_streams": policy}}, file)
        self.fleet.run_cli("config", "patch", path)
        key = self.create_key()
        self.streaming.clear()
        thread, outcome = self.start_completion(1, key, "a short prompt", STREAM_TOKENS)
        self.check(self.streaming.wait(10) and not outcome, "the stream is not running")
        self.withdraw(key)
        started_at = time.monotonic()
        if policy == "finish":
            connection = self.connect(1)
            wait_for(lambda: self.models_status(connection, key) == 401, "the refusal")
            self.check(not outcome, "the stream ended at the withdrawal")
        thread.join()
        return *outcome[0][:2], outcome[0][2] - started_at

    def finish(self):
        status, text, duration_s = self.withdraw_during_stream("finish")
        print(f"running stream finished {duration_s * 1000:.0f} ms after the withdrawal")
        self.check(status == 200 and text.rstrip().endswith(b"data: [DONE]"),
                   f"the running stream did not finish: {status} {text[-200:]}")

    def cut(self):
        status, text, duration_s = self.withdraw_during_stream("cut")
        print(f"running stream cut after {duration_s * 1000:.0f} ms")
        self.check(status == 200 and b"[DONE]" not in text and b"withdrawn" in text,
                   f"the running stream was not cut: {status} {text[-200:]}")
        self.check(duration_s <= WITHDRAWAL_TIMEOUT_S, "the stream was cut too late")
        wait_for(lambda: self.fleet.occupied_slots() == 0, "the slots to be free", 10)


def main():
    build = sys.argv[1]
    options = ["--prefill-rate", str(PREFILL_TOKENS_PER_S)]
    with Fleet(build, os.path.join(build, "test-keys"), entries=3, prefill=1, decode=1,
               services=1, engine_options=options) as fleet:
        fleet.configure(["oshana"])
        suite = Suite(fleet)
        for step in (suite.open_connections, suite.finish, suite.cut, suite.queued):
            started_at = time.monotonic()
            step()
            print(f"{step.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)
    return 1 if suite.failures else 0


if __name__ == "__main__":
    sys.exit(main())

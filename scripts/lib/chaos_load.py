"""Callers for the fault runs: each sends requests, checks the answers and records them."""

import http.client
import json
import random
import threading
import time

from answers import count_tokens, expected_answer

SOCKET_TIMEOUT_S = 30
BOOKING_SHARE = 0.25
STREAM_SHARE = 0.6
DISCONNECT_SHARE = 0.05  # share of completions whose caller may disconnect early


class RequestRecord:
    """A request and its result as observed by the caller."""

    def __init__(self, kind, workspace, started_at):
        self.kind = kind
        self.workspace = workspace
        self.started_at = started_at
        self.ended_at = None
        self.verdict = None  # whole, refused, broken, wrong, left
        self.status = None
        self.run = None
        self.code = None
        self.booking_key = None
        self.tokens = []  # (arrival time, number of tokens)
        self.first_token = None
        self.detail = None


class LoadBalancer:
    """Simulates the platform's load balancer: it selects entries whose /readyz is 200."""

    def __init__(self, urls):
        self.urls = list(urls)
        self.ready = list(urls)
        self.stopping = threading.Event()
        self.worker = threading.Thread(target=self.run, daemon=True)
        self.worker.start()

    def probe(self, url):
        address = url.removeprefix("http://")
        try:
            connection = http.client.HTTPConnection(address, timeout=0.5)
            connection.request("GET", "/readyz")
            is_ready = connection.getresponse().status == 200
            connection.close()
            return is_ready
        except OSError:
            return False

    def run(self):
        while not self.stopping.wait(0.25):
            self.ready = [url for url in self.urls if self.probe(url)] or list(self.urls)

    def choose_url(self, random_source):
        return random_source.choice(self.ready)

    def stop(self):
        self.stopping.set()
        self.worker.join()


class Caller(threading.Thread):
    """Sends one request after another until `stopping` is set."""

    def __init__(self, index, seed, balancer, keys, stopping):
        super().__init__(daemon=True)
        self.index = index
        self.random = random.Random(f"{seed}-{index}")
        self.balancer = balancer
        self.keys = keys
        self.stopping = stopping
        self.records = []
        self.request_number = 0

    def run(self):
        while not self.stopping.is_set():
            self.request_number += 1
            workspace = self.random.choice(sorted(self.keys))
            if self.random.random() < BOOKING_SHARE:
                record = self.send_booking(workspace)
            else:
                record = self.send_completion(workspace)
            if record.verdict in ("refused", "broken"):
                self.stopping.wait(0.05)

    def headers(self, workspace):
        return {"Authorization": "Bearer " + self.keys[workspace],
                "Content-Type": "application/json"}

    def post(self, path, body, headers):
        address = self.balancer.choose_url(self.random).removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=SOCKET_TIMEOUT_S)
        connection.request("POST", path, body, headers)
        return connection, connection.getresponse()

    def begin(self, kind, workspace):
        record = RequestRecord(kind, workspace, time.monotonic())
        self.records.append(record)
        return record

    def record_refusal(self, record, answer):
        body = answer.read()
        record.verdict, record.status = "refused", answer.status
        record.run = answer.getheader("x-agateseam-run")
        try:
            record.code = json.loads(body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            record.code = str(answer.status)

    def send_booking(self, workspace):
        key = f"chaos-{self.index}-{self.request_number}"
        for attempt in range(2):
            record = self.begin("booking", workspace)
            record.booking_key = key
            try:
                connection, answer = self.post(
                    "/booking/weekly", json.dumps({"crate": key}),
                    {**self.headers(workspace), "Idempotency-Key": key})
                if answer.status == 200:
                    answer.read()
                    record.verdict, record.status = "whole", 200
                    record.run = answer.getheader("x-agateseam-run")
                else:
                    self.record_refusal(record, answer)
                connection.close()
            except (OSError, http.client.HTTPException) as failure:
                record.verdict, record.detail = "broken", repr(failure)
            record.ended_at = time.monotonic()
            outcome_is_unknown = record.verdict == "broken" or record.run == "unknown"
            if not outcome_is_unknown or self.random.random() < 0.5:
                break
        return record

    def send_completion(self, workspace):
        record = self.begin("model", workspace)
        padding = "ledger line " * self.random.randint(10, 600)
        prompt = f"{workspace} {self.index} {self.request_number} {padding}"
        max_tokens = self.random.randint(4, 48)
        stream = self.random.random() < STREAM_SHARE
        disconnect_after = self.random.randint(
            0, 6) if self.random.random() < DISCONNECT_SHARE else None
        body = json.dumps({"model": "drafter", "prompt": prompt, "max_tokens": max_tokens,
                           "stream": stream})
        try:
            connection, answer = self.post("/v1/completions", body, self.headers(workspace))
            if answer.status != 200:
                self.record_refusal(record, answer)
            elif stream:
                self.read_stream(record, answer, prompt, max_tokens, disconnect_after)
            else:
                self.read_whole(record, answer, prompt, max_tokens)
            connection.close()
        except (OSError, http.client.HTTPException) as failure:
            record.verdict, record.detail = "broken", repr(failure)
        record.ended_at = time.monotonic()
        return record

    def record_tokens(self, record, count):
        now = time.monotonic()
        if record.first_token is None:
            record.first_token = now
        record.tokens.append((now, count))

    def read_stream(self, record, answer, prompt, max_tokens, disconnect_after):
        text, is_complete = "", False
        while True:
            line = answer.readline()
            if not line:
                break
            if not line.startswith(b"data: "):
                continue
            if line.strip() == b"data: [DONE]":
                is_complete = True
                continue
            choices = json.loads(line[6:]).get("choices") or [{}]
            text_part = choices[0].get("text", "")
            if text_part:
                first = record.first_token is None
                text += text_part
                self.record_tokens(record, 1 + (count_tokens(prompt) if first else 0))
            if disconnect_after is not None and len(record.tokens) > disconnect_after:
                record.verdict = "left"
                return
        self.set_verdict(record, text, is_complete, prompt, max_tokens)

    def read_whole(self, record, answer, prompt, max_tokens):
        body = json.loads(answer.read())
        text = body["choices"][0]["text"]
        _, length = expected_answer(prompt, max_tokens)
        self.record_tokens(record, length + count_tokens(prompt))
        self.set_verdict(record, text, True, prompt, max_tokens)

    @staticmethod
    def set_verdict(record, text, is_complete, prompt, max_tokens):
        expected, _ = expected_answer(prompt, max_tokens)
        if not is_complete:
            record.verdict = "broken"
        elif text == expected:
            record.verdict = "whole"
        else:
            record.verdict = "wrong"
            record.detail = f"got {len(text) // 7} tokens of {len(expected) // 7}"


class Load:
    """Runs concurrent callers."""

    def __init__(self, fleet, seed, callers):
        self.balancer = LoadBalancer(fleet.entry_urls())
        self.stopping = threading.Event()
        self.callers = [Caller(index, seed, self.balancer, fleet.keys, self.stopping)
                        for index in range(callers)]
        for caller in self.callers:
            caller.start()

    def stop(self):
        """Lets every caller finish its current request and returns all records."""
        self.stopping.set()
        for caller in self.callers:
            caller.join(SOCKET_TIMEOUT_S + 5)
        self.balancer.stop()
        return [record for caller in self.callers for record in caller.records]

    def count_running_callers(self):
        return sum(1 for caller in self.callers if caller.is_alive())

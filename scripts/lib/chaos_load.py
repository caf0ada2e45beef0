"""Callers for the fault runs: each sends, judges what it got, and keeps a record."""

import http.client
import json
import random
import threading
import time

from answers import count_tokens, expected_answer

SOCKET_LIMIT_S = 30
BOOKING_SHARE = 0.25
STREAM_SHARE = 0.6
LEAVE_SHARE = 0.05  # callers that go away in the middle of an answer


class Record:
    """One request as its caller saw it."""

    def __init__(self, kind, workspace, begun):
        self.kind = kind
        self.workspace = workspace
        self.begun = begun
        self.ended = None
        self.verdict = None  # whole, refused, broken, wrong, left
        self.status = None
        self.run = None
        self.code = None
        self.booking_key = None
        self.tokens = []  # (time, tokens) as they arrived
        self.first_token = None
        self.detail = None


class Balancer:
    """The platform's balancer: callers go to entries whose /readyz holds."""

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
            good = connection.getresponse().status == 200
            connection.close()
            return good
        except OSError:
            return False

    def run(self):
        while not self.stopping.wait(0.25):
            self.ready = [url for url in self.urls if self.probe(url)] or list(self.urls)

    def pick(self, source):
        return source.choice(self.ready)

    def stop(self):
        self.stopping.set()
        self.worker.join()


class Caller(threading.Thread):
    """Sends one request after the other until told to stop."""

    def __init__(self, index, seed, balancer, keys, stopping):
        super().__init__(daemon=True)
        self.index = index
        self.random = random.Random(f"{seed}-{index}")
        self.balancer = balancer
        self.keys = keys
        self.stopping = stopping
        self.records = []
        self.serial = 0

    def run(self):
        while not self.stopping.is_set():
            self.serial += 1
            workspace = self.random.choice(sorted(self.keys))
            if self.random.random() < BOOKING_SHARE:
                record = self.book(workspace)
            else:
                record = self.generate(workspace)
            if record.verdict in ("refused", "broken"):
                self.stopping.wait(0.05)

    def headers(self, workspace):
        return {"Authorization": "Bearer " + self.keys[workspace],
                "Content-Type": "application/json"}

    def open(self, path, body, headers):
        address = self.balancer.pick(self.random).removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=SOCKET_LIMIT_S)
        connection.request("POST", path, body, headers)
        return connection, connection.getresponse()

    def begin(self, kind, workspace):
        record = Record(kind, workspace, time.monotonic())
        self.records.append(record)
        return record

    def refusal(self, record, answer):
        body = answer.read()
        record.verdict, record.status = "refused", answer.status
        record.run = answer.getheader("x-agateseam-run")
        try:
            record.code = json.loads(body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            record.code = str(answer.status)

    def book(self, workspace):
        key = f"chaos-{self.index}-{self.serial}"
        for repeat in range(2):
            record = self.begin("booking", workspace)
            record.booking_key = key
            try:
                connection, answer = self.open(
                    "/booking/weekly", json.dumps({"crate": key}),
                    {**self.headers(workspace), "Idempotency-Key": key})
                if answer.status == 200:
                    answer.read()
                    record.verdict, record.status = "whole", 200
                    record.run = answer.getheader("x-agateseam-run")
                else:
                    self.refusal(record, answer)
                connection.close()
            except (OSError, http.client.HTTPException) as fault:
                record.verdict, record.detail = "broken", repr(fault)
            record.ended = time.monotonic()
            again = record.verdict == "broken" or record.run == "unknown"
            if not again or self.random.random() < 0.5:
                break
        return record

    def generate(self, workspace):
        record = self.begin("model", workspace)
        filler = "ledger line " * self.random.randint(10, 600)
        prompt = f"{workspace} {self.index} {self.serial} {filler}"
        limit = self.random.randint(4, 48)
        stream = self.random.random() < STREAM_SHARE
        leave_after = self.random.randint(0, 6) if self.random.random() < LEAVE_SHARE else None
        body = json.dumps({"model": "drafter", "prompt": prompt, "max_tokens": limit,
                           "stream": stream})
        try:
            connection, answer = self.open("/v1/completions", body, self.headers(workspace))
            if answer.status != 200:
                self.refusal(record, answer)
            elif stream:
                self.read_stream(record, answer, prompt, limit, leave_after)
            else:
                self.read_whole(record, answer, prompt, limit)
            connection.close()
        except (OSError, http.client.HTTPException) as fault:
            record.verdict, record.detail = "broken", repr(fault)
        record.ended = time.monotonic()
        return record

    def note_tokens(self, record, count):
        now = time.monotonic()
        if record.first_token is None:
            record.first_token = now
        record.tokens.append((now, count))

    def read_stream(self, record, answer, prompt, limit, leave_after):
        text, done = "", False
        while True:
            line = answer.readline()
            if not line:
                break
            if not line.startswith(b"data: "):
                continue
            if line.strip() == b"data: [DONE]":
                done = True
                continue
            choices = json.loads(line[6:]).get("choices") or [{}]
            piece = choices[0].get("text", "")
            if piece:
                first = record.first_token is None
                text += piece
                self.note_tokens(record, 1 + (count_tokens(prompt) if first else 0))
            if leave_after is not None and len(record.tokens) > leave_after:
                record.verdict = "left"
                return
        self.judge(record, text, done, prompt, limit)

    def read_whole(self, record, answer, prompt, limit):
        body = json.loads(answer.read())
        text = body["choices"][0]["text"]
        _, length = expected_answer(prompt, limit)
        self.note_tokens(record, length + count_tokens(prompt))
        self.judge(record, text, True, prompt, limit)

    @staticmethod
    def judge(record, text, done, prompt, limit):
        expected, _ = expected_answer(prompt, limit)
        if not done:
            record.verdict = "broken"
        elif text == expected:
            record.verdict = "whole"
        else:
            record.verdict = "wrong"
            record.detail = f"got {len(text) // 7} tokens of {len(expected) // 7}"


class Load:
    """A number of callers at once."""

    def __init__(self, fleet, seed, callers):
        self.balancer = Balancer(fleet.entry_urls())
        self.stopping = threading.Event()
        self.callers = [Caller(index, seed, self.balancer, fleet.keys, self.stopping)
                        for index in range(callers)]
        for caller in self.callers:
            caller.start()

    def stop(self):
        """Lets every caller end its request; returns all records."""
        self.stopping.set()
        for caller in self.callers:
            caller.join(SOCKET_LIMIT_S + 5)
        self.balancer.stop()
        return [record for caller in self.callers for record in caller.records]

    def stuck(self):
        return sum(1 for caller in self.callers if caller.is_alive())

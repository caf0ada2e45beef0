"""Callers of a site's entries: each keeps its connection open and sends one request after the
other, until the entry closes the connection or refuses a new one."""

import asyncio
import itertools
import random
import time

from platform_site import HOST, KEY

# A caller that can't connect tries the next entry after this pause.
RECONNECT_PAUSE_S = 0.02


class Outcome:
    """What became of one request, as its caller saw it. Times are of the monotonic clock."""

    def __init__(self, request_id, path, entry, sent_at, is_reused, deadline_ms):
        self.id, self.path, self.entry, self.sent_at = request_id, path, entry, sent_at
        self.deadline_ms = deadline_ms
        self.is_reused = is_reused  # Sent on a connection that had served a request before.
        self.status, self.events, self.body = None, 0, b""
        self.complete = False
        self.ended_at = None

    def __repr__(self):
        return (f"{self.id} {self.path} entry {self.entry} status {self.status} "
                f"events {self.events} complete {self.complete} "
                f"took {self.ended_at - self.sent_at:.2f}")


class Callers:
    """Sends requests from many callers at once.

    `kinds` holds pairs of a path and its token counts; None makes a plain request. A caller
    stays with its entry for as long as the entry takes its connections.
    """

    id_numbers = itertools.count(1)

    def __init__(self, site, count, kinds, deadline_ms=14_000, pause_s=0.05, seed=1):
        self.site, self.count, self.kinds = site, count, kinds
        self.deadline_ms, self.pause_s = deadline_ms, pause_s
        self.random = random.Random(seed)
        self.outcomes = []
        self.stopping = False
        self.crashing_part = None  # A part of some of the model requests' prompts.
        self.crashing_path = None  # A path of some of the plain requests.
        self.tasks = []

    def start(self):
        self.tasks = self.site.run_on_loop(
            lambda: [asyncio.ensure_future(self.run_caller(number))
                     for number in range(self.count)])
        return self

    def stop(self):
        """Waits until every caller has the end of its last request."""
        self.stopping = True

        async def wait():
            await asyncio.gather(*self.tasks)
        asyncio.run_coroutine_threadsafe(wait(), self.site.loop).result(60)
        return self.outcomes

    async def run_caller(self, number):
        entry = number % len(self.site.entries)
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.site.entries[entry].callers)
            except OSError:
                entry = (entry + 1) % len(self.site.entries)
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                await self.use_connection(entry, reader, writer)
            finally:
                writer.close()

    async def use_connection(self, entry, reader, writer):
        is_open, is_reused = True, False
        while is_open and not self.stopping:
            path, tokens = self.random.choice(self.kinds)
            if self.crashing_path and not tokens and self.random.random() < 0.2:
                path = self.crashing_path
            request_id = f"c{next(Callers.id_numbers):08x}"
            outcome = Outcome(request_id, path, entry, time.monotonic(), is_reused,
                              self.deadline_ms)
            self.outcomes.append(outcome)
            try:
                writer.write(self.request_bytes(request_id, path, tokens))
                is_open = await self.read_answer(outcome, reader)
            except (asyncio.IncompleteReadError, ConnectionError, OSError):
                is_open = False
            outcome.ended_at = time.monotonic()
            is_reused = True
            await asyncio.sleep(self.pause_s * self.random.random())

    def request_bytes(self, request_id, path, tokens):
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Content-Length: 2",
                 f"Agateseam-Request-Id: {request_id}",
                 f"Agateseam-Request-Deadline: {self.deadline_ms}",
                 f"Authorization: Bearer {KEY}"]
        if tokens:
            middle = f"50{self.random.randrange(4)}"
            if self.crashing_part and self.random.random() < 0.3:
                middle = self.crashing_part
            lines += ["Agateseam-Model: m", f"Agateseam-Token-Count: {tokens}",
                      f"Agateseam-Prompt-Prefix: f1:100,{middle}:300,{request_id}:100"]
        return ("\r\n".join(lines) + "\r\n\r\n{}").encode()

    @staticmethod
    async def read_answer(outcome, reader):
        """Reads one answer and returns whether the connection may be used again."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        outcome.status = int(head.split(" ", 2)[1])
        if "transfer-encoding: chunked" in head:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                outcome.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
                outcome.events = outcome.body.count(b"\n\n")
        else:
            length = int(head.split("content-length:", 1)[1].split("\r\n", 1)[0])
            outcome.body = await reader.readexactly(length)
        outcome.complete = True
        return "connection: close" not in head

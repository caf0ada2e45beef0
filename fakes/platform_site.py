"""A stand-in for the platform: its store, plain replicas and model replicas, on loopback.

It follows the platform's published documentation. All stand-ins run on one event loop in a
thread. Tests change their behaviour through `store.mode`, `replica.handler` and
`site.configure`. Entries are real processes, which are signalled by their process ids.
"""

import asyncio
import http.client
import itertools
import json
import os
import random
import re
import resource
import signal
import socket
import struct
import subprocess
import threading
import time
import urllib.parse

from site_links import Link

HOST = "site.example"
KEY = "key-of-oshana-0001"
EVENT = "id: %d\ndata: %s\n\n"
HEARTBEAT_S = 0.25  # of a cold replica
# A cold replica crashes when it gets its requests a second this many times over in one second.
COLD_CRASH_FACTOR = 2
COLD_CRASH_DOWN_S = 1.0


class Request:
    """A received request."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.arrived = None
        self.is_misdirected = False  # Answered with 421.
        self.found_cold = False  # The replica was cold when the request arrived.

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def id(self):
        return self.header("Agateseam-Request-Id")


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target = lines[0].rsplit(" ", 1)[0].split(" ", 1)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


MAX_TARGET_LENGTH = 8_192
TARGET = re.compile(r"(?:[A-Za-z0-9/?&=+._~!$'()*,;:@-]|%[0-9A-Fa-f]{2})*")


def parse_target(target):
    """Returns the kind, the name if there is one, and the query parameters of a store's target.

    Reads them as web servers do: names are percent-encoded, a plus sign in the query is a blank,
    and a target has neither a blank nor a fragment. Raises ValueError for any other target.
    """
    if len(target) > MAX_TARGET_LENGTH or not TARGET.fullmatch(target):
        raise ValueError(target)
    path, _, query = target.partition("?")
    parts = [urllib.parse.unquote(part, errors="strict")
             for part in path.removeprefix("/v1/objects/").split("/")]
    if len(parts) > 2 or not path.startswith("/v1/objects/"):
        raise ValueError(target)
    parameters = urllib.parse.parse_qs(query, keep_blank_values=True, strict_parsing=bool(query),
                                       errors="strict")
    if any(len(values) > 1 for values in parameters.values()):
        raise ValueError(target)
    return (parts[0], parts[1] if len(parts) > 1 else None,
            {name: values[0] for name, values in parameters.items()})


def response_bytes(status, body, headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset_connection(writer):
    """Closes a connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    tcp_socket = writer.get_extra_info("socket")
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def busiest_second(times):
    """Returns the most events within one second."""
    times, first, most = sorted(times), 0, 0
    for last, moment in enumerate(times):
        while moment - times[first] >= 1:
            first += 1
        most = max(most, last - first + 1)
    return most


class Server:
    """Accepts connections and passes each request to `handle_request`."""

    def __init__(self):
        self.address = None
        self.connection_count = 0
        self.listener = None
        self.open_connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve_connection(self, reader, writer):
        self.connection_count += 1
        self.open_connections.add(writer)
        try:
            while await self.handle_request(await read_request(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass  # The peer closed the connection, or the test ended.
        finally:
            self.open_connections.discard(writer)
            writer.close()

    async def handle_request(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, one revision counter, and watches.

    A drill replaces it by a copy that is some seconds old, in the next era.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.objects_by_kind = {}
        self.revision = 1
        self.history = []
        self.oldest_revision = 0
        self.changed = asyncio.Event()
        self.mode = "up"  # or: busy, silent, reset
        self.refuses_with_era = True
        self.calls = []
        self.journal = []  # (time, revision, kind, name, object or None) of each change
        # A function of a request that returns for how long its response is held back.
        self.response_delay = None
        self.link_addresses = {}  # Of entries' links, by the addresses that they register.
        self.raw_texts = {}  # Bytes that replace a text of this content in responses.
        self.refused_kinds = set()  # Calls for objects of these kinds are answered with 503.
        # Of a page of a list; a single object may be larger.
        self.page_items, self.page_bytes = 500, 1 << 20
        self.repeats_pages = False  # Ignores where a list is to be continued.
        self.has_endless_names = False  # Each list goes on without end.
        self.list_calls = {}  # The number of pages that were asked for, by kind.
        self.odd_objects = {}  # Answers to reads of single objects, by kind.
        self.open_calls = {}  # the latest request of each open connection by its writer

    def put(self, kind, name, spec):
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision, "created": 1,
                  "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self.record_event(kind, stored, False)
        return stored

    def remove(self, kind, name):
        removed = self.objects_by_kind.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self.record_event(kind, removed, True)
        return removed

    def record_event(self, kind, stored, tombstone):
        self.history.append((self.revision, kind, {"object": stored, "tombstone": tombstone}))
        self.journal.append((time.monotonic(), self.revision, kind, stored["metadata"]["name"],
                             None if tombstone else stored))
        self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self, age_s=0):
        """Returns a copy of the store as it was some seconds ago."""
        latest = time.monotonic() - age_s
        return [change for change in self.journal if change[0] <= latest]

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and its revisions are given
        out again."""
        self.era += 1
        self.journal = list(copy)
        self.revision = max((change[1] for change in copy), default=1)
        self.objects_by_kind = {}
        for _, _, kind, name, stored in copy:
            objects = self.objects_by_kind.setdefault(kind, {})
            if stored is None:
                objects.pop(name, None)
            else:
                objects[name] = stored
        self.history = [event for event in self.history if event[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.wake_watches()

    async def drill(self, away_s, lost_s=0, copy=None, cuts=lambda request: True):
        """Goes away and comes back from a copy, by default of `lost_s` ago.

        `cuts` tells by its latest request whether a connection is reset. Others stay open: a
        response that was under way may still arrive, but a watch gets none.
        """
        copy = self.copy(lost_s) if copy is None else copy
        for writer, request in list(self.open_calls.items()):
            if cuts(request) and not writer.is_closing():
                reset_connection(writer)
        self.mode = "reset"
        await asyncio.sleep(away_s)
        self.restore(copy)
        self.mode = "up"

    async def serve_connection(self, reader, writer):
        try:
            await super().serve_connection(reader, writer)
        finally:
            self.open_calls.pop(writer, None)

    def compact(self):
        """Discards the history, so that watches from older revisions fail."""
        self.history, self.oldest_revision = [], self.revision + 1
        self.revision += 1

    async def refuse(self, writer):
        """Treats a call as a store does that isn't up; returns whether the connection is kept."""
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            reset_connection(writer)
            return False
        names_era = [("Store-Era", self.era)] if self.refuses_with_era else []
        writer.write(response_bytes(503, {}, names_era))
        return True

    async def handle_request(self, request, reader, writer):
        self.calls.append((request.method, request.target))
        self.open_calls[writer] = request
        era = self.era
        if self.mode != "up":
            return await self.refuse(writer)
        try:
            status, body = await self.handle_call(request)
        except ValueError:
            writer.write(response_bytes(400, {}, [("Store-Era", era)]))
            return False
        if era != self.era:
            await asyncio.sleep(3600)  # Connections of the older era return nothing further.
        if self.mode != "up":
            return await self.refuse(writer)  # The call waited when the store went away.
        if self.response_delay:
            await asyncio.sleep(self.response_delay(request))
        sent_body = json.dumps(body).encode()
        for text, raw in self.raw_texts.items():
            sent_body = sent_body.replace(json.dumps(text).encode(), raw)
        writer.write(response_bytes(status, sent_body, [("Store-Era", era)]))
        await writer.drain()
        return True

    async def handle_call(self, request):
        kind, name, parameters = parse_target(request.target)
        if request.method == "GET" and name and kind in self.odd_objects:
            return 200, self.odd_objects[kind]
        if kind in self.refused_kinds:
            return 503, {}
        if request.method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]),
                                    int(parameters.get("wait_ms", 0)))
        if request.method == "GET" and name:
            found = self.objects_by_kind.get(kind, {}).get(name)
            return (200, found) if found else (404, {})
        if request.method == "GET":
            return 200, self.list_page(kind, parameters.get("after"))
        if request.method == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        sent_object = json.loads(request.body)
        registered = sent_object.get("spec")
        if isinstance(registered, dict) and registered.get("address") in self.link_addresses:
            registered["address"] = self.link_addresses[registered["address"]]
        object_name = name or sent_object["metadata"]["name"]
        existing = self.objects_by_kind.get(kind, {}).get(object_name)
        if request.method == "POST" and existing:
            return 409, existing
        if request.method == "PUT" and not existing:
            return 404, {}
        revision = sent_object["metadata"].get("revision") if "metadata" in sent_object else None
        if request.method == "PUT" and revision not in (None, existing["metadata"]["revision"]):
            return 409, existing
        return 200, self.put(kind, object_name, sent_object.get("spec"))

    def list_page(self, kind, after):
        """Returns the page of a list that begins behind a name."""
        self.list_calls[kind] = self.list_calls.get(kind, 0) + 1
        objects = self.objects_by_kind.get(kind, {})
        if self.has_endless_names:
            first = int(after or 1_000_000)
            items = [{"metadata": {"name": str(first + number)}, "spec": {"note": "x" * 1_000}}
                     for number in range(1, 501)]
            return {"items": items, "has_more": True, "current_rev": self.revision}
        names = [name for name in sorted(objects)
                 if after is None or self.repeats_pages or name > after]
        items, size = [], 0
        for name in names:
            size += len(json.dumps(objects[name]))
            if items and (len(items) == self.page_items or size > self.page_bytes):
                break
            items.append(objects[name])
        return {"items": items, "has_more": len(items) < len(names) or
                (self.repeats_pages and bool(items)), "current_rev": self.revision}

    async def watch(self, kind, after_revision, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            if self.mode != "up":
                return 503, {}
            if not self.oldest_revision <= after_revision <= self.revision:
                return 410, {}
            events = [event for revision, event_kind, event in self.history
                      if event_kind == kind and revision > after_revision]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass


class StoreAddress(Server):
    """Another address of a store, which may reject the calls that come by it."""

    def __init__(self, store):
        super().__init__()
        self.store, self.rejects = store, False

    def reject(self):
        """Rejects all further calls, and ends those in progress."""
        self.rejects = True
        for writer in list(self.open_connections):
            reset_connection(writer)

    async def handle_request(self, request, reader, writer):
        if not self.rejects:
            return await self.store.handle_request(request, reader, writer)
        writer.write(response_bytes(503, {}, [("Store-Era", self.store.era)]))
        return True


class Replica(Server):
    """A replica; a test may set `handler` to answer requests in another way.

    `requests` holds all received requests, `runs` the ids of those that were executed.
    With `says_leaving`, all its answers say that it leaves, while its entry in the store stays
    as it is. With `rest_s`, the next request of any kind is refused with that `Retry-After`, and
    so are all others until that time is over; `arrivals_in_rest` holds when they came, in
    seconds since the first refusal, and their targets. A replica that is cold and has
    `cold_per_s` crashes at well above that rate.
    """

    id_numbers = itertools.count(1)

    def __init__(self, service, stage=None, zone="zone-a", capacity=100_000):
        super().__init__()
        self.id = f"i-{next(Replica.id_numbers):04d}"
        self.service, self.stage, self.zone = service, stage, zone
        self.capacity = capacity
        # An async function of (replica, request, reader, writer). It returns whether the
        # connection stays open, or None to let the replica answer as usual.
        self.handler = None
        self.requests, self.runs, self.interrupted_streams = [], [], []
        self.holds, self.handles, self.running = {}, {}, {}
        self.event_count, self.event_delay_s = 4, 0.0
        self.name_numbers = itertools.count(1)
        self.born = None
        self.says_leaving, self.left_at = False, None
        self.rest_s, self.rest_began, self.arrivals_in_rest = None, None, []
        self.crash_times = []
        self.limit_per_s = None  # Named in all answers.
        self.version = "v1"  # Of its software.
        self.shows_version = False  # In the events of its streams.
        self.silent_from = None  # The event at which streams that begin here fall silent.
        self.latency_s = 0.0  # Until a plain answer, a prefill or the head of a stream.
        self.refused_share = 0.0  # Of the requests that are not misdirected.
        self.paused_until = 0.0  # No stream sends an event before that time.
        self.random = random.Random(self.id)
        self.site = None  # Whose store gets its heartbeats.
        self.cold_until = 0.0
        self.cold_per_s, self.cold_start_s = 0.0, 0.0
        self.lists_cold, self.answers_cold = True, True
        self.cold_crashes = 0  # Of those in `crash_times`.
        self.tasks = set()

    async def crash(self, site, down_s):
        """Resets all connections, refuses new ones for a time, and starts again by a new id at
        another address, as its port may be in use by then."""
        self.crash_times.append(time.monotonic())
        self.listener.close()
        for writer in list(self.open_connections):
            reset_connection(writer)
        await asyncio.sleep(down_s)
        site.store.remove("servers", self.id)
        self.id = f"i-{next(Replica.id_numbers):04d}"
        self.holds, self.handles, self.running = {}, {}, {}
        await self.start()
        if self.cold_start_s:
            self.become_cold(self.cold_start_s)
        site.store.put("servers", self.id, self.server_spec())

    def cold_remaining_ms(self):
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def run_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def become_cold(self, seconds):
        """Is cold from now on; its listing counts down with its heartbeats."""
        self.cold_until = time.monotonic() + seconds
        if self.lists_cold and self.site:
            self.run_task(self.count_down(self.id, self.cold_until))

    async def count_down(self, incarnation, until):
        while self.id == incarnation and self.cold_until == until:
            store = self.site.store
            stored = store.objects_by_kind.get("servers", {}).get(incarnation)
            remaining_ms = self.cold_remaining_ms()
            if stored:
                store.put("servers", incarnation,
                          dict(stored["spec"], cold_remaining_ms=remaining_ms))
            if not remaining_ms:
                return
            await asyncio.sleep(min(HEARTBEAT_S, remaining_ms / 1000))

    def crashes_of_cold(self, request):
        """Tells whether the requests of the last second crash the cold replica."""
        if not self.cold_per_s or not request.found_cold:
            return False
        recent = 0
        for other in reversed(self.requests):
            if other.arrived <= request.arrived - 1:
                break
            recent += other.found_cold and not other.is_misdirected
        return recent > COLD_CRASH_FACTOR * self.cold_per_s

    def counted_requests(self, begin=0.0, end=float("inf"), cold_only=False):
        """Returns the requests that count against its rate."""
        return [request for request in self.requests
                if begin <= request.arrived <= end and not request.is_misdirected
                and (request.found_cold or not cold_only)]

    def busiest_second(self, begin=0.0, end=float("inf"), cold_only=False):
        return busiest_second(request.arrived
                              for request in self.counted_requests(begin, end, cold_only))

    def requests_after_leaving(self, slack_s=0.0):
        """Returns the requests received more than `slack_s` after the first answer that says that
        the replica leaves, without those that only free what it holds."""
        if self.left_at is None:
            return []
        return [request for request in self.requests if request.method != "DELETE"
                and request.arrived > self.left_at + slack_s]

    def notices(self):
        """Returns the header fields in which the replica tells of itself."""
        limit = [] if self.limit_per_s is None else [("Server-Limit", f"{self.limit_per_s}")]
        if self.answers_cold and self.cold_remaining_ms():
            limit.append(("Agateseam-Cold-Remaining", f"{self.cold_remaining_ms()}"))
        if not self.says_leaving:
            return limit
        self.left_at = self.left_at or time.monotonic()
        return limit + [("Server-Leaving", "1")]

    def rest_answer(self, request):
        """Returns the refusal of a replica that rests, or None."""
        now = time.monotonic()
        if self.rest_s is None:
            return None
        if self.rest_began is None:
            self.rest_began = now
        since_s = now - self.rest_began
        if since_s >= self.rest_s:
            self.rest_s = None
            return None
        if since_s > 0:
            self.arrivals_in_rest.append((since_s, request.target))
        return response_bytes(503, {}, [("Agateseam-Not-Executed", "1"),
                                        ("Retry-After", f"{self.rest_s - since_s:.3f}"),
                                        *self.notices()] + self.id_headers(request))

    def server_spec(self, state="ready"):
        spec = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": 8, "state": state, "sequence": 1,
                "cold_remaining_ms": self.cold_remaining_ms() if self.lists_cold else 0}
        if self.stage:
            spec["stage"] = self.stage
        if self.born is not None:
            spec["born"] = self.born
        return spec

    @staticmethod
    def id_headers(request):
        return [("Agateseam-Request-Id", request.id)] if request.id else []

    def identity_headers(self, request):
        return self.id_headers(request) + [
            ("Agateseam-Response-Signature", f"{self.id}.{request.id[-16:]}"),
            ("Keep-Alive", "timeout=10"), *self.notices()]

    async def handle_request(self, request, reader, writer):
        request.arrived = time.monotonic()
        request.found_cold = request.arrived < self.cold_until
        self.requests.append(request)
        if self.crashes_of_cold(request):
            if self.listener.is_serving():
                self.cold_crashes += 1
                self.run_task(self.crash(self.site, COLD_CRASH_DOWN_S))
            return False
        rest_answer = self.rest_answer(request)
        if rest_answer:
            writer.write(rest_answer)
            return True
        if self.handler:
            keep_open = await self.handler(self, request, reader, writer)
            if keep_open is not None:
                return keep_open
        expected = request.header("Agateseam-Expect-Instance")
        if expected and expected != self.id:
            request.is_misdirected = True
            writer.write(response_bytes(421, {}, [("Agateseam-Instance-Id", self.id)]
                                        + self.id_headers(request)))
            return True
        if self.random.random() < self.refused_share:
            writer.write(self.refusal(request))
            return True
        if request.target.startswith("/v1/"):
            writer.write(self.handle_platform_call(request))
            return True
        if self.stage is None:
            return await self.answer_plain(request, writer)
        if request.header("Agateseam-Stage") == "prefill":
            await self.work()
            handle = f"{self.id}h{next(self.name_numbers)}"
            self.handles[handle] = request.id
            writer.write(response_bytes(200, {"kv_handle": handle, "tokens": 1, "version": 1},
                                        self.id_headers(request) + [*self.notices()]))
            return True
        return await self.answer_stream(request, writer)

    def handle_platform_call(self, request):
        if request.target == "/v1/report":
            return response_bytes(200, {"kv_used": sum(self.running.values())}, self.notices())
        if request.target == "/v1/hold-take":
            tokens = json.loads(request.body)["tokens"]
            if sum(self.holds.values()) + sum(self.running.values()) + tokens > self.capacity:
                return self.refusal(request)
            name = f"hold{next(self.name_numbers)}"
            self.holds[name] = tokens
            return response_bytes(200, {"hold": name}, self.notices())
        name = request.target.rsplit("/", 1)[1]
        self.holds.pop(name, None)
        self.handles.pop(name, None)
        return response_bytes(200, {}, self.notices())

    def refusal(self, request):
        return response_bytes(503, {}, [("Agateseam-Not-Executed", "1"), *self.notices()]
                              + self.id_headers(request))

    async def work(self):
        if self.latency_s:
            await asyncio.sleep(self.latency_s)

    async def answer_plain(self, request, writer):
        self.runs.append(request.id)
        await self.work()
        writer.write(response_bytes(200, f"body of {request.id}".encode(),
                                    self.identity_headers(request)))
        await writer.drain()
        return True

    async def answer_stream(self, request, writer):
        hold = self.holds.pop(request.header("Agateseam-Kv-Hold"), 0)
        self.runs.append(request.id)
        self.running[request.id] = hold
        finished = False
        try:
            await self.work()
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked"]
            head += [f"{name}: {value}" for name, value in self.identity_headers(request)]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first_number = int(request.header("Last-Event-Id", "0")) + 1
            for number in range(first_number, self.event_count + 1):
                if number == self.silent_from and first_number == 1:
                    await asyncio.sleep(3600)
                await asyncio.sleep(max(0.0, self.paused_until - time.monotonic()))
                shown = f".{self.version}" if self.shows_version else ""
                event = (EVENT % (number, f"{request.id}.{number}{shown}")).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if self.event_delay_s:
                    await asyncio.sleep(self.event_delay_s)
                if writer.transport.is_closing():
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            finished = True
        finally:
            if not finished:
                self.interrupted_streams.append(request.id)
            self.running.pop(request.id, None)
        return True


def route(prefix, rule, service, **overrides):
    result = {"name": "r-" + prefix.strip("/"), "host": HOST, "path_prefix": prefix,
              "route_type": rule, "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1,
              "service": service, "max_attempts": 2, "public": False, "resumable": False}
    result.update(overrides)
    return result


def configuration(version, **overrides):
    engine = {"slots": 64, "kv_capacity": 100_000, "kv_token_bytes": 1000, "kv_hold_s": 0.5,
              "hold_ms": 2000.0}
    result = {"version": version,
              "routes": [route("/safe/", "safe", "plain"),
                         route("/once/", "unsafe", "plain", max_attempts=1),
                         route("/open/", "safe", "plain", public=True),
                         route("/draft/", "streaming", "model", max_attempts=1,
                               gap_target_ms=300),
                         route("/resume/", "streaming", "model", resumable=True,
                               gap_target_ms=100)],
              "services": [{"name": "plain"}, {"name": "model", "engine": engine}],
              "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000,
                         "header_timeout_ms": 700, "idle_timeout_ms": 5000},
              "tenants": [{"name": "oshana", "api_keys": [KEY], "priority": 1,
                           "unit": "token_stream", "plain_tokens": 200,
                           "rate_per_s": 1_000_000, "burst": 1_000_000}]}
    result.update(overrides)
    return result


class Entry:
    """An entry process and its settings, ports and log."""

    def __init__(self, site, number, **settings):
        self.name = f"front-{number}"
        self.site = site
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness, self.metrics, self.peers = ports
        self.settings_path = os.path.join(site.directory, self.name + ".json")
        self.settings_values = {"vm": self.name, "failure_domain": "zone-a",
                                "callers": f"127.0.0.1:{self.callers}",
                                "readiness": f"127.0.0.1:{self.readiness}",
                                "metrics": f"127.0.0.1:{self.metrics}",
                                "peers": f"127.0.0.1:{self.peers}", "seeds": [],
                                "store": site.store.address, "grace_ms": site.grace_ms,
                                "fleet": site.fleet, **site.extra_settings, **settings}
        self.store_link, self.peer_link = None, None
        if site.link_bytes_per_s:
            self.store_link = site.add_link(site.store.address)
            self.peer_link = site.add_link(self.settings_values["peers"], site.peer_links)
            self.settings_values["store"] = self.store_link.address
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(self.settings_values, file)
        self.log_path = os.path.join(site.directory, self.name + ".log")
        self.start()

    def start(self):
        limit = self.site.descriptor_limit

        def set_limit():
            if limit is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.site.program, "--settings", self.settings_path], stdout=log, stderr=log,
                preexec_fn=set_limit)

    def is_ready(self):
        try:
            return send_request(self.readiness, "GET", "/v1/readiness", {}).status == 200
        except OSError:
            return False

    def end(self, signal_number=signal.SIGKILL):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def log_lines(self, event=None):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            parsed = [json.loads(line) for line in log if line.startswith("{")]
        return [line for line in parsed if event in (None, line["event"])]


class Response:
    """A response as a caller received it; `complete` is false when its body was cut off."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


def send_request(port, method, path, headers, body=None, timeout=8):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        received, complete = b"", True
        try:
            received = response.read()
        except http.client.IncompleteRead as error:
            received, complete = error.partial, False
        return Response(response.status, dict(response.getheaders()), received, complete)
    finally:
        connection.close()


# These ports lie below the system's ephemeral range: from that range, an outgoing connection
# could take a port between the check here and an entry's start. Each test process has a
# part of the ports for itself.
PORTS_PER_PROCESS = 100
FIRST_PORT = 10_000 + os.getpid() % 200 * PORTS_PER_PROCESS
port_candidates = itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORTS_PER_PROCESS))


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_port():
    return next(port for port in port_candidates if is_free(port))


def wait_for(condition, description, timeout_s=10):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError(f"waited {timeout_s} s for {description}")


class Site:
    """The store, the replicas and the entries of a test."""

    id_numbers = itertools.count(1)

    def __init__(self, build, directory, entries=1, grace_ms=4000, fleet=None, settings=None):
        self.program = os.path.join(build, "agateseam-entry")
        self.directory = directory
        os.makedirs(directory, exist_ok=True)
        for old in os.listdir(directory):
            if old.endswith(".log"):
                os.remove(os.path.join(directory, old))
        self.grace_ms = grace_ms
        self.extra_settings = settings or {}
        self.descriptor_limit = None  # Of each entry, if set.
        self.fleet = fleet or {"allowance_reserve_tokens": 100_000, "repeat_extra": 100,
                               "repeat_ratio": 0.2}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = self.run_coroutine(self.make_store())
        self.replicas = []
        self.link_bytes_per_s = 0  # If set, of each entry's links to the store and to entries.
        self.peer_links = {}  # By the addresses of the entries that they stand for.
        self.entry_count = entries
        self.entries = []

    async def make_store(self):
        store = Store()
        await store.start()
        return store

    def run_coroutine(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def run_on_loop(self, function, *arguments):
        """Runs a synchronous function on the event loop of the stand-ins."""
        async def call_function():
            return function(*arguments)
        return self.run_coroutine(call_function())

    def add_replica(self, *arguments, listed=True, **options):
        async def make():
            replica = Replica(*arguments, **options)
            await replica.start()
            replica.site = self
            return replica
        replica = self.run_coroutine(make())
        self.replicas.append(replica)
        if listed:
            self.publish_replica(replica)
        return replica

    def publish_replica(self, replica, state="ready"):
        self.run_on_loop(self.store.put, "servers", replica.id, replica.server_spec(state))

    def add_store_address(self):
        async def make():
            address = StoreAddress(self.store)
            await address.start()
            return address
        return self.run_coroutine(make())

    def add_link(self, target, peer_links=None):
        link = self.run_coroutine(
            Link(target, self.link_bytes_per_s, peer_links).start(free_port()))
        if peer_links is not None:
            peer_links[target] = link
            self.store.link_addresses[target] = link.address
        return link

    def evacuate(self, domain, content=None):
        """Returns the time of the store's answer."""
        self.run_on_loop(self.store.put, "evacuations", domain, {} if content is None else content)
        return time.monotonic()

    def take_back(self, domain, cold_s=0.0):
        """Ends an evacuation; the domain's servers have just become cold if `cold_s` is given.
        Returns the time at which it began to end."""
        began = time.monotonic()

        def change():
            for replica in self.replicas_in(domain):
                if cold_s:
                    replica.become_cold(cold_s)
            self.store.remove("evacuations", domain)
        self.run_on_loop(change)
        return began

    def replicas_in(self, domain):
        return [replica for replica in self.replicas if replica.zone == domain]

    def requests_in(self, domain, begin, end=float("inf")):
        """Returns what reached the domain's servers in a time, as (time, replica, request)."""
        return sorted(((request.arrived, replica, request) for replica in self.replicas_in(domain)
                       for request in replica.requests if begin <= request.arrived <= end),
                      key=lambda arrival: arrival[0])

    def configure(self, version, **overrides):
        self.run_on_loop(self.store.put, "config", "main", configuration(version, **overrides))

    def add_default_replicas(self):
        """Adds two plain replicas, one for prefill and two for decode."""
        return (self.add_replica("plain"), self.add_replica("plain"),
                self.add_replica("model", stage="prefill"),
                self.add_replica("model", stage="decode"),
                self.add_replica("model", stage="decode"))

    def start(self):
        self.entries = [Entry(self, number) for number in range(self.entry_count)]
        wait_for(lambda: all(entry.is_ready() for entry in self.entries), "entries to be ready")
        return self

    def replicas_of(self, service, stage=None):
        return [replica for replica in self.replicas
                if replica.service == service and replica.stage == stage]

    def headers(self, **extra_headers):
        result = {"Host": HOST, "Agateseam-Request-Id": f"q{next(Site.id_numbers):08x}",
                  "Agateseam-Request-Deadline": "4000", "Authorization": "Bearer " + KEY}
        result.update({name.replace("_", "-"): value for name, value in extra_headers.items()})
        return result

    def get(self, path, entry=0, **extra_headers):
        return send_request(self.entries[entry].callers, "GET", path,
                            self.headers(**extra_headers))

    def post(self, path, body=b"{}", entry=0, **extra_headers):
        return send_request(self.entries[entry].callers, "POST", path,
                            self.headers(**extra_headers), body)

    def request_stream(self, path="/draft/a", tokens="500,40", entry=0, **extra_headers):
        return self.post(path, entry=entry, Agateseam_Model="m",
                         Agateseam_Token_Count=tokens, **extra_headers)

    def close(self):
        for entry in self.entries:
            entry.end()
            entry.process.wait()
        self.run_coroutine(self.cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    @staticmethod
    async def cancel_tasks():
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

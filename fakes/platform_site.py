"""A stand-in for the platform: its store, plain replicas and model replicas, on loopback.

Written from the platform's published pages. Everything runs on one event loop in a thread;
tests change behaviour from outside: `store.mode`, `replica.script`, `site.configure`. Entries
are real processes, ended by their ids.
"""

import asyncio
import http.client
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import threading
import time

HOST = "site.example"
KEY = "key-of-oshana-0001"
EVENT = "id: %d\ndata: %s\n\n"


class Request:
    """One request as it came."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def id(self):
        return self.header("Agateseam-Request-Id")


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer_bytes(status, body, headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    link = writer.get_extra_info("socket")
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Accepts connections and answers each request by `answer`."""

    def __init__(self):
        self.address = None
        self.connections = 0
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def connection(self, reader, writer):
        self.connections += 1
        try:
            while await self.answer(await read_request(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass  # The other side, or the test, has ended.
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, one revision, watches."""

    def __init__(self):
        super().__init__()
        self.kinds = {}
        self.revision = 1
        self.history = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.mode = "up"  # or: busy, silent, reset
        self.calls = []

    def put(self, kind, name, spec):
        self.revision += 1
        made = {"metadata": {"name": name, "revision": self.revision, "created": 1,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.kinds.setdefault(kind, {})[name] = made
        self.record(kind, made, False)
        return made

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self.record(kind, gone, True)
        return gone

    def record(self, kind, made, tombstone):
        self.history.append((self.revision, kind, {"object": made, "tombstone": tombstone}))
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Forgets the history."""
        self.history, self.oldest = [], self.revision + 1
        self.revision += 1

    async def answer(self, request, reader, writer):
        self.calls.append((request.method, request.target))
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            reset(writer)
            return False
        if self.mode == "busy":
            writer.write(answer_bytes(503, {}))
            return True
        status, body = await self.serve(request)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        writer.write(answer_bytes(status, body))
        await writer.drain()
        return True

    async def serve(self, request):
        path, _, query = request.target.partition("?")
        asked = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.removeprefix("/v1/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method == "GET" and "watch" in asked:
            return await self.watch(kind, int(asked["watch"]), int(asked.get("wait_ms", 0)))
        if request.method == "GET":
            items = [self.kinds.get(kind, {})[key] for key in sorted(self.kinds.get(kind, {}))]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        if request.method == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        made = json.loads(request.body)
        wanted = name or made["metadata"]["name"]
        known = self.kinds.get(kind, {}).get(wanted)
        if request.method == "POST" and known:
            return 409, known
        if request.method == "PUT" and not known:
            return 404, {}
        return 200, self.put(kind, wanted, made.get("spec"))

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [event for revision, of, event in self.history
                      if of == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """One replica; `script` may answer a request in its own way."""

    numbers = itertools.count(1)

    def __init__(self, service, stage=None, zone="zone-a", capacity=100_000):
        super().__init__()
        self.id = f"i-{next(Replica.numbers):04d}"
        self.service, self.stage, self.zone = service, stage, zone
        self.capacity = capacity
        self.script = None  # async (replica, request, reader, writer) -> bool or None
        self.seen, self.runs, self.closed_early = [], [], []
        self.holds, self.handles, self.running = {}, {}, {}
        self.events, self.event_pause = 4, 0.0
        self.handle_numbers = itertools.count(1)

    def entry(self, state="ready"):
        made = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
                "sequence": 1}
        if self.stage:
            made["stage"] = self.stage
        return made

    def signed(self, request):
        return [("Agateseam-Request-Id", request.id),
                ("Agateseam-Response-Signature", f"{self.id}.{request.id}"),
                ("Keep-Alive", "timeout=10")]

    async def answer(self, request, reader, writer):
        self.seen.append(request)
        if self.script:
            done = await self.script(self, request, reader, writer)
            if done is not None:
                return done
        expected = request.header("Agateseam-Expect-Instance")
        if expected and expected != self.id:
            writer.write(answer_bytes(421, {}, [("Agateseam-Instance-Id", self.id)]))
            return True
        if request.target.startswith("/v1/"):
            writer.write(self.call(request))
            return True
        if self.stage is None:
            return await self.plain(request, writer)
        if request.header("Agateseam-Stage") == "prefill":
            handle = f"{self.id}h{next(self.handle_numbers)}"
            self.handles[handle] = request.id
            writer.write(answer_bytes(200, {"kv_handle": handle, "tokens": 1, "version": 1}))
            return True
        return await self.stream(request, writer)

    def call(self, request):
        if request.target == "/v1/hold-take":
            wanted = json.loads(request.body)["tokens"]
            if sum(self.holds.values()) + sum(self.running.values()) + wanted > self.capacity:
                return self.refusal()
            name = f"hold{next(self.handle_numbers)}"
            self.holds[name] = wanted
            return answer_bytes(200, {"hold": name})
        name = request.target.rsplit("/", 1)[1]
        self.holds.pop(name, None)
        self.handles.pop(name, None)
        return answer_bytes(200, {})

    @staticmethod
    def refusal():
        return answer_bytes(503, {}, [("Agateseam-Not-Executed", "1")])

    async def plain(self, request, writer):
        self.runs.append(request.id)
        writer.write(answer_bytes(200, f"body of {request.id}".encode(), self.signed(request)))
        await writer.drain()
        return True

    async def stream(self, request, writer):
        hold = self.holds.pop(request.header("Agateseam-Kv-Hold"), 0)
        self.runs.append(request.id)
        self.running[request.id] = hold
        finished = False
        try:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked"]
            head += [f"{name}: {value}" for name, value in self.signed(request)]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(request.header("Last-Event-Id", "0")) + 1
            for number in range(first, self.events + 1):
                event = (EVENT % (number, f"{request.id}.{number}")).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if self.event_pause:
                    await asyncio.sleep(self.event_pause)
                if writer.transport.is_closing():
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            finished = True
        finally:
            if not finished:
                self.closed_early.append(request.id)
            self.running.pop(request.id, None)
        return True


def route(prefix, rule, service, **members):
    made = {"name": "r-" + prefix.strip("/"), "host": HOST, "path_prefix": prefix,
            "route_type": rule, "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": 2, "public": False, "resumable": False}
    made.update(members)
    return made


def configuration(version, **members):
    engine = {"slots": 64, "kv_capacity": 100_000, "kv_token_bytes": 1000, "kv_hold_s": 0.5,
              "hold_ms": 2000.0}
    made = {"version": version,
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
    made.update(members)
    return made


class Entry:
    """One entry process."""

    def __init__(self, site, number):
        self.name = f"front-{number}"
        self.site = site
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness, self.metrics, self.peers = ports
        self.settings = os.path.join(site.directory, self.name + ".json")
        self.written = {"vm": self.name, "failure_domain": "zone-a",
                        "callers": f"127.0.0.1:{self.callers}",
                        "readiness": f"127.0.0.1:{self.readiness}",
                        "metrics": f"127.0.0.1:{self.metrics}",
                        "peers": f"127.0.0.1:{self.peers}", "seeds": [],
                        "store": site.store.address, "grace_ms": site.grace_ms,
                        "fleet": site.fleet, **site.more_settings}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.written, file)
        self.log_path = os.path.join(site.directory, self.name + ".log")
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([self.site.program, "--settings", self.settings],
                                          stdout=log, stderr=log)

    def ready(self):
        try:
            return ask(self.readiness, "GET", "/v1/readiness", {}).status == 200
        except OSError:
            return False

    def end(self, how=signal.SIGKILL):
        if self.child.poll() is None:
            self.child.send_signal(how)

    def lines(self, event=None):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            made = [json.loads(line) for line in log if line.startswith("{")]
        return [line for line in made if event in (None, line["event"])]


class Answer:
    """What a caller got; `whole` tells whether it ended properly."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


def ask(port, method, path, headers, body=None, timeout=8):
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        link.request(method, path, body, headers)
        got = link.getresponse()
        text, whole = b"", True
        try:
            text = got.read()
        except http.client.IncompleteRead as cut:
            text, whole = cut.partial, False
        return Answer(got.status, dict(got.getheaders()), text, whole)
    finally:
        link.close()


# Below the system's own range, from which any outgoing connection may take a port between
# the look here and an entry's start; a part of it for each test process.
PORTS_OF_A_PROCESS = 100
FIRST_PORT = 10_000 + os.getpid() % 200 * PORTS_OF_A_PROCESS
ports = itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORTS_OF_A_PROCESS))


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_port():
    return next(port for port in ports if is_free(port))


def wait_for(condition, what, limit_s=10):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError(f"waited {limit_s} s for {what}")


class Site:
    """The stand-ins and the entries together."""

    request_numbers = itertools.count(1)

    def __init__(self, build, directory, entries=1, grace_ms=4000, fleet=None, settings=None):
        self.program = os.path.join(build, "agateseam-entry")
        self.directory = directory
        os.makedirs(directory, exist_ok=True)
        for old in os.listdir(directory):
            if old.endswith(".log"):
                os.remove(os.path.join(directory, old))
        self.grace_ms = grace_ms
        self.more_settings = settings or {}
        self.fleet = fleet or {"allowance_reserve_tokens": 100_000, "repeat_extra": 100,
                               "repeat_ratio": 0.2}
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = self.call(self.make_store())
        self.replicas = []
        self.wanted = entries
        self.entries = []

    async def make_store(self):
        store = Store()
        await store.start()
        return store

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def run(self, function, *arguments):
        """Runs a plain function on the stand-ins' loop."""
        async def run():
            return function(*arguments)
        return self.call(run())

    def add(self, *arguments, listed=True, **members):
        async def make():
            replica = Replica(*arguments, **members)
            await replica.start()
            return replica
        replica = self.call(make())
        self.replicas.append(replica)
        if listed:
            self.list(replica)
        return replica

    def list(self, replica, state="ready"):
        self.run(self.store.put, "servers", replica.id, replica.entry(state))

    def configure(self, version, **members):
        self.run(self.store.put, "config", "main", configuration(version, **members))

    def usual_replicas(self):
        """Two plain replicas, one that prefills and two that decode."""
        return (self.add("plain"), self.add("plain"), self.add("model", stage="prefill"),
                self.add("model", stage="decode"), self.add("model", stage="decode"))

    def start(self):
        self.entries = [Entry(self, number) for number in range(self.wanted)]
        wait_for(lambda: all(entry.ready() for entry in self.entries), "entries to be ready")
        return self

    def of(self, service, stage=None):
        return [replica for replica in self.replicas
                if replica.service == service and replica.stage == stage]

    def headers(self, **more):
        made = {"Host": HOST, "Agateseam-Request-Id": f"q{next(Site.request_numbers):08x}",
                "Agateseam-Request-Deadline": "4000", "Authorization": "Bearer " + KEY}
        made.update({name.replace("_", "-"): value for name, value in more.items()})
        return made

    def get(self, path, entry=0, **more):
        return ask(self.entries[entry].callers, "GET", path, self.headers(**more))

    def post(self, path, body=b"{}", entry=0, **more):
        return ask(self.entries[entry].callers, "POST", path, self.headers(**more), body)

    def draft(self, path="/draft/a", tokens="500,40", entry=0, **more):
        return self.post(path, entry=entry, Agateseam_Model="m",
                         Agateseam_Token_Count=tokens, **more)

    def close(self):
        for entry in self.entries:
            entry.end()
            entry.child.wait()
        self.call(self.end_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    @staticmethod
    async def end_tasks():
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

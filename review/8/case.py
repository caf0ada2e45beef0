"""Shows that an entry drops Last-Event-Id from streams that it doesn't take for model requests.

Two entries, a store, two replicas of a plain service and two of a model service. A client reads
a stream of a resumable route at a limited rate. Its connection is reset in the middle, and it
goes on at the other entry with the number of the last event that it has, as PROTOCOL.md says.
Prints and records what was sent, answered and run. Exits with 1 if a piece came twice.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
PROGRAM = os.path.join(ROOT, "target", "agateseam-entry")  # As the deploy file runs it.
HOST, KEY = "site.example", "3d3zji9n73hh2b9wu3fe"
EVENTS, EVENT_BYTES, EVENT_PAUSE_S = 130, 1600, 0.002  # The most of the site's streams.
CLIENT_BYTES_PER_S = 100_000
RESET_AFTER_BYTES = 80_000
record = []


def note(text):
    record.append(f"{time.monotonic() - BEGAN:7.3f} {text}")
    print(record[-1], flush=True)


def event_of(number):
    data = f"piece-{number}-"
    return f"id: {number}\ndata: {data}{'x' * (EVENT_BYTES - len(data))}\n\n".encode()


def free_port():
    """Returns a port that is free for TCP and UDP, below those of outgoing connections."""
    while True:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def answer_bytes(status, body, fields=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: configuration and servers don't change in this case."""

    def __init__(self):
        self.kinds, self.revision = {}, 1

    def put(self, kind, name, spec):
        self.revision += 1
        self.kinds.setdefault(kind, {})[name] = {
            "metadata": {"name": name, "revision": self.revision, "created": 1,
                         "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        return self.kinds[kind][name]

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, answer = await self.call(*start.split(" ")[:2], body)
                writer.write(answer_bytes(status, json.dumps(answer).encode(),
                                          [("Content-Type", "application/json")]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            since, until = int(query["watch"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [{"object": item, "tombstone": False} for item in objects.values()
                          if item["metadata"]["revision"] > since]
                if events or time.monotonic() >= until:
                    return 200, {"events": events, "current_rev": self.revision}
                await asyncio.sleep(0.02)
        if method == "GET" and not name:
            return 200, {"items": [objects[key] for key in sorted(objects)], "has_more": False,
                         "current_rev": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            return (200, objects.pop(name)) if name in objects else (404, {})
        sent = json.loads(body)
        name = name or sent["metadata"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        return 200, self.put(kind, name, sent["spec"])


class Replica:
    """A sound replica: it streams its events, from the one after Last-Event-Id on."""

    def __init__(self, name):
        self.name = name

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(start, fields, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, start, fields, writer):
        request = fields.get("agateseam-request-id")
        echoed = [("Agateseam-Request-Id", request)] if request else []
        if fields.get("agateseam-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", echoed))
            return
        if start.split(" ")[1].startswith("/v1/report"):
            writer.write(answer_bytes(200, b'{"kv_used":0,"kv_total":75461}'))
            return
        first = int(fields.get("last-event-id", "0")) + 1
        note(f"{self.name} runs {request} from event {first} (Last-Event-Id "
             f"{fields.get('last-event-id', 'missing')})")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", f"Agateseam-Response-Signature: s.{request}"]
        head += [f"{name}: {value}" for name, value in echoed]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = event_of(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        note(f"{self.name} has sent all of {request}")


class SlowLink:
    """A link between the client and an entry. It resets the connection after some bytes."""

    def __init__(self, port, reset_after=None):
        self.port, self.reset_after = port, reset_after

    async def serve(self, reader, writer):
        to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8192)
        forward = asyncio.ensure_future(self.pump(reader, to_writer))
        passed = 0
        try:
            while chunk := await to_reader.read(4096):
                await asyncio.sleep(len(chunk) / CLIENT_BYTES_PER_S)
                writer.write(chunk)
                await writer.drain()
                passed += len(chunk)
                if self.reset_after is not None and passed >= self.reset_after:
                    note(f"the connection is reset after {passed} bytes of the answer")
                    for end in (writer, to_writer):
                        end.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        end.transport.abort()
                    return
        except ConnectionError:
            pass
        finally:
            forward.cancel()
            writer.close()
            to_writer.close()

    @staticmethod
    async def pump(reader, writer):
        try:
            while chunk := await reader.read(4096):
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            pass


def split_events(body):
    """Returns the numbers of the whole events in what a client received."""
    numbers = []
    while b"\n\n" in body:
        event, body = body.split(b"\n\n", 1)
        number = int(event.split(b"\n", 1)[0].removeprefix(b"id: "))
        if event + b"\n\n" != event_of(number):
            raise ValueError(f"event {number} isn't whole")
        numbers.append(number)
    return numbers


async def request_stream(port, path, request, fields):
    """Returns the status, the numbers of the events received and whether the answer ended."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Content-Length: 2",
             f"Agateseam-Request-Id: {request}", "Agateseam-Request-Deadline: 14000",
             f"Authorization: Bearer {KEY}"] + fields
    writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
    note(f"client sends {request} to {path} {' '.join(fields)}")
    status, body, complete = None, b"", False
    try:
        start, head = await read_head(reader)
        status = int(start.split(" ")[1])
        if "content-length" in head:
            left = int(head["content-length"])
            while left > 0 and (part := await reader.read(min(left, 4096))):
                body, left = body + part, left - len(part)
            complete = left == 0
        else:
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                body += (await reader.readexactly(size + 2))[:-2]
            complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
    numbers = split_events(body) if status == 200 else []
    shown = f"{numbers[0]} to {numbers[-1]}" if numbers else "none"
    note(f"client gets of {request}: status {status}, events {shown}, complete {complete}")
    return status, numbers, complete


async def listen(handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def route(prefix, service):
    return {"name": "r" + prefix.replace("/", "-"), "host": HOST, "path_prefix": prefix,
            "route_type": "streaming", "timeout_ms": 14000, "target_latency_ms": 900,
            "priority": 1, "service": service, "max_attempts": 2, "public": False,
            "session_affinity": service == "loafmind", "resumable": True, "gap_target_ms": 300}


def start_entry(number, directory, store_port):
    ports = [free_port() for _ in range(4)]
    settings = {"vm": f"front-{number}", "failure_domain": "khomas-a",
                "callers": f"127.0.0.1:{ports[0]}", "readiness": f"127.0.0.1:{ports[1]}",
                "metrics": f"127.0.0.1:{ports[2]}", "peers": f"127.0.0.1:{ports[3]}",
                "seeds": [], "store": f"127.0.0.1:{store_port}", "grace_s": 8,
                "memory_mb": 110, "descriptors": 4100, "link_mbps": 1000,
                "regions": {"khomas-a": "khomas"},
                "fleet": {"allowance_reserve_tokens": 110000, "allowance_overage": 0.1,
                          "allowance_window_s": 8, "repeat_extra": 58, "repeat_ratio": 0.2,
                          "repeat_window_s": 10}}
    path = os.path.join(directory, f"front-{number}.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(settings, file)
    process = subprocess.Popen(
        [PROGRAM], env={**os.environ, "AGATESEAM_SETTINGS": path}, cwd=ROOT,
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    return process, ports


async def wait_until_ready(port):
    for _ in range(500):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            start, _ = await read_head(reader)
            writer.close()
            if start.split(" ")[1] == "200":
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.02)
    raise TimeoutError("an entry isn't ready")


async def play(name, path, fields, ports):
    """Returns whether a piece came twice, or None if the client got too little to tell."""
    _, first_port = await listen(SlowLink(ports[0], RESET_AFTER_BYTES if TROUBLE else None).serve)
    _, numbers, complete = await request_stream(first_port, path, name + "-try1", fields)
    received = list(numbers)
    if not complete:
        if not numbers:
            return None
        _, second_port = await listen(SlowLink(ports[1]).serve)
        _, more, complete = await request_stream(second_port, path, name + "-try2",
                                                 fields + [f"Last-Event-Id: {numbers[-1]}"])
        received += more
    twice = sorted({number for number in received if received.count(number) > 1})
    missing = sorted(set(range(1, EVENTS + 1)) - set(received)) if complete else []
    note(f"{name}: {len(received)} events, complete {complete}, {len(twice)} came twice"
         + (f" ({twice[0]} to {twice[-1]})" if twice else "") + f", {len(missing)} missing")
    if not complete:
        return None
    return bool(twice or missing)


async def run(directory, processes):
    store = Store()
    _, store_port = await listen(store.serve)
    for service, stage in (("desk", None), ("desk", None), ("loafmind", "decode"),
                           ("loafmind", "decode")):
        replica = Replica(f"i-{service}-{len(store.kinds.get('servers', {}))}")
        _, port = await listen(replica.serve)
        spec = {"service": service, "address": f"127.0.0.1:{port}", "zone": "khomas-a",
                "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                "sequence": 1, "born": int(time.time() * 1000)}
        if stage:
            spec["stage"] = stage
        store.put("servers", replica.name, spec)
    engine = {"slots": 64, "kv_capacity": 75461, "kv_token_bytes": 327680, "stride": 59,
              "kv_hold_s": 0.5, "models": [{"name": "m"}]}
    store.put("config", "main", {
        "version": 7, "routes": [route("/desk/", "desk"), route("/draft/", "loafmind")],
        "services": [{"name": "desk", "health_path": "/health", "max_connections": 110},
                     {"name": "loafmind", "health_path": "/health", "max_connections": 370,
                      "engine": engine}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1,
                     "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 82472,
                     "burst": 82472}]})
    entries = [start_entry(number, directory, store_port) for number in (1, 2)]
    processes += [process for process, _ in entries]
    for _, ports in entries:
        await wait_until_ready(ports[1])
    callers = [ports[0] for _, ports in entries]
    results = {
        "plain-service": await play("plain-service", "/desk/a", [], callers),
        "no-token-count": await play("no-token-count", "/draft/a", ["Agateseam-Model: m"],
                                     callers)}
    note(f"pieces came twice or are missing: {results}")
    if any(results.values()):
        return 1
    return 2 if None in results.values() else 0


def main():
    processes, code = [], 2
    with tempfile.TemporaryDirectory() as directory:
        try:
            code = asyncio.run(asyncio.wait_for(run(directory, processes), 100))
        except Exception as fault:  # pylint: disable=broad-except
            note(f"could not run: {fault!r}")
        finally:
            for process in processes:
                process.send_signal(signal.SIGKILL)
                process.wait()
    note(f"exit {code}")
    with open(os.path.join(FOLDER, "record.txt"), "w", encoding="utf-8") as file:
        file.write("\n".join(record) + "\n")
    return code


BEGAN = time.monotonic()
if __name__ == "__main__":
    sys.exit(main())

"""Starts the daemons beside callers that make an entry hold bytes or connections.

The entry's memory, its descriptors and the limits of a request are small, so that a small crowd
would exceed them. The time limits of requests are long: none of them ends what the crowd holds.
"""

import json
import os
import signal
import sys
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "../../scripts/lib"), os.path.join(HERE, "../../fakes")]
from caller_crowd import Crowd, chunks, peak_memory_mb, unread_mb  # noqa: E402
from fleet import Fleet, call_http  # noqa: E402

MEMORY_MB = 64
DESCRIPTORS, MANY_DESCRIPTORS = 256, 2048
MAX_DESCRIPTOR_PART = 3 / 4  # The rest is for the entry's own connections.
CALLERS, MANY_CALLERS = 120, 1100
IDLE_CALLERS = 400
BODY_BYTES = 1 << 20
HEADER_BYTES = 32 << 10
LARGE_CHUNK, SMALL_CHUNK = 64 << 10, 8
LISTEN = {"memory_mb": MEMORY_MB, "body_bytes": BODY_BYTES, "header_bytes": HEADER_BYTES,
          "idle_seconds": 60, "request_ms": 60_000}
BODY = (b'{"model":"drafter","max_tokens":3,"prompt":"' + b"b" * BODY_BYTES)[:BODY_BYTES - 2] + b'"}'
ORDINARY = json.dumps({"model": "drafter", "prompt": "ordinary", "max_tokens": 3}).encode()


def check(condition, *details):
    if not condition:
        raise AssertionError(details)


class CrowdedFleet(Fleet):
    """A fleet with one entry whose memory and descriptors are limited."""

    def __init__(self, build, directory, descriptors=DESCRIPTORS, **options):
        super().__init__(build, directory, entries=1, prefill=1, decode=2, services=1,
                         listen=LISTEN, **options)
        self.descriptor_limit = descriptors

    def start(self):
        super().start()
        self.configure(("oshana",))
        self.check_served()
        return self

    def head(self, path="/v1/completions"):
        return (f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                f"Authorization: Bearer {self.keys['oshana']}\r\n").encode()

    def check_entry(self, step):
        process = self.processes["entry-1"].child
        check(process.poll() is None, step, "the entry has ended", process.poll())
        peak = peak_memory_mb(process.pid)
        unread = unread_mb(process.pid)
        descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        print(f"  {step}: peak of {peak:.0f} MB, {unread:.0f} MB in the kernel,",
              f"{descriptors} descriptors", flush=True)
        check(peak + unread <= MEMORY_MB, step, "MB", peak, unread)
        check(descriptors <= self.descriptor_limit * MAX_DESCRIPTOR_PART, step, "descriptors",
              descriptors)

    def check_agents(self, step):
        for name, _, _ in self.agents:
            process = self.processes[name].child
            check(process.poll() is None, step, name, "has ended", process.poll())
            peak = peak_memory_mb(process.pid)
            print(f"  {step}: {name} peak of {peak:.0f} MB", flush=True)
            check(peak <= MEMORY_MB, step, name, "MB", peak)

    def check_served(self, path="/v1/completions", body=ORDINARY):
        headers = {"Authorization": "Bearer " + self.keys["oshana"],
                   "Content-Type": "application/json"}
        status, _, answer = call_http("POST", self.entry_urls()[0] + path, body, headers)
        check(status == 200, path, status, answer[:200])

    def check_crowd(self, callers, at_engines=False, **options):
        """Checks the entry, and that it serves ordinary requests, beside a crowd and after it.

        Engines that have the crowd's prompts to read are not asked for others beside it, and what
        is there isn't given up for a new request that is as large.
        """
        with Crowd(self.processes["entry-1"].port, callers, **options):
            self.check_beside(at_engines)
        self.check_after(at_engines)

    def check_beside(self, at_engines=False):
        self.check_entry("beside the crowd")
        self.check_served("/orders/ordinary")
        if not at_engines:
            self.check_served()
            self.check_served("/orders/largest", BODY)

    def check_after(self, at_engines=False):
        self.check_served("/orders/largest", BODY)
        if not at_engines:
            self.check_served()
        self.check_entry("after the crowd")


def length_head(fleet, length=BODY_BYTES, **options):
    return fleet.head(**options) + b"Content-Length: %d\r\n\r\n" % length


def chunk_head(fleet):
    return fleet.head() + b"Transfer-Encoding: chunked\r\n\r\n"


def test_whole_bodies_that_wait(build, directory):
    """The engines take longer than the test for what the crowd sends."""
    with CrowdedFleet(build, directory) as fleet:
        body = BODY.replace(b'"max_tokens":3', b'"max_tokens":4000,"stream":true')[:-40]
        body = body + b'"}'
        fleet.check_crowd([[length_head(fleet, len(body)), body]] * CALLERS, at_engines=True)


class LargeEntryFleet(CrowdedFleet):
    """A fleet whose entry may hold the whole crowd, but not its agents."""

    def daemon_settings(self, name, domain, role, port=0):
        content = super().daemon_settings(name, domain, role, port)
        if role == "entry":
            content["listen"] = {**content["listen"], "memory_mb": 16 * MEMORY_MB}
        return content


def test_bodies_of_many_small_values_at_agents(build, directory):
    """Guards against what a parsed body takes beside its text."""
    with LargeEntryFleet(build, directory) as fleet:
        begin = b'{"model":"drafter","prompt":"b","max_tokens":4000,"stream":true,"other":['
        body = begin + b"[]," * ((BODY_BYTES - len(begin) - 8) // 3) + b"[]]}"
        heads = [length_head(fleet, len(body))] * CALLERS
        with Crowd(fleet.processes["entry-1"].port, [[head, body] for head in heads]):
            fleet.check_agents("beside the crowd")
            fleet.check_served("/orders/ordinary")
        fleet.check_served("/orders/ordinary")


def test_bodies_that_arrive_while_the_entry_does_not_run(build, directory):
    """Guards against bytes that only the kernel holds, as when an entry's processor is busy."""
    with CrowdedFleet(build, directory, MANY_DESCRIPTORS) as fleet:
        entry = fleet.processes["entry-1"]
        with Crowd(entry.port, [[length_head(fleet), BODY[:1]]] * MANY_CALLERS) as crowd:
            entry.child.send_signal(signal.SIGSTOP)
            try:
                for caller in crowd.callers:
                    caller.blocks = [memoryview(BODY[2:])]
                crowd.send_all()
                fleet.check_entry("while it doesn't run")
            finally:
                entry.child.send_signal(signal.SIGCONT)
            crowd.send_all()
            fleet.check_beside()
        fleet.check_after()


def test_bodies_that_stop_before_their_end(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fleet.check_crowd([[length_head(fleet), BODY[:-1]]] * CALLERS)


def test_large_chunks_that_stop_before_their_end(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fleet.check_crowd([[chunk_head(fleet), chunks(BODY, LARGE_CHUNK)]] * CALLERS)


def test_small_chunks_that_stop_before_their_end(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fleet.check_crowd([[chunk_head(fleet), chunks(BODY, SMALL_CHUNK)]] * CALLERS)


def test_bodies_over_the_limit(build, directory):
    """Half of the crowd announces the length, the other half just sends."""
    with CrowdedFleet(build, directory) as fleet:
        body = chunks(BODY * 4, LARGE_CHUNK)
        fleet.check_crowd([[length_head(fleet, 100 * BODY_BYTES), BODY * 4],
                           [chunk_head(fleet), body]] * (CALLERS // 2))


def test_heads_of_many_fields_that_stop_before_their_end(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        head = fleet.head()
        fields = b"a:\r\n" * ((HEADER_BYTES - len(head)) // 4 - 1)
        fleet.check_crowd([[head + fields]] * CALLERS)


def test_bodies_behind_heads_of_many_fields(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fields = b"a:\r\n" * 1000
        head = fleet.head() + fields + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        fleet.check_crowd([[head, BODY[:1]]] * CALLERS)


def test_answers_that_are_not_read(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        body = json.dumps({"model": "drafter", "prompt": "unread", "max_tokens": 4000}).encode()
        fleet.check_crowd([[(length_head(fleet, len(body)) + body) * 4]] * CALLERS,
                          receive_buffer=4096)


def test_connections_without_a_request(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fleet.check_crowd([[] for _ in range(IDLE_CALLERS)])


def test_connections_with_a_part_of_a_head(build, directory):
    with CrowdedFleet(build, directory) as fleet:
        fleet.check_crowd([[fleet.head()] for _ in range(IDLE_CALLERS)])


def main(functions):
    build, names = sys.argv[1], sys.argv[2:]
    failed = []
    names = names or sorted(name for name in functions if name.startswith("test_"))
    for name in names:
        try:
            functions[name](build, os.path.join(build, "test-misbehaving", name))
            print("ok", name, flush=True)
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            failed.append(name)
    print(f"{len(names) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(globals()))

"""Tests an entry beside callers that make it hold bytes or connections.

The entry's memory, its descriptors and the limits of a request are small, so that a small crowd
would exceed them. The time limits of requests are long: none of them ends what the crowd holds.
"""

import asyncio
import os
import re
import signal
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from caller_crowd import Crowd, chunks, peak_memory_mb, unread_mb  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Site, configuration, route, wait_for  # noqa: E402

MEMORY_MB = 48
DESCRIPTORS, MANY_DESCRIPTORS = 256, 2048
MAX_DESCRIPTOR_PART = 3 / 4  # The rest is for the entry's own connections.
CALLERS, MANY_CALLERS = 120, 1100
IDLE_CALLERS = 400
BODY_BYTES = 512 << 10
HEADER_BYTES = 64 << 10
LARGE_CHUNK, SMALL_CHUNK = 64 << 10, 8
ANSWER_BYTES, SMALL_ANSWER_BYTES = 384 << 10, 48 << 10
LIMITS = {"max_header_bytes": HEADER_BYTES, "max_body_bytes": BODY_BYTES,
          "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000}
BODY = b"b" * BODY_BYTES


async def hold(_replica, _request, _reader, _writer):
    await asyncio.sleep(60)
    return False


def answer_with(size):
    async def answer(replica, request, _reader, writer):
        if not request.header("Crowd"):
            return None
        head = ["HTTP/1.1 200 OK", f"Content-Length: {size}"]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + b"y" * size)
        await writer.drain()
        return True
    return answer


async def stream_large(replica, request, _reader, writer):
    if not request.header("Crowd") or not request.target.startswith("/draft/") \
            or request.header("Agateseam-Stage"):
        return None
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(1, ANSWER_BYTES // LARGE_CHUNK):
        writer.write(b"id: %d\ndata: %s\n\n" % (number, b"z" * LARGE_CHUNK))
        await writer.drain()
    return False


class CrowdedSite(Site):
    """A site with one entry whose memory and descriptors are limited."""

    def __init__(self, build, directory, descriptors=DESCRIPTORS):
        super().__init__(build, directory, settings={"memory_mb": MEMORY_MB})
        self.descriptor_limit = descriptors
        self.add_default_replicas()
        self.add_replica("held").handler = hold
        usual = configuration(1)
        held = route("/held/", "unsafe", "held", max_attempts=1, timeout_ms=60_000)
        self.configure(1, limits=LIMITS, routes=usual["routes"] + [held],
                       services=usual["services"] + [{"name": "held"}])
        self.start()
        check(self.get("/safe/before").status == 200)

    def head(self, method="POST", path="/safe/crowd", **fields):
        lines = [f"{method} {path} HTTP/1.1"]
        fields = self.headers(Crowd="1", Agateseam_Request_Deadline="60000", **fields)
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n").encode()

    def heads(self, *arguments, callers=CALLERS, **fields):
        return [self.head(*arguments, **fields) for _ in range(callers)]

    def check_entry(self, step):
        process = self.entries[0].process
        check(process.poll() is None, step, "the entry has ended", process.poll())
        peak = peak_memory_mb(process.pid)
        unread = unread_mb(process.pid)
        descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        print(f"  {step}: peak of {peak:.0f} MB, {unread:.0f} MB in the kernel,",
              f"{descriptors} descriptors", flush=True)
        check(peak + unread <= MEMORY_MB, step, "MB", peak, unread)
        check(descriptors <= self.descriptor_limit * MAX_DESCRIPTOR_PART, step, "descriptors",
              descriptors)

    def check_crowd(self, callers, at_servers=False, **options):
        """Checks the entry, and that it serves ordinary requests, beside a crowd and after it.

        What is at servers isn't given up for a new request that is as large.
        """
        with Crowd(self.entries[0].callers, callers, **options):
            self.check_beside(at_servers)
        self.check_after()

    def check_beside(self, at_servers=False):
        self.check_entry("beside the crowd")
        self.check_served(self.get("/safe/a"))
        if not at_servers:
            self.check_served(self.post("/once/a", BODY))

    def check_after(self):
        self.check_served(self.get("/safe/a"))
        self.check_served(self.post("/once/a", BODY))
        self.check_entry("after the crowd")

    @staticmethod
    def check_served(response):
        check(response.status == 200 and response.complete, response.status, response.body)


def length_heads(site, length=BODY_BYTES, **options):
    return [head + b"Content-Length: %d\r\n\r\n" % length for head in site.heads(**options)]


def chunk_heads(site):
    return [head + b"Transfer-Encoding: chunked\r\n\r\n" for head in site.heads()]


def test_whole_bodies_that_servers_do_not_answer(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[head, BODY] for head in length_heads(site, path="/held/crowd")],
                         at_servers=True)


def test_a_refused_request_reaches_no_server(build, directory):
    with CrowdedSite(build, directory) as site:
        heads = length_heads(site, path="/held/crowd")
        with Crowd(site.entries[0].callers, [[head, BODY] for head in heads]) as crowd:
            answers = [caller.read_available() for caller in crowd.callers]
        ids = [re.search(rb"Agateseam-Request-Id: (\w+)", head).group(1).decode()
               for head in heads]
        refused = {request for request, answer in zip(ids, answers)
                   if answer.startswith(b"HTTP/1.1 503 ")}
        received = {request.id for replica in site.replicas for request in replica.requests}
        print(f"  {len(refused)} refused, {len(received & set(ids))} received by a server")
        check(refused and received & set(ids))
        check(not refused & received, refused & received)


def test_whole_bodies_that_wait_for_a_decode_place(build, directory):
    with CrowdedSite(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.capacity = 0
        heads = length_heads(site, path="/draft/crowd", Agateseam_Model="m",
                             Agateseam_Token_Count="500,40")
        site.check_crowd([[head, BODY] for head in heads])


def test_bodies_that_stop_before_their_end(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[head, BODY[1:]] for head in length_heads(site)])


def test_large_chunks_that_stop_before_their_end(build, directory):
    with CrowdedSite(build, directory) as site:
        body = chunks(BODY, LARGE_CHUNK)
        site.check_crowd([[head, body] for head in chunk_heads(site)])


def test_small_chunks_that_stop_before_their_end(build, directory):
    with CrowdedSite(build, directory) as site:
        body = chunks(BODY, SMALL_CHUNK)
        site.check_crowd([[head, body] for head in chunk_heads(site)])


def test_bodies_over_the_limit(build, directory):
    """Half of the crowd announces the length, the other half just sends."""
    with CrowdedSite(build, directory) as site:
        length = length_heads(site, 100 * BODY_BYTES)[::2]
        sent = chunk_heads(site)[::2]
        body = chunks(BODY * 4, LARGE_CHUNK)
        site.check_crowd([[head, BODY * 4] for head in length] + [[head, body] for head in sent])


def test_a_chunk_header_without_an_end_is_refused(build, directory):
    with CrowdedSite(build, directory) as site:
        head = site.head() + b"Transfer-Encoding: chunked\r\n\r\n"
        with Crowd(site.entries[0].callers, [[head, b"5;" + b"x" * BODY_BYTES]]) as crowd:
            wait_for(lambda: crowd.callers[0].read_available().startswith(b"HTTP/1.1 400 "),
                     "the refusal")


def test_heads_of_many_fields_that_stop_before_their_end(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[head + b"a:\r\n" * ((HEADER_BYTES - len(head)) // 4 - 1)]
                          for head in site.heads()])


def test_answers_that_are_not_read(build, directory):
    with CrowdedSite(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_with(ANSWER_BYTES)
        site.check_crowd([[head + b"\r\n"] for head in site.heads("GET", "/once/crowd")],
                         receive_buffer=4096, reads_begin=True)


def test_small_answers_to_many_callers_that_are_not_read(build, directory):
    """Guards against answers that only the kernel holds."""
    with CrowdedSite(build, directory, MANY_DESCRIPTORS) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_with(SMALL_ANSWER_BYTES)
        heads = site.heads("GET", "/once/crowd", callers=MANY_CALLERS)
        site.check_crowd([[head + b"\r\n"] for head in heads], receive_buffer=4096,
                         reads_begin=True)


def test_bodies_that_arrive_while_the_entry_does_not_run(build, directory):
    """Guards against bytes that only the kernel holds, as when an entry's processor is busy."""
    with CrowdedSite(build, directory, MANY_DESCRIPTORS) as site:
        heads = length_heads(site, callers=MANY_CALLERS)
        with Crowd(site.entries[0].callers, [[head, BODY[:1]] for head in heads]) as crowd:
            process = site.entries[0].process
            process.send_signal(signal.SIGSTOP)
            try:
                for caller in crowd.callers:
                    caller.blocks = [memoryview(BODY[2:])]
                crowd.send_all()
                site.check_entry("while it doesn't run")
            finally:
                process.send_signal(signal.SIGCONT)
            crowd.send_all()
            site.check_beside()
        site.check_after()


def test_whole_requests_with_many_prompt_parts(build, directory):
    """Guards against what is kept of a head beside its text."""
    with CrowdedSite(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.capacity = 0
        heads = length_heads(site, 2, path="/draft/crowd", Agateseam_Model="m",
                             Agateseam_Token_Count="500,40")
        field = b"Agateseam-Prompt-Prefix: " + b"a," * ((HEADER_BYTES - 1024) // 2) + b"\r\n"
        site.check_crowd([[head[:-2], field, b"\r\n{}"] for head in heads])


def test_a_long_request_id_is_answered(build, directory):
    """Guards against servers that seem to fail because they echo it."""
    with CrowdedSite(build, directory) as site:
        site.check_served(site.get("/safe/a", Agateseam_Request_Id="7" * (HEADER_BYTES // 2)))


def test_long_request_ids_while_nobody_reads_the_log(build, directory):
    """Guards against log lines that are too long to be written without blocking."""
    with CrowdedSite(build, directory) as site:
        entry = site.entries[0]
        entry.end()
        entry.process.wait()
        entry.process = subprocess.Popen([site.program, "--settings", entry.settings_path],
                                         stdout=subprocess.PIPE)
        wait_for(entry.is_ready, "the entry to be ready")
        head = site.head("GET", "/safe/crowd").decode()
        long_id = "7" * (HEADER_BYTES // 2)
        head = re.sub(r"(Agateseam-Request-Id: )\w+", r"\g<1>" + long_id, head) + "\r\n"
        with Crowd(entry.callers, [[head.encode() * 4]] * CALLERS):
            site.check_beside()
        site.check_after()
        entry.end()
        entry.process.stdout.close()


def test_streams_that_are_not_read(build, directory):
    with CrowdedSite(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = stream_large
        heads = length_heads(site, 2, path="/draft/crowd", Agateseam_Model="m",
                             Agateseam_Token_Count="500,40")
        site.check_crowd([[head, b"{}"] for head in heads], receive_buffer=4096)


def test_bytes_behind_a_request_that_is_not_answered(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[head + b"\r\n", BODY] for head in site.heads("GET", "/held/crowd")])


def test_a_caller_that_sends_on_and_leaves_ends_its_request(build, directory):
    """Guards against requests that go on because nothing is read behind them."""
    with CrowdedSite(build, directory) as site:
        head = site.head("GET", "/held/crowd") + b"\r\n"
        with Crowd(site.entries[0].callers, [[head, BODY]]):
            wait_for(site.replicas_of("held")[0].requests.__len__, "the request at its server")
        wait_for(lambda: site.entries[0].log_lines("request")[-1]["outcome"] == "caller_gone",
                 "the end of the request")


def test_connections_without_a_request(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[] for _ in range(IDLE_CALLERS)])


def test_connections_with_a_part_of_a_head(build, directory):
    with CrowdedSite(build, directory) as site:
        site.check_crowd([[head] for head in site.heads(callers=IDLE_CALLERS)])


if __name__ == "__main__":
    sys.exit(run.main(globals()))

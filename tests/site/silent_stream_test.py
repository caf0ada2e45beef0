"""Tests that a stream whose server falls silent keeps it until another server has gone on with it."""

import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import EVENT, Site, reset_connection, response_bytes, wait_for  # noqa: E402

EVENTS, BEFORE_SILENCE = 6, 2
# One repeat, which the first replacement takes.
FLEET = {"allowance_reserve_tokens": 100_000, "repeat_extra": 8, "repeat_ratio": 0}
MANY_REPEATS = dict(FLEET, repeat_extra=100)
MAX_OVERLAP_S = 0.4  # Of the work of two servers on one request.
MAX_LEAVING_S = 0.5  # From a caller's leaving to the end of its streams.


class Streams:
    """Makes the first server of a stream fall silent, and another one answer as `go_on` does."""

    def __init__(self, go_on):
        self.go_on, self.silence_ends = go_on, asyncio.Event()
        self.first_left_at = self.second_left_at = self.second_went_on_at = None
        self.resumptions = []

    async def handle(self, replica, request, reader, writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        if "last-event-id" in request.headers:
            self.resumptions.append(request.header("Last-Event-Id"))
            return await self.go_on(self, replica, request, reader, writer)
        return await self.fall_silent(replica, request, reader, writer)

    async def fall_silent(self, replica, request, reader, writer):
        self.write_head(replica, request, writer)
        self.write_events(request, writer, 1, BEFORE_SILENCE)
        if await self.is_left(reader, self.silence_ends.wait()):
            self.first_left_at = time.monotonic()
            return False
        self.write_events(request, writer, BEFORE_SILENCE + 1, EVENTS)
        writer.write(b"0\r\n\r\n")
        return True

    @staticmethod
    async def is_left(reader, other):
        """Waits until the connection or the other wait ends; tells whether the connection did."""
        left, woken = asyncio.ensure_future(reader.read(1)), asyncio.ensure_future(other)
        done, waiting = await asyncio.wait({left, woken}, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return left in done

    @staticmethod
    def write_head(replica, request, writer):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())

    @staticmethod
    def write_events(request, writer, first, last):
        for number in range(first, last + 1):
            event = (EVENT % (number, f"{request.id}.{number}")).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))

    def end_silence_soon(self, delay_s=0.3):
        asyncio.get_running_loop().call_later(delay_s, self.silence_ends.set)


class BreakingStreams(Streams):
    """The first server's stream breaks or ends after its silence, within an event if `half`."""

    def __init__(self, go_on, half=b"", has_length=True, resets=True):
        super().__init__(go_on)
        self.half, self.has_length, self.resets = half, has_length, resets

    async def fall_silent(self, replica, request, reader, writer):
        if self.has_length:
            self.write_head(replica, request, writer)
            self.write_events(request, writer, 1, BEFORE_SILENCE)
        else:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"]
            head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
            events = "".join(EVENT % (number, f"{request.id}.{number}")
                             for number in range(1, BEFORE_SILENCE + 1))
            writer.write(("\r\n".join(head) + "\r\n\r\n" + events).encode())
        await self.silence_ends.wait()
        writer.write(b"100\r\n" * (self.has_length and bool(self.half)) + self.half)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.resets:
            reset_connection(writer)
        return False


async def refuse(streams, replica, request, _reader, writer):
    streams.end_silence_soon()
    writer.write(replica.refusal(request))
    return True


async def fail(streams, replica, request, _reader, writer):
    streams.end_silence_soon()
    writer.write(response_bytes(500, b"failed", replica.identity_headers(request)))
    return True


async def reset(streams, _replica, _request, _reader, writer):
    streams.end_silence_soon()
    reset_connection(writer)
    return False


async def reset_without_event(streams, replica, request, _reader, writer):
    streams.write_head(replica, request, writer)
    await writer.drain()
    return await reset(streams, replica, request, _reader, writer)


async def accept_silently(streams, replica, request, reader, writer):
    streams.end_silence_soon()
    return await stay_silent(streams, replica, request, reader, writer)


async def stay_silent(streams, _replica, _request, reader, _writer):
    if await streams.is_left(reader, asyncio.sleep(10)):
        streams.second_left_at = time.monotonic()
    return False


async def take_over(streams, replica, request, _reader, writer):
    streams.write_head(replica, request, writer)
    streams.second_went_on_at = time.monotonic()
    streams.write_events(request, writer, int(request.header("Last-Event-Id")) + 1, EVENTS)
    writer.write(b"0\r\n\r\n")
    return True


async def take_over_late(streams, replica, request, reader, writer):
    streams.end_silence_soon(0.1)
    if await streams.is_left(reader, asyncio.sleep(0.4)):
        return False
    return await take_over(streams, replica, request, reader, writer)


def start_streams(build, directory, go_on, fleet=None, decode=2, **members):
    """Starts a site; callers get two events, then silence."""
    streams = go_on if isinstance(go_on, Streams) else Streams(go_on)
    site = Site(build, directory, fleet=fleet or FLEET, **members)
    site.add_default_replicas()
    for _ in range(decode - 2):
        site.add_replica("model", stage="decode")
    site.configure(1)
    site.start()
    for replica in site.replicas_of("model", "decode"):
        replica.handler = streams.handle
    return site, streams


def check_whole(answer):
    numbers = [line for line in answer.body.decode().split("\n") if line.startswith("id: ")]
    check(answer.status == 200 and answer.complete, answer.status, answer.complete, numbers)
    check(numbers == [f"id: {number}" for number in range(1, EVENTS + 1)], numbers)


def check_goes_on_where_it_began(build, directory, go_on):
    site, streams = start_streams(build, directory, go_on)
    with site:
        check_whole(site.request_stream("/resume/a"))
        check(streams.first_left_at is None, "the first server was left")
        check(streams.resumptions == [str(BEFORE_SILENCE)], streams.resumptions)
    return streams


def test_a_silent_stream_outlives_a_refused_replacement(build, directory):
    """Guards against a stream that is cut because its silent server was left for one that refuses
    it, and the budget has no repeat for a third."""
    check_goes_on_where_it_began(build, directory, refuse)


def test_a_silent_stream_outlives_a_refused_replacement_while_its_entry_stops(build, directory):
    site, streams = start_streams(build, directory, refuse, grace_ms=5500)
    with site:
        site.entries[0].end(signal.SIGTERM)
        wait_for(lambda: site.entries[0].log_lines("draining"), "draining to begin")
        check_whole(site.request_stream("/resume/a"))
        check(streams.first_left_at is None, "the first server was left")


def test_a_silent_stream_outlives_a_failed_replacement(build, directory):
    check_goes_on_where_it_began(build, directory, fail)


def test_a_silent_stream_outlives_a_replacement_that_breaks(build, directory):
    check_goes_on_where_it_began(build, directory, reset)


def test_a_silent_stream_outlives_a_replacement_that_breaks_before_an_event(build, directory):
    check_goes_on_where_it_began(build, directory, reset_without_event)


def test_a_stream_whose_server_wakes_first_leaves_the_replacement(build, directory):
    streams = check_goes_on_where_it_began(build, directory, accept_silently)
    check(streams.second_left_at is not None, "the replacement was kept")


def test_a_silent_server_is_left_as_soon_as_another_goes_on(build, directory):
    """Guards against two servers that work on one request."""
    site, streams = start_streams(build, directory, take_over)
    with site:
        check_whole(site.request_stream("/resume/a"))
        wait_for(lambda: streams.first_left_at, "the first server to be left", 2)
        overlap_s = streams.first_left_at - streams.second_went_on_at
        check(overlap_s <= MAX_OVERLAP_S, overlap_s)


def test_a_caller_that_leaves_ends_both_streams(build, directory):
    site, streams = start_streams(build, directory, stay_silent)
    with site:
        headers = site.headers(Agateseam_Model="m", Agateseam_Token_Count="500,40",
                               Content_Length="2")
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        with socket.create_connection(("127.0.0.1", site.entries[0].callers)) as caller:
            caller.sendall(f"POST /resume/a HTTP/1.1\r\n{head}\r\n{{}}".encode())
            wait_for(lambda: streams.resumptions, "the replacement")
        left_at = time.monotonic()
        wait_for(lambda: streams.first_left_at and streams.second_left_at, "both ends", 2)
        check(max(streams.first_left_at, streams.second_left_at) - left_at <= MAX_LEAVING_S,
              streams.first_left_at - left_at, streams.second_left_at - left_at)


def check_replacement_takes_over(build, directory, streams):
    site, _ = start_streams(build, directory, streams)
    with site:
        check_whole(site.request_stream("/resume/a"))


def test_a_replacement_goes_on_when_the_silent_server_breaks(build, directory):
    """Guards against a reset that passes for the end of an answer without a length."""
    for number, has_length in enumerate((True, False)):
        streams = BreakingStreams(take_over_late, has_length=has_length)
        check_replacement_takes_over(build, os.path.join(directory, str(number)), streams)


def test_a_replacement_goes_on_when_the_silent_server_ends_within_an_event(build, directory):
    """Guards against bytes that complete no event, for which the replacement is ended."""
    for number, (has_length, resets) in enumerate(((True, True), (False, False))):
        streams = BreakingStreams(take_over_late, b"id: 3\nda", has_length, resets)
        check_replacement_takes_over(build, os.path.join(directory, str(number)), streams)


def test_a_refused_replacement_is_followed_by_another_at_once(build, directory):
    """Guards against a silent stream that waits as long again after each refusal."""
    refused_at = []

    async def refuse_once(streams, replica, request, reader, writer):
        if not refused_at:
            refused_at.append(time.monotonic())
            writer.write(replica.refusal(request))
            return True
        return await take_over(streams, replica, request, reader, writer)
    site, streams = start_streams(build, directory, refuse_once, MANY_REPEATS, decode=4)
    with site:
        check_whole(site.request_stream("/resume/a"))
        check(streams.second_went_on_at - refused_at[0] < 0.25,
              streams.second_went_on_at - refused_at[0])


def test_a_server_that_wakes_during_the_prefill_is_read_at_once(build, directory):
    site, streams = start_streams(build, directory, accept_silently, MANY_REPEATS)
    woken_at = []

    async def prefill_slowly(_replica, request, _reader, _writer):
        if "last-event-id" not in request.headers:
            return None
        woken_at.append(time.monotonic())
        streams.silence_ends.set()
        await asyncio.sleep(5)
        return False
    with site:
        for replica in site.replicas_of("model", "prefill"):
            replica.handler = prefill_slowly
            replica.latency_s = 0.2  # A prefill is given up after a multiple of it.
        check_whole(site.request_stream("/resume/a"))
        check(time.monotonic() - woken_at[0] < 0.3, time.monotonic() - woken_at[0])


def test_the_repeat_of_a_replacement_that_is_not_sent_serves_the_next_stream(build, directory):
    site, streams = start_streams(build, directory, take_over, decode=3)
    first, unreachable = [], []

    async def handle(replica, request, reader, writer):
        if request.target == "/v1/hold-take" and not unreachable and first[:1] not in ([], [replica]):
            unreachable.append(replica)
            replica.listener.close()
            streams.end_silence_soon(0.02)
            writer.write(response_bytes(200, {"hold": "hold"}, [("Connection", "close")]))
            return False
        if not request.target.startswith("/v1/"):
            first.append(replica)
        return await streams.handle(replica, request, reader, writer)
    with site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = handle
        check_whole(site.request_stream("/resume/a"))
        check(unreachable and not streams.resumptions, streams.resumptions)
        streams.silence_ends.clear()
        check_whole(site.request_stream("/resume/b"))
        check(streams.resumptions == [str(BEFORE_SILENCE)], streams.resumptions)
        denied = [line for line in site.entries[0].log_lines("repeat denied")
                  if line["step"] == "stream"]
        check(not denied, denied)


if __name__ == "__main__":
    sys.exit(run.main(globals()))

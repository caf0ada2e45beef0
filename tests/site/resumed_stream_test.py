"""Tests streams that a caller takes up with `Last-Event-Id`, on every path of a request."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check  # noqa: E402
from platform_site import Site, configuration, route  # noqa: E402

EVENTS = 6
PATHS = {"a service without an engine": ("/plain/a", None),
         "a request without token counts": ("/resume/a", None),
         "a request with token counts": ("/resume/a", "500,40"),
         "a stream that isn't resumable": ("/draft/a", "500,40"),
         "a plain request": ("/safe/a", None)}


def is_run(request):
    """Tells whether a request to a replica asks for the answer itself."""
    return not request.target.startswith("/v1/") and not request.header("Agateseam-Stage")


class Streams:
    """Makes all replicas send streams; the first runs of each request are refused or break off."""

    def __init__(self, refusals=0, breaks=0, has_ids=True):
        self.refusals, self.breaks, self.has_ids, self.received = refusals, breaks, has_ids, []

    async def handle(self, replica, request, _reader, writer):
        if not is_run(request):
            return None
        self.received.append(request.headers.get("last-event-id"))
        if len(self.received) <= self.refusals:
            writer.write(replica.refusal(request))
            return True
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        text = request.header("Last-Event-Id", "0")
        first = int(text.rsplit("-", 1)[-1]) + 1
        last = first + 1 if len(self.received) <= self.refusals + self.breaks else EVENTS
        events = b"".join(self.event(number) for number in range(first, last + 1))
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                     + b"%x\r\n%s\r\n" % (len(events), events))
        if last < EVENTS:
            await writer.drain()
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def event(self, number):
        name = f"id: {number}\n" if self.has_ids else ""
        return f"{name}data: {number}\n\n".encode()


def numbers_in(answer):
    return [int(line[6:]) for line in answer.body.decode().split("\n") if line.startswith("data: ")]


def start_streams(build, directory, streams):
    site = Site(build, directory)
    site.add_default_replicas()
    for replica in site.replicas:
        replica.handler = streams.handle
    site.configure(1, routes=configuration(1)["routes"] + [
        route("/plain/", "streaming", "plain", resumable=True, gap_target_ms=300)])
    return site.start()


def take_up_stream(site, streams, path, tokens, last_event):
    """Requests a stream whose beginning the entry knows."""
    site.request_stream("/resume/a", Agateseam_Request_Id="begins")
    streams.received.clear()
    headers = {"Last-Event-Id": last_event, "Resumes": "begins"}
    if tokens:
        return site.request_stream(path, tokens, **headers)
    return site.post(path, Agateseam_Model="m", **headers)


def test_a_stream_goes_on_after_the_event_that_its_caller_names(build, directory):
    """Guards against streams that begin anew, so that their caller gets events twice."""
    for refusals in (0, 1):
        for kind, (path, tokens) in PATHS.items():
            streams = Streams(refusals)
            name = f"{refusals}-{kind.replace(' ', '-')}"
            with start_streams(build, os.path.join(directory, name), streams) as site:
                answer = take_up_stream(site, streams, path, tokens, "3")
                check(answer.status == 200 and answer.complete, kind, refusals, answer.status)
                check(streams.received == ["3"] * (refusals + 1), kind, streams.received)
                check(numbers_in(answer) == [4, 5, 6], kind, refusals, numbers_in(answer))


def test_an_event_id_that_is_no_number_is_passed_on(build, directory):
    for kind, (path, tokens) in PATHS.items():
        streams = Streams(refusals=1)
        with start_streams(build, os.path.join(directory, kind.replace(" ", "-")),
                           streams) as site:
            answer = take_up_stream(site, streams, path, tokens, "run-3")
            check(streams.received == ["run-3"] * 2, kind, streams.received)
            check(numbers_in(answer) == [4, 5, 6], kind, numbers_in(answer))


def test_a_taken_up_stream_that_breaks_goes_on_at_the_exact_event(build, directory):
    streams = Streams(breaks=1)
    with start_streams(build, directory, streams) as site:
        answer = take_up_stream(site, streams, "/resume/a", "500,40", "2")
        check(streams.received == ["2", "4"], streams.received)
        check(answer.complete and numbers_in(answer) == [3, 4, 5, 6], answer.complete,
              numbers_in(answer))


def test_a_stream_without_event_ids_does_not_begin_anew(build, directory):
    """Guards against a repeat that can't name the last event, and so sends all of them again."""
    streams = Streams(breaks=1, has_ids=False)
    with start_streams(build, directory, streams) as site:
        answer = site.request_stream("/resume/a")
        check(numbers_in(answer) == [1, 2] and not answer.complete, answer.complete,
              numbers_in(answer))


if __name__ == "__main__":
    sys.exit(run.main(globals()))

"""Tests that what isn't valid HTTP, or breaks off, becomes no caller's answer where a request has
come some way already: on a kept connection, behind an interim answer, in the middle of a stream, in
the calls before a stream, and for HEAD."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from odd_answer_test import (  # noqa: E402
    BODY, CALLS, FAILURES, LENGTH, ODD_HEADS, UPLOAD_LIMITS, UPLOAD_SIZES, add_early_replica,
    early_sites)
from path_test import check, start_site  # noqa: E402
from platform_site import EVENT, Site, reset_connection, send_request  # noqa: E402

PREFILL_REPLY = b'{"kv_handle":"early","tokens":500,"version":1}'


def is_run(request):
    return not request.target.startswith("/v1/") and not request.header("Agateseam-Stage")


def odd_head(replica, request, kind):
    status_line, field = ODD_HEADS[kind]
    lines = [status_line, *([field] if field else []), "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
    lines += [LENGTH] if field != "Transfer-Encoding: gzip" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def odd_from_second(kind, interim=b""):
    """Makes replicas whose kept connections bring a sound answer and then an odd one."""
    served = set()  # Connections that have brought a sound answer.

    async def handle(replica, request, _reader, writer):
        if not is_run(request):
            return None
        if writer not in served:
            served.add(writer)
            return None
        replica.runs.append(request.id)
        writer.write(interim + odd_head(replica, request, kind) + BODY)
        await writer.drain()
        return False
    return handle


def test_an_odd_answer_on_a_kept_connection_is_none(build, directory):
    for interim in (b"", b"HTTP/1.1 100 Continue\r\n\r\n",
                    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"):
        wrong, odd_answers = [], 0
        with start_site(build, os.path.join(directory, str(len(interim)))) as site:
            for number, kind in enumerate(ODD_HEADS):
                handler = odd_from_second(kind, interim)
                for replica in site.replicas:
                    replica.handler = handler
                for path, call in CALLS.items():
                    for attempt in range(4):
                        name = f"{path}-{number}-{attempt}"
                        answer = call(site, Agateseam_Request_Id=name)
                        odd_answers += answer.status in FAILURES
                        if BODY in answer.body or answer.status not in (200, *FAILURES):
                            wrong.append((kind, path, answer.status, answer.body[:40]))
        check(not wrong, len(wrong), wrong[:4])
        check(odd_answers > 0)


def break_then_odd(kind):
    """Makes servers that break a stream off after two events; those that go on answer oddly."""
    async def handle(replica, request, _reader, writer):
        if not is_run(request):
            return None
        replica.runs.append(request.id)
        if "last-event-id" in request.headers:
            writer.write(odd_head(replica, request, kind) + BODY)
            await writer.drain()
            return False
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        events = b"".join((EVENT % (number, f"{request.id}.{number}")).encode()
                          for number in (1, 2))
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                     + b"%x\r\n%s\r\n" % (len(events), events))
        await writer.drain()
        return False
    return handle


def test_an_odd_answer_is_not_the_rest_of_a_stream(build, directory):
    with start_site(build, directory) as site:
        for number, kind in enumerate(ODD_HEADS):
            for replica in site.replicas_of("model", "decode"):
                replica.handler = break_then_odd(kind)
            answer = site.request_stream("/resume/a", Agateseam_Request_Id=f"broken-{number}")
            check(not answer.complete or answer.status in FAILURES, kind, answer.status)
            check(b"odd" not in answer.body, kind, answer.body)


def test_an_early_answer_to_a_prefill_that_breaks_off_is_none(build, directory):
    """Guards against a handle of an answer whose end nobody knows."""
    with Site(build, directory) as site:
        decode = site.add_replica("model", stage="decode")
        early = add_early_replica(site, "model", "prefill")
        early.body = PREFILL_REPLY
        site.configure(1, limits=UPLOAD_LIMITS)
        site.start()
        for size in UPLOAD_SIZES:
            for path in ("/draft/a", "/resume/a"):
                answer = site.post(path, b"u" * size, Agateseam_Model="m",
                                   Agateseam_Token_Count="500,40")
                check(answer.status == 200 and answer.complete, path, size, answer.status)
        check(early.runs, "no prefill reached the replica")
        sources = [request.header("Agateseam-Kv-Source") for request in decode.requests]
        check(not any("early" in source for source in sources), sources)


def test_an_early_answer_to_a_resumable_upload_that_breaks_off_is_incomplete(build, directory):
    for name, site in early_sites(build, directory, (("model", "decode"),) * 2):
        for size in UPLOAD_SIZES:
            for tokens in ({"Agateseam_Token_Count": "500,40"}, {}):
                answer = site.post("/resume/a", b"u" * size, Agateseam_Model="m", **tokens)
                check(answer.status in FAILURES or not answer.complete, name, size, tokens,
                      answer.status, answer.body)
        check(sum(len(replica.runs) for replica in site.replicas) > 0)


def break_answer_to_head(fields):
    async def handle(replica, request, _reader, writer):
        if request.method != "HEAD":
            return None
        replica.runs.append(request.id)
        head = ["HTTP/1.1 200 OK", *fields]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        writer.write("\r\n".join(head).encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False
    return handle


def test_an_answer_to_head_that_breaks_off_is_none(build, directory):
    with start_site(build, directory) as site:
        for fields in ((), ("Content-Length: 7",), ("Transfer-Encoding: chunked",)):
            for replica in site.replicas_of("plain"):
                replica.handler = break_answer_to_head(fields)
            answer = send_request(site.entries[0].callers, "HEAD", "/safe/a", site.headers())
            check(answer.status in FAILURES, fields, answer.status)


if __name__ == "__main__":
    sys.exit(run.main(globals()))

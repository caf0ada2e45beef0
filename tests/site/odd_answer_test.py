"""Tests that what isn't valid HTTP, or breaks off, never becomes a caller's answer: on the paths of
plain requests, streams, and the calls that prepare these."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import (  # noqa: E402
    Replica, Site, configuration, reset_connection, response_bytes, wait_for)

BODY = b"id: 1\ndata: odd\n\n"
LENGTH = f"Content-Length: {len(BODY)}"
# Of each kind, the status line and a field in front of those of a sound answer.
ODD_HEADS = {
    "status 000": ("HTTP/1.1 000 X", None),
    "status 099": ("HTTP/1.1 099 X", None),
    "status 101": ("HTTP/1.1 101 X", None),
    "status 600": ("HTTP/1.1 600 X", None),
    "status 999": ("HTTP/1.1 999 X", None),
    "another protocol": ("HTTP/2.0 200 X", None),
    "a control byte in the reason": ("HTTP/1.1 200 X\x01", None),
    "a blank in a name": ("HTTP/1.1 200 X", "Some Name: v"),
    "a blank behind a name": ("HTTP/1.1 200 X", "Some-Name : v"),
    "a control byte in a name": ("HTTP/1.1 200 X", "Some\x01Name: v"),
    "a zero byte in a name": ("HTTP/1.1 200 X", "Some\x00Name: v"),
    "a line without a colon": ("HTTP/1.1 200 X", "some line"),
    "a control byte in a value": ("HTTP/1.1 200 X", "Some-Name: v\x01"),
    "a blank in the length's name": ("HTTP/1.1 200 X", "Content-Length : 2"),
    "two lengths": ("HTTP/1.1 200 X", "Content-Length: 2"),
    "an unknown transfer coding": ("HTTP/1.1 200 X", "Transfer-Encoding: gzip"),
}
FAILURES = (502, 503, 504)


def odd_answer(kind, is_for_calls):
    """Makes a replica that answers requests, or the calls before a stream, with an odd head."""
    status_line, field = ODD_HEADS[kind]

    async def handle(replica, request, _reader, writer):
        is_call = request.target.startswith("/v1/") or request.header("Agateseam-Stage") != ""
        if is_call != is_for_calls:
            return None
        replica.runs.append(request.id)
        lines = [status_line, *([field] if field else []), "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        lines += [LENGTH] if field != "Transfer-Encoding: gzip" else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + BODY)
        await writer.drain()
        return False
    return handle


CALLS = {"safe": lambda site, **headers: site.get("/safe/a", **headers),
         "once": lambda site, **headers: site.post("/once/a", **headers),
         "draft": lambda site, **headers: site.request_stream(**headers),
         "resumable": lambda site, **headers: site.request_stream("/resume/a", **headers)}


def test_an_answer_that_is_not_valid_http_reaches_no_caller(build, directory):
    wrong = []
    with start_site(build, directory) as site:
        for number, kind in enumerate(ODD_HEADS):
            for replica in site.replicas:
                replica.handler = odd_answer(kind, False)
            for path, call in CALLS.items():
                answer = call(site, Agateseam_Request_Id=f"{path}-{number}")
                if answer.status not in FAILURES or BODY in answer.body:
                    wrong.append((kind, path, answer.status, answer.body[:40]))
    check(not wrong, len(wrong), wrong)


def test_an_odd_answer_to_a_call_before_a_stream_is_none(build, directory):
    """Guards against reservations and prefills that were answered with something else."""
    with start_site(build, directory) as site:
        for kind in ODD_HEADS:
            for replica in site.replicas_of("model", "prefill"):
                replica.handler = odd_answer(kind, True)
            answer = site.request_stream()
            check(answer.status == 200 and answer.complete and BODY not in answer.body, kind)


def test_a_sound_replica_answers_in_place_of_an_odd_one(build, directory):
    with start_site(build, directory) as site:
        odd, sound = site.replicas_of("plain")
        odd.handler = odd_answer("status 600", False)
        for number in range(20):
            answer = site.get("/safe/a", Agateseam_Request_Id=f"sound-{number}")
            check(answer.status == 200 and answer.body == f"body of sound-{number}".encode())
        check(sound.runs and odd.runs)


def odd_calls(site, key, value):
    """Makes replicas name a handle or a reservation by an odd text."""
    async def handle(replica, request, _reader, writer):
        is_prefill = request.header("Agateseam-Stage") == "prefill"
        if (key == "kv_handle") != is_prefill or (not is_prefill and
                                                  request.target != "/v1/hold-take"):
            return None
        answer = {key: value, "tokens": 500, "version": 1}
        writer.write(response_bytes(200, answer, replica.id_headers(request)))
        await writer.drain()
        return True
    for replica in site.replicas:
        replica.handler = handle


def test_an_odd_handle_adds_nothing_to_a_request(build, directory):
    """Guards against fields and paths that are made of the text of a replica."""
    with start_site(build, directory) as site:
        for key in ("kv_handle", "hold"):
            for value in ("a\r\nX-Odd: 1", "a\nX-Odd: 1", "a\x00b", "a b/../c?d#e%"):
                odd_calls(site, key, value)
                site.request_stream()
        requests = [request for replica in site.replicas for request in replica.requests]
        check(requests)
        check(not [request.headers for request in requests if "x-odd" in request.headers])
        targets = {request.target for request in requests}
        check(all(" " not in target and "#" not in target and "?" not in target
                  for target in targets), targets)


class EarlyReplica(Replica):
    """Answers before it has read the body of a request, and resets the connection after a part
    of its own body."""

    answer_fields = ()  # Beside those of the identity.
    body = b"id: 1\ndata: early\n\n"

    async def serve_connection(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                if " /v1/" not in head.split("\r\n", 1)[0]:
                    await self.answer_early(fields["Agateseam-Request-Id"], writer)
                    return
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                writer.write(response_bytes(200, {"hold": "h", "kv_used": 0}))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass  # The entry closed the connection.
        finally:
            writer.close()

    async def answer_early(self, request_id, writer):
        self.runs.append(request_id)
        fields = [f"Agateseam-Request-Id: {request_id}", "Agateseam-Response-Signature: s",
                  "Content-Type: text/event-stream", *self.answer_fields]
        writer.write(("HTTP/1.1 200 X\r\n" + "".join(f"{field}\r\n" for field in fields)
                      + "\r\n").encode() + self.body)
        await writer.drain()
        await asyncio.sleep(0.1)
        reset_connection(writer)


def test_an_early_answer_to_an_upload_that_breaks_off_is_incomplete(build, directory):
    """Guards against a part of an answer without a length that passes for whole because the
    connection was reset while the request was still being written."""
    for _, site in early_sites(build, directory, (("plain", None), ("model", "decode"))):
        for size in UPLOAD_SIZES:
            for path, headers in UPLOADS.items():
                send_until_run(site, path, size, headers)


UPLOAD_SIZES = (100, 64 << 10, 8 << 20)
UPLOAD_LIMITS = dict(configuration(1)["limits"], max_body_bytes=16 << 20)


def early_sites(build, directory, stages):
    """Yields sites whose replicas, one for each service and stage, answer early, by how these tell
    the length of their answers."""
    for name, fields in (("no-length", ()), ("chunks", ("Transfer-Encoding: chunked",)),
                         ("length", (f"Content-Length: {len(EarlyReplica.body) + 1}",))):
        with Site(build, os.path.join(directory, name)) as site:
            for service, stage in stages:
                replica = add_early_replica(site, service, stage)
                replica.answer_fields = fields
                if name == "chunks":
                    replica.body = b"%x\r\n%s\r\n" % (len(EarlyReplica.body), EarlyReplica.body)
            site.configure(1, limits=UPLOAD_LIMITS)
            site.start()
            yield name, site


UPLOADS = {"/once/a": {}, "/safe/a": {},
           "/draft/a": {"Agateseam_Model": "m", "Agateseam_Token_Count": "500,40"}}


def send_until_run(site, path, size, headers):
    """Sends uploads until one has reached a replica: after a failure, it gets none for a time."""
    def has_run():
        runs = sum(len(replica.runs) for replica in site.replicas)
        answer = site.post(path, b"u" * size, **headers)
        check(answer.status in FAILURES or not answer.complete, path, size, answer.status,
              answer.body)
        return sum(len(replica.runs) for replica in site.replicas) > runs
    wait_for(has_run, f"{path} with {size} bytes to reach a replica", 20)


def add_early_replica(site, service, stage):
    async def make():
        replica = EarlyReplica(service, stage=stage)
        await replica.start()
        replica.site = site
        return replica
    replica = site.run_coroutine(make())
    site.replicas.append(replica)
    site.publish_replica(replica)
    return replica


if __name__ == "__main__":
    sys.exit(run.main(globals()))

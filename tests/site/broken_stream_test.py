"""Tests that a caller whose stream broke off gets no bytes of the failure that follows it, and that
an answer whose head broke off isn't taken for one."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from path_test import check, start_site  # noqa: E402
from platform_site import EVENT, Replica, reset_connection, response_bytes  # noqa: E402

ERROR = b"upstream failed\n\nno worker\r\n\r\nid: 9\ndata: not an event of this stream\n\n"
EVENT_STREAM = ("Content-Type", "text/event-stream")


def error_answers(replica, request):
    """Returns answers of a failing server by what is odd about them."""
    signed = replica.identity_headers(request)
    ids = replica.id_headers(request)
    chunk = b"%x\r\n%s\r\n" % (len(ERROR), ERROR)
    chunked = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
               + "".join(f"{name}: {value}\r\n" for name, value in signed) + "\r\n").encode()
    return {
        "a signed 500": response_bytes(500, ERROR, signed),
        "an unsigned 500": response_bytes(500, ERROR, ids),
        "an unsigned 200": response_bytes(200, ERROR, ids + [EVENT_STREAM]),
        "a signed 503": response_bytes(503, ERROR, signed),
        "a refusal": replica.refusal(request),
        "a signed 404": response_bytes(404, ERROR, signed),
        "a signed 302": response_bytes(302, ERROR, signed + [EVENT_STREAM]),
        "a signed 206": response_bytes(206, ERROR, signed + [EVENT_STREAM]),
        "a signed 204": response_bytes(204, b"", signed + [EVENT_STREAM]),
        "a 200 that is no stream": response_bytes(200, ERROR, signed),
        "a 200 of another type": response_bytes(200, ERROR,
                                                signed + [("Content-Type", "text/plain")]),
        "chunks that are no stream": chunked + chunk + b"0\r\n\r\n",
        "an empty 200 that is no stream": response_bytes(200, b"", signed),
        "no answer in the protocol": ERROR,
        "a head that breaks off": chunked[:-2],
    }


def break_then_fail(kind):
    """Makes a server that breaks a stream off after two events and fails those that go on."""
    async def handle(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        if "last-event-id" in request.headers:
            writer.write(error_answers(replica, request)[kind])
            return not kind.endswith("breaks off")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in replica.identity_headers(request)]
        events = b"".join((EVENT % (number, f"{request.id}.{number}")).encode()
                          for number in (1, 2)) + b"id: 3\ndata: ha"
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                     + b"%x\r\n%s\r\n" % (len(events), events))
        await writer.drain()
        return False
    return handle


def check_broken_stream(site, kind):
    """Returns what a caller got of a stream that broke off and failed, if that is wrong."""
    for replica in site.replicas_of("model", "decode"):
        replica.handler = break_then_fail(kind)
    answer = site.request_stream("/resume/a", Agateseam_Request_Id="broken")
    resumed = [request for replica in site.replicas_of("model", "decode")
               for request in replica.requests if "last-event-id" in request.headers
               and not request.target.startswith("/v1/")]
    check(resumed, kind, "no server was asked to go on")
    events = b"".join((EVENT % (number, f"broken.{number}")).encode() for number in (1, 2))
    is_right = answer.status == 200 and not answer.complete and answer.body == events
    return None if is_right else (answer.status, answer.complete, answer.body)


def test_no_byte_of_a_failure_reaches_a_stream_that_has_begun(build, directory):
    """Guards against the text or the head of an error in the middle of a stream, and a stream
    that ends as if it were complete."""
    wrong = {}
    for number, kind in enumerate(error_answers(Replica("model"), NoRequest())):
        with start_site(build, os.path.join(directory, str(number))) as site:
            outcome = check_broken_stream(site, kind)
            if outcome:
                wrong[kind] = outcome
    check(not wrong, wrong)


def break_head(is_reset, sent_share):
    """Makes a server that breaks its answers off after a part of their head."""
    async def handle(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        head = response_bytes(200, b"body", replica.identity_headers(request) + [EVENT_STREAM])
        head = head[:head.index(b"body")]
        replica.runs.append(request.id)
        writer.write(head[:int(len(head) * sent_share)])
        await writer.drain()
        if is_reset:
            reset_connection(writer)
        return False
    return handle


def test_an_answer_whose_head_breaks_off_is_none(build, directory):
    """Guards against an empty or short body that passes for whole as its head broke off."""
    calls = {"safe": lambda site, **headers: site.get("/safe/a", **headers),
             "once": lambda site, **headers: site.post("/once/a", **headers),
             "draft": lambda site, **headers: site.request_stream(**headers),
             "resumable": lambda site, **headers: site.request_stream("/resume/a", **headers)}
    with start_site(build, directory) as site:
        wrong = []
        for is_reset in (False, True):
            for sent_share in (0.05, 0.2, 0.4, 0.6, 0.8, 0.99):
                for replica in site.replicas:
                    replica.handler = break_head(is_reset, sent_share)
                for kind, call in calls.items():
                    name = f"{kind}-{is_reset}-{sent_share}"
                    status = call(site, Agateseam_Request_Id=name).status
                    has_run = any(name in replica.runs for replica in site.replicas)
                    if status not in ((502, 504) if has_run else (502, 503, 504)):
                        wrong.append((name, status, has_run))
        check(not wrong, wrong)
        check(sum(len(replica.runs) for replica in site.replicas) > 24)


class NoRequest:  # pylint: disable=too-few-public-methods
    """Stands for a request when only the kinds of answers are wanted."""

    id = "none"


if __name__ == "__main__":
    sys.exit(run.main(globals()))

"""Tests the way of a request through an entry, on the stand-in for the platform."""

import asyncio
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import run  # noqa: E402
from platform_site import (  # noqa: E402
    Site, configuration, reset_connection, response_bytes, route, send_request, wait_for)


def start_site(build, directory, link_bytes_per_s=0, **members):
    site = Site(build, directory, **members)
    site.link_bytes_per_s = link_bytes_per_s
    site.add_default_replicas()
    site.configure(1)
    return site.start()


def check(condition, *details):
    if not condition:
        raise AssertionError(repr(details))


def check_complete_stream(answer, events=4):
    last = f"id: {events}\n"
    check(answer.status == 200 and answer.complete and last in answer.body.decode(),
          answer.status, answer.complete, answer.body)


def test_each_kind_of_route_is_served(build, directory):
    with start_site(build, directory) as site:
        response = site.get("/safe/a", Agateseam_Request_Id="safe-1")
        check(response.status == 200 and response.body == b"body of safe-1",
              response.status, response.body)
        check(response.headers["Agateseam-Response-Signature"].endswith("safe-1"),
              response.headers)
        check(site.post("/once/a").status == 200)
        check_complete_stream(site.request_stream())
        prefill, = site.replicas_of("model", "prefill")
        decode = [replica for replica in site.replicas_of("model", "decode") if replica.runs][0]
        check(len(prefill.requests) == 1 and not prefill.runs)
        decode_request = [request for request in decode.requests if request.method == "POST"
                          and not request.target.startswith("/v1/")][0]
        check(decode_request.header("Agateseam-Kv-Source").startswith(prefill.address + "/"))
        check(decode_request.header("Agateseam-Kv-Hold").startswith("hold"))


def test_reserved_header_fields_are_not_forwarded(build, directory):
    with start_site(build, directory) as site:
        forged_headers = {name: "forged" for name in
                          ("Agateseam_Tenant", "Agateseam_Expect_Instance", "Agateseam_Kv_Hold",
                           "Agateseam_Kv_Pin", "Agateseam_Kv_Backup", "Agateseam_Kv_Source",
                           "Agateseam_Stage")}
        check(site.get("/safe/a", **forged_headers).status == 200)
        forwarded = [request for replica in site.replicas_of("plain")
                     for request in replica.requests][0]
        check(forwarded.header("Agateseam-Tenant") == "oshana", forwarded.headers)
        check(forwarded.header("Authorization") == "", forwarded.headers)
        check("forged" not in forwarded.headers.values(), forwarded.headers)
        check(0 < int(forwarded.header("Agateseam-Request-Deadline")) <= 3000, forwarded.headers)


def test_bad_requests_get_a_clear_status(build, directory):
    with start_site(build, directory) as site:
        check(site.get("/nowhere/a").status == 404)
        check(site.get("/safe/a", Host="other.example").status == 404)
        check(site.get("/safe/a", Authorization="Bearer wrong").status == 401)
        check(site.get("/open/a", Authorization="").status == 200)
        check(site.get("/safe/a", Agateseam_Request_Id="").status == 400)
        check(site.get("/safe/a", Large="x" * 5000).status == 431)
        check(site.post("/once/a", b"x" * 200_000).status == 413)
        # Only the request on the open route ran.
        check(sum(len(replica.runs) for replica in site.replicas_of("plain")) == 1)


def send_raw(site, text, wait_s=3):
    """Sends bytes and returns everything received until the entry closes the connection."""
    with socket.create_connection(("127.0.0.1", site.entries[0].callers), wait_s) as connection:
        connection.sendall(text)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except (TimeoutError, ConnectionError):
            pass
        return received


def test_smuggled_and_slow_requests_are_refused(build, directory):
    with start_site(build, directory) as site:
        conflicting_lengths = (
            b"POST /once/a HTTP/1.1\r\nHost: site.example\r\nAgateseam-Request-Id: s1\r\n"
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/x")
        check(b" 400 " in send_raw(site, conflicting_lengths).split(b"\r\n")[0])
        unknown_coding = conflicting_lengths.replace(b"Content-Length: 5\r\n", b"").replace(
            b"chunked", b"gzip, chunked")
        check(send_raw(site, unknown_coding).split(b"\r\n")[0].split()[1] in (b"400", b"501"))
        check(b" 408 " in send_raw(site, b"GET /safe/a HT").split(b"\r\n")[0])
        check(not any(replica.runs for replica in site.replicas))


def test_a_stream_that_arrives_with_its_head_is_relayed(build, directory):
    """Guards against dropping the events that arrive in one read together with the response's
    head."""
    async def answer_in_one_write(replica, request, _reader, writer):
        if request.target.startswith("/v1/") or replica.stage != "decode":
            return None
        event = f"id: 1\ndata: {request.id}\n\n".encode()
        head = "".join(f"{name}: {value}\r\n" for name, value in replica.identity_headers(request))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head.encode() +
                     b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
        return True
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = answer_in_one_write
        check_complete_stream(site.request_stream(), events=1)


async def cut_after_two(replica, request, _reader, writer):
    """Resets the connection in the middle of the third event, once per replica."""
    if request.target.startswith("/v1/") or replica.stage != "decode":
        return None
    replica.runs.append(request.id)
    head = "".join(f"{name}: {value}\r\n" for name, value in replica.identity_headers(request))
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + head.encode() + b"\r\n")
    events = "".join(f"id: {number}\ndata: {request.id}.{number}\n\n" for number in (1, 2))
    text = (events + "id: 3\ndata: spoi").encode()
    writer.write(b"%x\r\n%s\r\n" % (len(text), text))
    await writer.drain()
    await asyncio.sleep(0.05)
    replica.handler = None
    reset_connection(writer)
    return False


def test_a_cut_stream_does_not_look_complete(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.handler = cut_after_two
        response = site.request_stream()
        check(not response.complete and b"spoi" not in response.body,
              response.complete, response.body)
        check(sum(len(replica.runs) for replica in site.replicas_of("model", "decode")) == 1)


def test_a_resumable_stream_goes_on_at_the_exact_event(build, directory):
    with start_site(build, directory) as site:
        decode = site.replicas_of("model", "decode")
        for replica in decode:
            replica.handler = cut_after_two
            replica.event_count = 6
        for _ in range(6):
            response = site.request_stream("/resume/a")
            # A replica that still has its handler starts at the first event and is cut again.
            ids = [line for line in response.body.decode().split("\n") if line.startswith("id:")]
            check(ids == [f"id: {number}" for number in range(1, len(ids) + 1)], ids)
            check(len(ids) in (2, 6) and response.complete == (len(ids) == 6),
                  ids, response.complete)
            check(b"spoi" not in response.body, response.body)
        check(len(ids) == 6, ids)


def test_a_caller_that_leaves_cuts_no_other_stream(build, directory):
    """Guards against the end of one request that closes a connection which another one uses."""
    refused_by, is_reserving = [], threading.Event()

    async def refuse_the_first(replica, request, _reader, writer):
        if request.target == "/v1/hold-take" and refused_by and not is_reserving.is_set():
            is_reserving.set()
            await asyncio.sleep(0.3)  # Meanwhile its caller leaves.
            return None
        if request.target.startswith("/v1/") or request.header("Agateseam-Stage"):
            return None
        if not refused_by:
            refused_by.append(replica)
            writer.write(response_bytes(503, {}, replica.identity_headers(request)
                                        + [("Agateseam-Not-Executed", "1")]))
            return True
        return None

    for _ in range(8):
        refused_by.clear()
        is_reserving.clear()
        with start_site(build, directory) as site:
            for replica in site.replicas_of("model", "decode"):
                replica.handler = refuse_the_first
                replica.event_count, replica.event_delay_s = 10, 0.05
            leaving_caller = socket.create_connection(("127.0.0.1", site.entries[0].callers))
            headers = site.headers(Agateseam_Model="m", Agateseam_Token_Count="500,40",
                                   Content_Length="2")
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            leaving_caller.sendall(f"POST /draft/a HTTP/1.1\r\n{head}\r\n{{}}".encode())
            check(is_reserving.wait(3), "the refused request to reserve elsewhere")
            answers = []
            callers = [threading.Thread(target=lambda: answers.append(site.request_stream()))
                       for _ in range(8)]
            for caller in callers:
                caller.start()
            time.sleep(0.15)
            leaving_caller.close()
            for caller in callers:
                caller.join()
            for answer in answers:
                check_complete_stream(answer, events=10)


def check_long_stream_is_resumed(site, entry_stops):
    async def reset_late(_replica, request, _reader, writer):
        if not request.target.startswith("/v1/") and not request.header("Last-Event-Id"):
            asyncio.get_running_loop().call_later(2.0, reset_connection, writer)

    routes = configuration(2)["routes"]
    for item in routes:
        item["timeout_ms"] = 14_000
    site.configure(2, routes=routes)
    for replica in site.replicas_of("model", "decode"):
        replica.handler = reset_late
        replica.event_count, replica.event_delay_s = 35, 0.08
    wait_for(lambda: all(entry.log_lines("configuration in force")[-1]["version"] == 2
                         for entry in site.entries), "version 2")
    if entry_stops:
        site.entries[0].end(signal.SIGTERM)
        wait_for(lambda: site.entries[0].log_lines("draining"), "draining to begin")
    # The stream breaks later than three times its target latency of 500 ms.
    response = site.request_stream("/resume/a", Agateseam_Request_Deadline="14000")
    check_complete_stream(response, events=35)


def test_a_stream_is_resumed_however_long_it_has_run(build, directory):
    with start_site(build, directory) as site:
        check_long_stream_is_resumed(site, entry_stops=False)


def test_a_stream_is_resumed_while_its_entry_stops(build, directory):
    with start_site(build, directory, grace_ms=5500) as site:
        check_long_stream_is_resumed(site, entry_stops=True)


def test_a_silent_stream_is_not_ended_without_another_attempt(build, directory):
    """Guards against a stream that is cut for its server's silence when no other server may go
    on with it."""
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.event_delay_s = 0.6  # The route's gap target is 100 ms, its time 3 s.
        response = site.request_stream("/resume/a")
        check_complete_stream(response)
        check(sum(len(replica.runs) for replica in site.replicas_of("model", "decode")) <= 2)


def test_each_event_is_relayed_before_the_next_one_is_made(build, directory):
    """Guards against an event that waits for the bytes that follow its chunk."""
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.silent_from = 2
        headers = site.headers(Agateseam_Model="m", Agateseam_Token_Count="500,40",
                               Content_Length="2")
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        with socket.create_connection(("127.0.0.1", site.entries[0].callers), 1) as caller:
            caller.sendall(f"POST /draft/a HTTP/1.1\r\n{head}\r\n{{}}".encode())
            received = b""
            while b"id: 1\n" not in received:
                received += caller.recv(65536)  # Times out after a second.


def test_a_silent_stream_goes_on_at_another_replica(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.silent_from = 3
        check_complete_stream(site.request_stream("/resume/a"))


def test_a_silent_stream_is_kept_while_no_other_server_has_a_place(build, directory):
    """Guards against a stream that is cut for its server's silence before another server has
    promised a place for the rest."""
    with start_site(build, directory) as site:
        slow, full = site.replicas_of("model", "decode")
        slow.event_delay_s = 0.6  # The route's gap target is 100 ms, its time 3 s.
        full.capacity = 0
        check_complete_stream(site.request_stream("/resume/a"))
        check(len(slow.runs) == 1 and not full.runs, slow.runs, full.runs)


def test_a_lost_answer_ends_an_unsafe_request_as_unknown(build, directory):
    async def run_and_reset(replica, request, _reader, writer):
        replica.runs.append(request.id)
        reset_connection(writer)
        return False
    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = run_and_reset
        response = site.post("/once/a")
        check(response.status == 502 and b"unknown" in response.body,
              response.status, response.body)
        check(sum(len(replica.runs) for replica in site.replicas_of("plain")) == 1)
        check(site.get("/safe/a").status == 502)
        check(sum(len(replica.runs) for replica in site.replicas_of("plain")) == 3)


def test_a_refused_request_goes_to_another_replica(build, directory):
    async def refuse(replica, request, _reader, writer):
        writer.write(replica.refusal(request))
        return True
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        first.handler = refuse
        for _ in range(6):
            check(site.post("/once/a").status == 200)
        check(len(second.runs) == 6 and not first.runs)
        second.handler = refuse
        response = site.post("/once/a")
        check(response.status == 503 and b"not_run" in response.body
              and "Retry-After" in response.headers)


def test_a_slow_answer_is_awaited_when_no_repeat_is_left(build, directory):
    """Guards against giving up a slow response when no repeat to another server is allowed, which
    would leave the caller without any response."""
    async def answer_slowly(replica, request, _reader, writer):
        await asyncio.sleep(0.7)  # The target latency is 500 ms; a repeat starts after 300 ms.
        return await replica.answer_plain(request, writer)

    fleet = {"allowance_reserve_tokens": 100_000, "repeat_extra": 0, "repeat_ratio": 0}
    with start_site(build, directory, fleet=fleet) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_slowly
        response = site.get("/safe/a")
        check(response.status == 200, response.status, response.body)
        check(sum(len(replica.runs) for replica in site.replicas_of("plain")) == 1)


def test_a_slow_answer_is_awaited_when_no_other_replica_is_left(build, directory):
    """Guards against giving up the only server's response because it is slow."""
    async def answer_slowly(replica, request, _reader, writer):
        await asyncio.sleep(1)  # The target latency is 500 ms.
        return await replica.answer_plain(request, writer)

    site = Site(build, directory)
    replica = site.add_replica("plain")
    replica.handler = answer_slowly
    site.configure(1)
    with site.start():
        for _ in range(3):
            response = site.get("/safe/a")
            check(response.status == 200, response.status, response.body)


def test_a_slow_request_is_repeated_on_another_replica(build, directory):
    async def answer_slowly(replica, request, _reader, writer):
        await asyncio.sleep(2)
        return await replica.answer_plain(request, writer)

    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        first.handler = answer_slowly
        for _ in range(6):
            start_time = time.monotonic()
            check(site.get("/safe/a").status == 200)
            check(time.monotonic() - start_time < 1)
        check(second.runs)


def test_a_late_extra_answer_belongs_to_no_other_request(build, directory):
    async def answer_twice(replica, request, _reader, writer):
        replica.runs.append(request.id)
        answer = response_bytes(200, f"body of {request.id}".encode(),
                                replica.identity_headers(request))
        writer.write(answer)
        await writer.drain()

        async def send_again():
            await asyncio.sleep(0.02)
            writer.write(answer)
        asyncio.ensure_future(send_again())
        return True
    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_twice
        for number in range(30):
            name = f"extra-{number}"
            response = site.get("/safe/a", Agateseam_Request_Id=name)
            check(response.body == f"body of {name}".encode(), name, response.body)
            time.sleep(0.01)


def test_an_early_answer_leaves_no_body_for_the_next_request(build, directory):
    """Guards against a request that starts before the body of the previous one was sent. The
    replica answers before it reads a body, and then reads the rest of the body."""
    unexpected_data = []

    async def answer_early(replica, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not head.startswith(("GET /", "POST /")):
                    unexpected_data.append(head)
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:]
                              if ": " in line)
                name = [("Agateseam-Request-Id", fields["agateseam-request-id"]),
                        ("Agateseam-Response-Signature", "early")]
                writer.write(response_bytes(400, b"", name))
                await writer.drain()
                await asyncio.sleep(0.02)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if body.strip(b"y"):
                    unexpected_data.append(body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.serve_connection = lambda reader, writer, this=replica: answer_early(
                this, reader, writer)
            site.run_coroutine(replica.start())
            site.publish_replica(replica)
        time.sleep(0.2)
        for _ in range(5):
            check(site.post("/once/a", b"y" * 90_000).status == 400)
            check(site.get("/safe/a").status == 400)
        check(not unexpected_data, unexpected_data[:1])


def answer_without_length(end):
    async def handler(replica, request, _reader, writer):
        replica.runs.append(request.id)
        head = "".join(f"{name}: {value}\r\n" for name, value in replica.identity_headers(request))
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\nbody of {request.id}".encode())
        await writer.drain()
        await asyncio.sleep(0.02)
        if end == "reset":
            replica.handler = None
            reset_connection(writer)
        return False
    return handler


def test_an_answer_without_length_ends_with_its_connection(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_without_length("close")
        response = site.get("/safe/a", Agateseam_Request_Id="open-end")
        check(response.status == 200 and response.body == b"body of open-end", response.body)
        for replica in site.replicas_of("plain"):
            replica.handler = answer_without_length("reset")
        response = site.post("/once/a")
        check(response.status == 502, response.status, response.body)


def test_a_head_request_is_answered_without_a_body(build, directory):
    """Guards against waiting for the body of an answer to HEAD, which declares only its length."""
    async def answer_head(replica, request, _reader, writer):
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in replica.identity_headers(request))
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{lines}\r\n".encode())
        return True
    with start_site(build, directory) as site:
        for replica in site.replicas_of("plain"):
            replica.handler = answer_head
        for _ in range(4):
            response = send_request(site.entries[0].callers, "HEAD", "/once/a", site.headers())
            check(response.status == 200 and response.headers["Content-Length"] == "5",
                  response.status, response.headers)
        check(sum(replica.connection_count for replica in site.replicas_of("plain")) <= 2)


def test_a_pause_in_a_body_is_within_the_bodys_time(build, directory):
    """Guards against a body that is held to the header's time, 700 ms here, when its first part
    arrives together with the header."""
    with start_site(build, directory) as site:
        connection = socket.create_connection(("127.0.0.1", site.entries[0].callers))
        connection.settimeout(5)
        lines = "".join(f"{name}: {value}\r\n" for name, value in site.headers().items())
        connection.sendall(f"POST /once/a HTTP/1.1\r\n{lines}Content-Length: 4\r\n\r\nab".encode())
        time.sleep(1)
        connection.sendall(b"cd")
        check(connection.recv(4096).startswith(b"HTTP/1.1 200"))
        # The time that the request has left, of the route's 3 s, counts from its first byte.
        left_ms = [int(request.header("Agateseam-Request-Deadline"))
                   for replica in site.replicas_of("plain") for request in replica.requests]
        check(left_ms and left_ms[0] <= 2000, left_ms)


def test_a_body_that_comes_with_its_head_is_read_at_once(build, directory):
    """Guards against a body that arrives while "100 Continue" is written, and isn't noticed."""
    def send_all(site, seconds, seed):
        source = random.Random(seed)
        connection = socket.create_connection(("127.0.0.1", site.entries[0].callers))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(5)
        for _ in range(60):
            lines = "".join(f"{name}: {value}\r\n" for name, value in site.headers().items())
            began = time.monotonic()
            connection.sendall(f"POST /safe/a HTTP/1.1\r\n{lines}Expect: 100-continue\r\n"
                               "Content-Length: 4\r\n\r\n".encode())
            time.sleep(source.choice((0, 0.00002, 0.00005, 0.0001)))
            connection.sendall(b"abcd")
            answer = b""
            while b"body of" not in answer:
                part = connection.recv(4096)
                check(part, answer)
                answer += part
            seconds.append(time.monotonic() - began)

    # An entry that has just started may spend little, and these callers wait for nothing.
    unlimited = [dict(configuration(1)["tenants"][0], rate_per_s=0, burst=0)]
    site = Site(build, directory)
    site.add_default_replicas()
    site.configure(1, tenants=unlimited)
    with site.start():
        seconds = []
        threads = [threading.Thread(target=send_all, args=(site, seconds, seed)) for seed in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        check(len(seconds) == 480, len(seconds))
        # A body has at least 700 ms here, so one that isn't noticed is answered after that.
        check(max(seconds) < 0.7, sorted(seconds)[-5:])


def test_a_caller_that_disconnects_cancels_its_request(build, directory):
    with start_site(build, directory) as site:
        for replica in site.replicas_of("model", "decode"):
            replica.event_count, replica.event_delay_s = 1000, 0.02
        connection = socket.create_connection(("127.0.0.1", site.entries[0].callers))
        lines = [f"{name}: {value}\r\n" for name, value in
                 site.headers(Agateseam_Model="m", Agateseam_Token_Count="500,40").items()]
        connection.sendall(("POST /draft/a HTTP/1.1\r\n" + "".join(lines) +
                            "Content-Length: 0\r\n\r\n").encode())
        check(b"200" in connection.recv(4096))
        connection.close()
        wait_for(lambda: any(replica.interrupted_streams
                             for replica in site.replicas_of("model", "decode")),
                 "the replica's connection to close", 0.5)


def test_a_route_time_out_is_kept(build, directory):
    async def never_answer(replica, request, _reader, _writer):
        replica.runs.append(request.id)
        await asyncio.sleep(60)
    with start_site(build, directory) as site:
        site.configure(2, routes=[route("/once/", "unsafe", "plain", max_attempts=1,
                                        timeout_ms=400)])
        wait_for(lambda: site.get("/safe/a").status == 404, "version 2")
        for replica in site.replicas_of("plain"):
            replica.handler = never_answer
        start_time = time.monotonic()
        response = site.post("/once/a")
        elapsed_s = time.monotonic() - start_time
        check(response.status == 504 and 0.3 < elapsed_s < 0.6, response.status, elapsed_s)


async def refuse_reservations(replica, request, reader, writer):
    if request.target != "/v1/hold-take":
        return None
    writer.write(replica.refusal(request))
    return True


def test_a_waiting_request_is_refused_before_its_caller_leaves(build, directory):
    """Guards against requests that wait for a third of a long deadline: their callers leave at
    four times the target latency, which is 500 ms here."""
    with start_site(build, directory) as site:
        site.configure(2, routes=[route("/draft/", "streaming", "model", timeout_ms=14000)])
        wait_for(lambda: site.get("/safe/a").status == 404, "version 2")
        for replica in site.replicas_of("model", "decode"):
            replica.handler = refuse_reservations
        start_time = time.monotonic()
        response = site.request_stream(Agateseam_Request_Deadline="14000")
        elapsed_s = time.monotonic() - start_time
        check(response.status == 503 and b"not_run" in response.body, response.status,
              response.body)
        check(1.2 < elapsed_s < 1.8, elapsed_s)


def test_requests_wait_for_a_full_engine(build, directory):
    site = Site(build, directory)
    site.add_replica("model", stage="prefill")
    decode = site.add_replica("model", stage="decode", capacity=1000)
    decode.event_delay_s = 0.05
    site.configure(1)
    with site.start():
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(site.request_stream()))
                   for _ in range(3)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        check([answer.status for answer in answers] == [200] * 3,
              [(answer.status, answer.body) for answer in answers])
        check(not decode.holds, decode.holds)
        large_response = site.request_stream(tokens="200000,40")
        check(large_response.status == 503 and b"not_run" in large_response.body,
              large_response.status)


def test_a_failed_prefill_is_repeated_on_another_replica(build, directory):
    """Guards against prefill on the decode server after a failed prefill, which delays the tokens
    of other requests there."""
    async def reset_once(replica, request, _reader, writer):
        replica.handler = None
        reset_connection(writer)
        return False
    with start_site(build, directory) as site:
        second = site.add_replica("model", stage="prefill")
        wait_for(lambda: len(site.entries[0].log_lines("backend server changed")) >= 1,
                 "the added replica")
        time.sleep(0.1)  # Changes are published together 10 ms after the log line.
        first = site.replicas_of("model", "prefill")[0]
        for _ in range(4):
            first.handler = reset_once
            check_complete_stream(site.request_stream())
        decode_requests = [request for replica in site.replicas_of("model", "decode")
                           for request in replica.requests
                           if request.target.startswith("/draft/")]
        check(len(decode_requests) == 4 and len(second.requests) >= 1,
              len(decode_requests), len(second.requests))
        check(all(request.header("Agateseam-Kv-Source") for request in decode_requests))


def test_another_incarnation_at_the_address_is_not_given_work(build, directory):
    with start_site(build, directory) as site:
        first, second = site.replicas_of("plain")
        first.id = "i-reborn"
        for _ in range(6):
            check(site.get("/safe/a").status == 200)
        check(not first.runs and len(second.runs) == 6)


if __name__ == "__main__":
    sys.exit(run.main(globals()))
